//! Concurrent changes of several operators on one base version, retried at other hosts after a lost
//! answer: exactly one is acknowledged, each retry gets the same answer, and a rejected change is
//! never part of the state.

mod support;

use std::time::Duration;

use ironmast_register::guard::Guard;
use ironmast_register::{OperationId, Outcome, Settings};

use support::conditions::LOCAL;
use support::guards::{assert_breaks_only_without, settings_with};
use support::value::Change;
use support::world::World;

/// Deadline of an operation, within which a coordinator answers the operator.
const LIMIT: Duration = Duration::from_millis(900);
const SPARES: usize = 1;

/// A fault during the submission of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Restart,
    RestartAll,
    ProcessPause,
    Partition,
    Wipe,
    Replace,
    MessageLoss,
}

const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::Restart,
    Fault::RestartAll,
    Fault::ProcessPause,
    Fault::Partition,
    Fault::Wipe,
    Fault::Replace,
    Fault::MessageLoss,
];

fn new_world(seed: u64, members: usize) -> World {
    let mut world = World::new(
        seed,
        members,
        SPARES,
        Settings::with_fault_tolerance(members / 2),
    );
    world.run(Duration::from_millis(500));
    world
}

fn random_index(world: &mut World, count: usize) -> usize {
    usize::try_from(world.random.below(count as u64)).expect("index fits in usize")
}

/// Begins a fault at a host.
fn begin_fault(world: &mut World, fault: Fault, host: usize) {
    match fault {
        Fault::None => {}
        Fault::Restart => world.restart(&[host]),
        Fault::RestartAll => world.restart(&world.running_hosts().collect::<Vec<_>>()),
        Fault::ProcessPause => world.pause_process(host, Duration::from_millis(2_500)),
        Fault::Partition => world.isolate(host),
        Fault::Wipe => {
            world.wipe(host);
            world.start(host);
        }
        Fault::Replace => {
            world.wipe(host);
            world.start(world.hosts.len() - SPARES);
        }
        Fault::MessageLoss => world.conditions.loss_percent = 30,
    }
}

/// Submits a change to a random running host.
fn submit_to_random_host(world: &mut World, change: Change) -> OperationId {
    let hosts: Vec<usize> = world.running_hosts().collect();
    let host = hosts[random_index(world, hosts.len())];
    world.submit(host, Some(change), LIMIT)
}

/// Submits a change that was submitted before to each running host, without faults. All must give
/// the same answer; returns whether they acknowledge the change.
fn is_acknowledged(world: &mut World, change: Change) -> bool {
    let hosts: Vec<usize> = world.running_hosts().collect();
    let mut answers = Vec::new();
    for host in hosts {
        let id = world.submit(host, Some(change), LIMIT);
        world.run(LIMIT);
        answers.push(match world.outcomes.get(&id) {
            Some(Outcome::Unchanged(_)) => true,
            Some(Outcome::Rejected { .. }) => false,
            other => panic!("{change:?} at {host}: {other:?}"),
        });
    }
    assert!(
        answers.windows(2).all(|pair| pair[0] == pair[1]),
        "{change:?}: {answers:?}"
    );
    answers[0]
}

/// Several operators submit changes on one base, and a fault begins at a random step. The first
/// operator receives no answers. Returns the changes.
fn submit_concurrently(world: &mut World, base: u64, operators: u64, fault: Fault) -> Vec<Change> {
    let change_of = |operator| Change::Put {
        base,
        content: 1_000 * (base + 1) + operator,
    };
    let changes: Vec<Change> = (0..operators).map(change_of).collect();
    let fault_at = world.random.below(30);
    let members = world.hosts.len() - SPARES;
    let host = random_index(world, members);
    for step in 0..30 {
        if step == fault_at {
            begin_fault(world, fault, host);
        }
        for (operator, &change) in changes.iter().enumerate() {
            let is_first = operator == 0;
            if step % 10 == 3 * operator as u64 % 10 || (is_first && world.random.chance(30)) {
                let id = submit_to_random_host(world, change);
                if is_first {
                    world.disconnect_client(id);
                }
            }
        }
        let pause = world.random.millis(1, 120);
        world.run(pause);
    }
    world.blocked_links.clear();
    world.conditions = LOCAL;
    world.run(Duration::from_secs(4));
    changes
}

fn assert_one_acknowledged(world: &mut World, changes: &[Change]) {
    let acknowledged: Vec<bool> = changes
        .iter()
        .map(|&change| is_acknowledged(world, change))
        .collect();
    assert_eq!(
        acknowledged
            .iter()
            .filter(|acknowledged| **acknowledged)
            .count(),
        1,
        "{changes:?}: {acknowledged:?}"
    );
}

fn assert_races(seeds: std::ops::Range<u64>, members: usize) {
    for seed in seeds {
        let fault = FAULTS[usize::try_from(seed).expect("index fits in usize") % FAULTS.len()];
        let operators = 2 + seed / 8 % 2;
        let mut world = new_world(seed, members);
        let mut changes = Vec::new();
        for base in 0..3 {
            let fault = if base == 1 { fault } else { Fault::None };
            changes.push(submit_concurrently(&mut world, base, operators, fault));
        }
        for changes in &changes {
            assert_one_acknowledged(&mut world, changes);
        }
        world.assert_no_violations(&format!("seed {seed}, {fault:?}"));
    }
}

#[test]
fn of_changes_on_one_base_one_is_acknowledged_and_each_keeps_its_answer() {
    assert_races(0..160, 3);
    assert_races(1_000..1_048, 5);
}

/// Runs the test above over many more seeds.
#[test]
#[ignore = "takes several minutes"]
fn of_changes_on_one_base_one_is_acknowledged_over_many_seeds() {
    assert_races(10_000..14_000, 3);
    assert_races(20_000..21_000, 5);
}

#[test]
fn changes_keep_their_answers_through_a_thousand_further_changes() {
    for (seed, fault) in [(1, Fault::None), (2, Fault::Partition), (3, Fault::Replace)] {
        let mut world = new_world(seed, 3);
        let mut changes = submit_concurrently(&mut world, 0, 3, fault);
        let retried = 1;
        for base in 1..=1_000 {
            let change = Change::Put {
                base,
                content: 5_000_000 + base,
            };
            let id = submit_to_random_host(&mut world, change);
            if base % 97 == 0 {
                // Retries a change that was submitted long ago.
                submit_to_random_host(&mut world, changes[retried]);
            }
            while !world.outcomes.contains_key(&id) {
                world.run(Duration::from_millis(10));
            }
            assert!(
                matches!(world.outcomes[&id], Outcome::Written(_)),
                "{base}: {:?}",
                world.outcomes[&id]
            );
            if base % 250 == 0 {
                let hosts: Vec<usize> = world.running_hosts().collect();
                world.restart(&hosts[..1]);
                world.run(Duration::from_secs(1));
                assert_one_acknowledged(&mut world, &changes);
            }
        }
        changes.truncate(3);
        assert_one_acknowledged(&mut world, &changes);
        world.assert_no_violations(&format!("{fault:?}"));
    }
}

/// A client sets the flag but gets no answer, since its coordinator is partitioned after `delay`.
/// Another client resets the flag and gets an acknowledgement. Returns whether the flag is set once
/// the links are restored, that is, whether the incomplete change was chosen after the reset.
fn is_flag_set_after_reset(delay: Duration, settings: Settings) -> bool {
    let mut world = World::new(5, 3, 0, settings);
    world.run(Duration::from_millis(500));
    let set = world.submit(
        0,
        Some(Change::SetFlag {
            number: 1,
            enabled: true,
        }),
        LIMIT,
    );
    world.run(delay);
    world.isolate(0);
    world.run(LIMIT * 2);
    assert!(world.outcomes.contains_key(&set));
    let reset = world.submit(
        1,
        Some(Change::SetFlag {
            number: 2,
            enabled: false,
        }),
        LIMIT,
    );
    world.run(LIMIT);
    assert!(matches!(
        world.outcomes.get(&reset),
        Some(Outcome::Unchanged(_) | Outcome::Written(_))
    ));
    world.blocked_links.clear();
    world.run(Duration::from_secs(3));
    world.expect_progress(LIMIT);
    world.assert_no_violations(&format!("{delay:?}"));
    world.running_hosts().any(|host| {
        let node = world.hosts[host].node.as_ref();
        node.and_then(|node| node.chosen())
            .is_some_and(|state| state.value.is_flag_set())
    })
}

#[test]
fn an_incomplete_change_is_not_in_force_after_a_later_one_was_answered() {
    assert_breaks_only_without(Guard::FenceBeforeAnswer, 0..100, |step, guards| {
        let delay = Duration::from_micros(500 * step);
        is_flag_set_after_reset(delay, settings_with(guards))
    });
}
