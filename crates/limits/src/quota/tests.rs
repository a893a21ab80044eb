use super::*;

fn gate(region: &str, id: u64) -> GateMember {
    GateMember {
        region: region.into(),
        id: GateId(id),
    }
}

/// Gates of three regions with the given sizes, with ids from 0.
fn gates(sizes: [u64; 3]) -> Vec<GateMember> {
    let regions = ["north", "south", "west"].into_iter().zip(sizes);
    let names = regions.flat_map(|(region, size)| std::iter::repeat_n(region, size as usize));
    names
        .enumerate()
        .map(|(number, region)| gate(region, number as u64))
        .collect()
}

fn all_quotas(gates: &[GateMember], bound: u32, region: &str, instance: &str) -> Vec<u32> {
    let quotas = |own| GateSet::new(own, gates.to_vec()).quota(bound, region, instance);
    gates.iter().map(|gate| quotas(gate.id)).collect()
}

#[test]
fn quotas_of_all_gates_sum_to_at_most_the_bound() {
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
                let sum: u32 = all_quotas(&gates, bound, region, "i-1").iter().sum();
                assert!(
                    sum <= bound,
                    "quotas of {sizes:?} gates sum to {sum} of {bound} in {region}"
                );
            }
        }
    }
}

#[test]
fn most_of_the_bound_is_distributed_however_many_gates_there_are() {
    for sizes in [[26, 25, 26], [100, 90, 110], [300, 1, 0]] {
        let sum: u32 = all_quotas(&gates(sizes), 38, "north", "i-1").iter().sum();
        assert!(sum >= 30, "quotas of {sizes:?} gates sum to {sum}");
    }
}

#[test]
fn gates_in_the_region_of_the_instance_share_the_remainder() {
    let quotas = all_quotas(&gates([26, 25, 26]), 38, "north", "i-1");
    let (near, far) = quotas.split_at(26);
    assert!(
        near.iter().all(|quotas| (1..=2).contains(quotas)),
        "{near:?}"
    );
    assert!(far.iter().all(|quotas| *quotas == 0), "{far:?}");
}

#[test]
fn different_instances_favor_different_gates_of_a_large_region() {
    let gates = gates([300, 0, 0]);
    let one = all_quotas(&gates, 38, "north", "i-1");
    let other = all_quotas(&gates, 38, "north", "i-2");
    assert!(one.iter().chain(&other).all(|quotas| *quotas <= 1));
    assert_ne!(one, other);
}

#[test]
fn gate_that_knows_no_other_divides_by_the_minimum() {
    assert_eq!(
        GateSet::new(GateId(1), Vec::new()).quota(40, "north", "i-1"),
        5
    );
    assert_eq!(
        GateSet::new(GateId(1), vec![gate("north", 1)]).quota(40, "north", "i-1"),
        5
    );
}

/// Guards against exceeding the bound while up to three gates are not known to the others: what
/// they add must fit the reserved fraction.
#[test]
fn gates_unknown_to_the_others_stay_within_the_reserved_fraction() {
    let all = gates([26, 25, 26]);
    for unknown in 1..=3 {
        let known = &all[unknown..];
        let new = (0..unknown as u64)
            .map(|own| GateSet::new(GateId(own), all.clone()).quota(38, "north", "i-1"));
        let sum: u32 = new.chain(all_quotas(known, 38, "north", "i-1")).sum();
        assert!(
            sum <= 38,
            "quotas sum to {sum} with {unknown} unknown gates"
        );
    }
}
