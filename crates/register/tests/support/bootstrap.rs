//! A scenario in which a host with a wiped disk starts with the settings of the first start.

use std::time::Duration;

use ironmast_register::guard::Guards;

use super::checks::Violation;
use super::guards::settings_with;
use super::value::Change;
use super::world::World;

const LIMIT: Duration = Duration::from_secs(2);

/// Hosts 0 and 2 acknowledge a change. Host 2 loses its disk and starts as if for the first time,
/// while only host 1, which has missed the change, is reachable. Returns whether the change is
/// lost.
pub(crate) fn loses_a_change(guards: Guards) -> bool {
    let mut world = World::new(1, 3, 0, settings_with(guards));
    world.run(Duration::from_millis(500));
    world.blocked_links = [(0, 1), (1, 0), (1, 2), (2, 1)].into();
    let first = Change::Put {
        base: 0,
        content: 1,
    };
    let id = world.submit(0, Some(first), LIMIT);
    world.run(LIMIT);
    assert!(world.outcomes.contains_key(&id));
    world.wipe(2);
    world.blocked_links = [(0, 1), (1, 0), (0, 2), (2, 0)].into();
    world.start_bootstrapping(2);
    world.run(Duration::from_secs(5));
    world.submit(
        1,
        Some(Change::Put {
            base: 0,
            content: 2,
        }),
        LIMIT,
    );
    world.run(LIMIT);
    world.blocked_links.clear();
    world.run(LIMIT);
    world.expect_progress(LIMIT);
    world.checks.finish();
    let is_progress = |violation: &Violation| matches!(violation, Violation::NoProgress { .. });
    assert!(
        !world.checks.violations.iter().any(is_progress),
        "{:?}",
        world.checks.violations
    );
    !world.checks.violations.is_empty()
}
