use proptest::prelude::*;

use super::*;
use crate::guards::without;

fn bounds(excess: f64, floor: f64, extra_wait: f64) -> LoadBounds {
    LoadBounds {
        excess,
        floor,
        extra_wait,
    }
}

fn idle(servers: &[u64]) -> Vec<Candidate> {
    servers
        .iter()
        .map(|hash| Candidate {
            hash: *hash,
            utilization: 0.0,
            prefill_wait: 0.0,
        })
        .collect()
}

#[test]
fn an_overloaded_server_passes_the_key_to_the_next_in_its_order() {
    let mut candidates = idle(&[11, 22, 33, 44]);
    let mut order = [0, 1, 2, 3];
    order.sort_by_key(|index| std::cmp::Reverse(rendezvous_weight(7, candidates[*index].hash)));
    assert_eq!(
        choose(7, &candidates, bounds(0.5, 0.1, 0.0)),
        Some(order[0])
    );
    candidates[order[0]].utilization = 0.1;
    assert_eq!(
        choose(7, &candidates, bounds(0.5, 0.1, 0.0)),
        Some(order[0]),
        "at the floor"
    );
    candidates[order[0]].utilization = 0.5;
    assert_eq!(
        choose(7, &candidates, bounds(0.5, 0.1, 0.0)),
        Some(order[1])
    );
    candidates[order[1]].utilization = 0.4;
    assert_eq!(
        choose(7, &candidates, bounds(0.5, 0.1, 0.0)),
        Some(order[2])
    );
    for candidate in &mut candidates {
        candidate.utilization = 0.9;
    }
    assert_eq!(
        choose(7, &candidates, bounds(0.5, 0.1, 0.0)),
        Some(order[0]),
        "all have the same load"
    );
    assert_eq!(choose(7, &[], bounds(0.5, 0.1, 0.0)), None);
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Removing a server reassigns only the keys that were assigned to it.
    #[test]
    fn when_a_server_leaves_only_its_own_keys_move(
        key: u64,
        servers in prop::collection::hash_set(any::<u64>(), 2..40),
    ) {
        let servers: Vec<u64> = servers.into_iter().collect();
        let all = idle(&servers);
        let first = all[choose(key, &all, bounds(0.5, 0.1, 0.0)).expect("a server")].hash;
        for removed in &servers {
            let others = servers.iter().filter(|server| *server != removed);
            let rest = idle(&others.copied().collect::<Vec<u64>>());
            let chosen = rest[choose(key, &rest, bounds(0.5, 0.1, 0.0)).expect("a server")].hash;
            prop_assert!(chosen == first || *removed == first);
        }
    }

    /// A server is chosen for any loads, and its utilization is within the load bound.
    #[test]
    fn the_chosen_server_is_within_the_load_bound(
        key: u64,
        utilizations in prop::collection::vec(0.0..1.5f64, 1..40),
    ) {
        let candidates: Vec<Candidate> = utilizations
            .iter()
            .enumerate()
            .map(|(hash, utilization)| Candidate {
                hash: hash as u64,
                utilization: *utilization,
                prefill_wait: 0.0,
            })
            .collect();
        let chosen = candidates[choose(key, &candidates, bounds(0.5, 0.2, 0.0)).expect("a server")];
        let mean = utilizations.iter().sum::<f64>() / utilizations.len() as f64;
        prop_assert!(chosen.utilization <= (1.5 * mean).max(0.2));
        prop_assert!(mean < 1.0 || chosen.utilization <= mean);
    }
}

/// Whether the key's first server of two is chosen when its prefill wait is longer by `wait`.
fn first_server_is_chosen(wait: f64, extra_wait: f64) -> bool {
    let mut candidates = servers_in_order(7, 2);
    candidates[0].prefill_wait = wait;
    choose(7, &candidates, bounds(0.5, 0.1, extra_wait)) == Some(0)
}

fn servers_in_order(key: u64, count: u64) -> Vec<Candidate> {
    let mut candidates: Vec<Candidate> = (0..count)
        .map(|hash| Candidate {
            hash,
            utilization: 0.0,
            prefill_wait: 0.0,
        })
        .collect();
    candidates.sort_by_key(|candidate| std::cmp::Reverse(rendezvous_weight(key, candidate.hash)));
    candidates
}

#[test]
fn a_key_moves_on_when_the_extra_prefill_wait_exceeds_the_bound() {
    assert!(first_server_is_chosen(0.0, 0.0));
    assert!(first_server_is_chosen(100.0, 100.0));
    assert!(!first_server_is_chosen(101.0, 100.0));
    assert!(without(Guard::ShortPrefillWait, || first_server_is_chosen(
        101.0, 100.0
    )));
}
