use super::*;

/// Gates of three regions, numbered from 0.
fn gates(sizes: [u64; 3]) -> Vec<(Box<str>, GateNumber)> {
    let regions = ["north", "south", "west"].into_iter().zip(sizes);
    let names = regions.flat_map(|(region, size)| std::iter::repeat_n(region, size as usize));
    names
        .enumerate()
        .map(|(number, region)| (region.into(), number as GateNumber))
        .collect()
}

fn all_permits(
    gates: &[(Box<str>, GateNumber)],
    bound: u32,
    region: &str,
    instance: &str,
) -> Vec<u32> {
    let permits = |own| Tier::new(own, gates.to_vec()).permits(bound, region, instance);
    gates.iter().map(|(_, own)| permits(*own)).collect()
}

#[test]
fn the_sum_of_all_gates_stays_within_the_bound() {
    for sizes in [
        [1, 0, 0],
        [3, 2, 2],
        [4, 4, 4],
        [26, 25, 26],
        [100, 90, 110],
        [300, 1, 0],
    ] {
        let gates = gates(sizes);
        for bound in [1, 5, 8, 20, 38, 100, 1_000] {
            for region in ["north", "south", "west", "nowhere"] {
                let sum: u32 = all_permits(&gates, bound, region, "i-1").iter().sum();
                assert!(
                    sum <= bound,
                    "{sizes:?} gates hold {sum} of {bound} in {region}"
                );
            }
        }
    }
}

#[test]
fn a_cold_server_is_used_however_many_gates_there_are() {
    for sizes in [[26, 25, 26], [100, 90, 110], [300, 1, 0]] {
        let sum: u32 = all_permits(&gates(sizes), 38, "north", "i-1").iter().sum();
        assert!(sum >= 30, "{sizes:?} gates hold {sum}");
    }
}

#[test]
fn the_gates_of_its_region_come_first() {
    let permits = all_permits(&gates([26, 25, 26]), 38, "north", "i-1");
    let (near, far) = permits.split_at(26);
    assert!(
        near.iter().all(|permits| (1..=2).contains(permits)),
        "{near:?}"
    );
    assert!(far.iter().all(|permits| *permits == 0), "{far:?}");
}

#[test]
fn gates_of_a_large_region_take_turns_by_instance() {
    let gates = gates([300, 0, 0]);
    let one = all_permits(&gates, 38, "north", "i-1");
    let other = all_permits(&gates, 38, "north", "i-2");
    assert!(one.iter().chain(&other).all(|permits| *permits <= 1));
    assert_ne!(one, other);
}

#[test]
fn a_gate_that_knows_nobody_yet_counts_on_others() {
    assert_eq!(Tier::new(1, Vec::new()).permits(40, "north", "i-1"), 5);
    assert_eq!(
        Tier::new(1, vec![("north".into(), 1)]).permits(40, "north", "i-1"),
        5
    );
}

/// Some gates have not heard of all others: the reserve and the floor bound what that adds.
#[test]
fn a_gate_that_is_not_known_to_all_adds_little() {
    let all = gates([26, 25, 26]);
    for unknown in 1..=3 {
        let known = &all[unknown..];
        let new =
            (0..unknown as u64).map(|own| Tier::new(own, all.clone()).permits(38, "north", "i-1"));
        let sum: u32 = new.chain(all_permits(known, 38, "north", "i-1")).sum();
        assert!(sum <= 38, "{unknown} unknown gates: {sum}");
    }
}
