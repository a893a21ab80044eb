//! What a host tells after it was started anew.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_register::guard::{Guard, Guards};
use ironmast_register::{Outcome, Settings};

use support::value::Change;
use support::world::World;

const LIMIT: Duration = Duration::from_secs(2);

fn cut_off(world: &mut World, host: usize) {
    world.cuts = (0..3).flat_map(|other| [(host, other), (other, host)]).collect();
}

/// Host 0 acknowledges a change that host 1 misses, and starts anew while host 1 alone is in reach. What it tells then,
/// and once all are.
fn told_after_restart(guards: Guards) -> (Vec<u64>, Vec<u64>) {
    let mut world = World::new(3, 3, 0, Settings { guards, ..Settings::default() });
    world.run(LIMIT);
    cut_off(&mut world, 1);
    let id = world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(LIMIT);
    assert_matches!(world.outcomes[&id], Outcome::Written(_));
    world.kill(0);
    cut_off(&mut world, 2);
    world.start(0);
    world.run(LIMIT * 3);
    let alone = world.hosts[0].told.clone();
    world.cuts.clear();
    world.run(LIMIT);
    (alone, world.hosts[0].told.clone())
}

#[test]
fn nothing_older_than_what_was_acknowledged_is_told_after_a_restart() {
    let (alone, together) = told_after_restart(Guards::default());
    assert!(alone.iter().all(|sequence| *sequence >= 1), "{alone:?}");
    assert_eq!(together, [1]);
}

#[test]
fn what_others_tell_passed_on_unread_is_noticed() {
    let (alone, _) = told_after_restart(Guards::without(Guard::ReadBeforeTold));
    assert!(alone.contains(&0), "{alone:?}");
}

/// Host 0 hears the others before they hear it, and has an order at once: it must not vote before they are members.
#[test]
fn an_order_at_the_very_first_moment_leaves_all_initial_members_members() {
    for seed in 0..40 {
        let mut world = World::new(seed, 3, 0, Settings::default());
        world.run(LIMIT);
        for host in 0..3 {
            world.wipe(host);
        }
        // What an earlier life has sent arrives before.
        world.run(LIMIT);
        world.cuts = [(0, 1), (0, 2)].into();
        for host in 0..3 {
            world.start_first(host);
        }
        world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
        world.run(Duration::from_millis(100 + 10 * seed));
        world.cuts.clear();
        world.run(LIMIT);
        world.expect_progress(LIMIT);
        world.checks.finish();
        assert_eq!(world.checks.violations, [], "seed {seed}");
    }
}
