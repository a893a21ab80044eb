use super::{Instance, View, region_number};
use crate::test_support::gate;

fn view(numbers: impl Iterator<Item = u8>) -> View {
    View {
        epoch: 1,
        follows: None,
        gates: numbers.map(gate).collect(),
    }
}

#[test]
fn empty_view_has_no_owner() {
    assert_eq!(view(0..0).owner(&"i-1"), None);
}

#[test]
fn owner_does_not_depend_on_the_order_of_the_gates() {
    let forward = view(0..30);
    let back = view((0..30).rev());
    for key in 0..100 {
        let key = format!("i-{key}");
        assert_eq!(forward.owner(&key), back.owner(&key));
    }
}

#[test]
fn keys_are_distributed_evenly_over_the_gates() {
    let view = view(0..10);
    let mut owned = [0_u32; 10];
    for key in 0..10_000 {
        let owner = view
            .owner(&format!("i-{key}"))
            .expect("a view with gates has an owner");
        let number = view
            .gates
            .iter()
            .position(|gate| *gate == owner)
            .expect("the owner is a gate of the view");
        owned[number] += 1;
    }
    assert!(
        owned.iter().all(|count| (850..1150).contains(count)),
        "{owned:?}"
    );
}

#[test]
fn gate_that_leaves_moves_only_its_keys() {
    let before = view(0..30);
    let after = view(1..30);
    for key in 0..1_000 {
        let key = format!("i-{key}");
        let owner = before.owner(&key);
        if owner != Some(gate(0)) {
            assert_eq!(after.owner(&key), owner);
        }
    }
}

#[test]
fn instance_is_owned_in_its_region_while_the_region_has_a_gate() {
    let (here, there) = (region_number("puget"), region_number("willamette"));
    assert_ne!(here, there);
    let mut view = view(0..9);
    for gate in &mut view.gates[..3] {
        gate.region = here;
    }
    let instance = |id: u32, region| Instance {
        id: format!("i-{id}"),
        region,
    };
    let owners: Vec<_> = (0..100)
        .filter_map(|id| view.owner(&instance(id, here)))
        .collect();
    assert!(owners.iter().all(|owner| owner.region == here));
    assert!(view.gates[..3].iter().all(|gate| owners.contains(gate)));
    assert_eq!(
        view.owner(&instance(1, there)),
        view.owner(&"i-1"),
        "a region without gates falls back to all gates"
    );
}
