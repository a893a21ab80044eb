//! A register of three replicas on a calm network: reads, changes, refusals and duels.

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

fn assert_clean(world: &mut World) {
    world.checks.finish();
    assert_eq!(world.checks.violations, []);
}

#[test]
fn a_read_of_the_initial_state_takes_one_round() {
    let mut world = world(1);
    let id = world.submit(0, None, LIMIT);
    world.run(Duration::from_millis(50));
    assert_matches!(&world.outcomes[&id], Outcome::Read(state) if state.sequence == 0);
    let counters = world.hosts[0]
        .node
        .as_ref()
        .expect("runs")
        .proposer_metrics();
    assert_eq!(counters.prepares, 0);
}

#[test]
fn a_change_is_seen_by_a_read_elsewhere_and_kept_when_sent_again() {
    let mut world = world(2);
    let change = Change::Put {
        base: 0,
        content: 9,
    };
    let written = world.submit(0, Some(change), LIMIT);
    world.run(Duration::from_millis(300));
    assert_matches!(world.outcomes[&written], Outcome::Written(_));
    let read = world.submit(2, None, LIMIT);
    let kept = world.submit(1, Some(change), LIMIT);
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
    assert_matches!(world.outcomes[&kept], Outcome::Unchanged(_));
    assert_matches!(world.outcomes[&other], Outcome::Rejected { .. });
    assert_clean(&mut world);
}

#[test]
fn changes_that_wait_together_are_decided_by_few_acceptances() {
    let mut world = world(3);
    let ids: Vec<_> = (0..8)
        .map(|mark| world.submit(2, Some(Change::Mark { mark: 100 + mark }), LIMIT))
        .collect();
    world.run(LIMIT);
    for id in ids {
        assert_matches!(world.outcomes[&id], Outcome::Written(_));
    }
    let counters = world.hosts[2]
        .node
        .as_ref()
        .expect("runs")
        .proposer_metrics();
    assert!(counters.accepts <= 2, "{counters:?}");
    assert_clean(&mut world);
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
        assert_clean(&mut world);
    }
}

#[test]
fn three_that_propose_at_once_finish_within_three_rounds_in_the_median() {
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
        rounds.extend((0..3).map(|host| {
            world.hosts[host]
                .node
                .as_ref()
                .expect("runs")
                .proposer_metrics()
                .prepares
        }));
        assert_clean(&mut world);
    }
    rounds.sort_unstable();
    times.sort_unstable();
    assert!(rounds[rounds.len() / 2] < 3, "{rounds:?}");
    assert!(times[times.len() / 2] < Duration::from_secs(1), "{times:?}");
    println!("rounds {rounds:?}\ntimes {times:?}");
}

#[test]
fn what_a_dead_proposer_left_accepted_is_finished_without_a_request() {
    for delay in 0..120 {
        let mut world = world(delay);
        world.submit(2, Some(Change::Mark { mark: 7 }), LIMIT);
        world.run(Duration::from_millis(112 + delay));
        world.kill(2);
        world.run(Duration::from_millis(1_200));
        let holds = |host: usize| {
            let node = world.hosts[host].node.as_ref().expect("runs");
            node.chosen().is_some_and(|state| state.value.marks == [7])
        };
        let accepted = |host: usize| {
            let disk = world.hosts[host].disk.as_ref().expect("written");
            disk.accepted
                .as_ref()
                .is_some_and(|held| held.state.value.marks == [7])
        };
        assert_eq!(holds(0), accepted(0) || accepted(1), "after {delay} ms");
        assert_eq!(holds(0), holds(1), "after {delay} ms");
        assert_clean(&mut world);
    }
}
