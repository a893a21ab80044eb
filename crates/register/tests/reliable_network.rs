//! Three replicas on a reliable network: reads, changes, rejections, duelling proposers and read
//! repair.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_register::{Outcome, Settings};

use support::value::Change;
use support::world::World;

const LIMIT: Duration = Duration::from_secs(2);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 0, Settings::default());
    world.run(Duration::from_millis(500));
    world
}

#[test]
fn a_read_of_the_initial_state_takes_one_query() {
    let mut world = world(1);
    let id = world.submit(0, None, LIMIT);
    world.run(Duration::from_millis(50));
    assert_matches!(&world.outcomes[&id], Outcome::Read(state) if state.sequence == 0);
    let metrics = world.node(0).proposer_metrics();
    assert_eq!(metrics.prepares, 0);
}

#[test]
fn a_change_is_read_at_another_host_and_unchanged_when_retried() {
    let mut world = world(2);
    let change = Change::Put {
        base: 0,
        content: 9,
    };
    let written = world.submit(0, Some(change), LIMIT);
    world.run(Duration::from_millis(300));
    assert_matches!(world.outcomes[&written], Outcome::Written(_));
    let read = world.submit(2, None, LIMIT);
    let retried = world.submit(1, Some(change), LIMIT);
    let other = world.submit(
        2,
        Some(Change::Put {
            base: 0,
            content: 8,
        }),
        LIMIT,
    );
    world.run(LIMIT);
    assert_matches!(&world.outcomes[&read], Outcome::Read(state) if state.value.contents == [9]);
    assert_matches!(world.outcomes[&retried], Outcome::Unchanged(_));
    assert_matches!(world.outcomes[&other], Outcome::Rejected { .. });
    world.assert_no_violations("");
}

#[test]
fn queued_changes_are_decided_by_few_acceptances() {
    let mut world = world(3);
    let ids: Vec<_> = (0..8)
        .map(|mark| world.submit(2, Some(Change::Mark { mark: 100 + mark }), LIMIT))
        .collect();
    world.run(LIMIT);
    for id in ids {
        assert_matches!(world.outcomes[&id], Outcome::Written(_));
    }
    let metrics = world.node(2).proposer_metrics();
    assert!(metrics.accepts <= 2, "{metrics:?}");
    world.assert_no_violations("");
}

#[test]
fn of_two_changes_on_one_base_exactly_one_is_written() {
    for seed in 0..20 {
        let mut world = world(seed);
        let ids = [0, 2].map(|host| {
            let content = 10 + host as u64;
            world.submit(host, Some(Change::Put { base: 0, content }), LIMIT)
        });
        world.run(LIMIT);
        let written = ids
            .iter()
            .filter(|id| matches!(world.outcomes[id], Outcome::Written(_)))
            .count();
        let rejected = ids
            .iter()
            .filter(|id| matches!(world.outcomes[id], Outcome::Rejected { .. }))
            .count();
        assert_eq!((written, rejected), (1, 1));
        world.assert_no_violations("");
    }
}

#[test]
fn three_duelling_proposers_finish_within_three_rounds_in_the_median() {
    let mut rounds = Vec::new();
    let mut times = Vec::new();
    for seed in 0..50 {
        let mut world = world(seed);
        let start = world.now;
        let ids = [0, 1, 2].map(|host| {
            world.submit(
                host,
                Some(Change::Mark {
                    mark: 50 + host as u64,
                }),
                LIMIT * 5,
            )
        });
        while ids.iter().any(|id| !world.outcomes.contains_key(id)) {
            world.run(Duration::from_millis(5));
        }
        times.push(world.now - start);
        rounds.extend((0..3).map(|host| world.node(host).proposer_metrics().prepares));
        world.assert_no_violations("");
    }
    rounds.sort_unstable();
    times.sort_unstable();
    assert!(rounds[rounds.len() / 2] < 3, "{rounds:?}");
    assert!(times[times.len() / 2] < Duration::from_secs(1), "{times:?}");
    println!("rounds {rounds:?}\ntimes {times:?}");
}

#[test]
fn read_repair_completes_what_a_crashed_proposer_left_accepted() {
    for delay in 0..120 {
        let mut world = world(delay);
        world.submit(2, Some(Change::Mark { mark: 7 }), LIMIT);
        world.run(Duration::from_millis(112 + delay));
        world.kill(2);
        world.run(Duration::from_millis(1_200));
        let has_learned = |host: usize| {
            world
                .node(host)
                .chosen()
                .is_some_and(|state| state.value.marks == [7])
        };
        let accepted = |host: usize| {
            let disk = world.hosts[host]
                .disk
                .as_ref()
                .expect("the disk has a record");
            disk.accepted
                .as_ref()
                .is_some_and(|proposal| proposal.state.value.marks == [7])
        };
        assert_eq!(
            has_learned(0),
            accepted(0) || accepted(1),
            "after {delay} ms"
        );
        assert_eq!(has_learned(0), has_learned(1), "after {delay} ms");
        world.assert_no_violations("");
    }
}
