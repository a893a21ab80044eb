//! Shows that a safety guard is needed: a scenario fails without the guard and never with it.

use std::ops::Range;

use ironmast_register::Settings;
use ironmast_register::guard::{Guard, Guards};

/// Returns the default settings with the given guards.
pub(crate) fn settings_with(guards: Guards) -> Settings {
    Settings {
        guards,
        ..Settings::default()
    }
}

/// Runs a scenario with each seed, with all guards and without one. The scenario must break for no
/// seed with all guards, and for at least one seed without the guard.
pub(crate) fn assert_breaks_only_without(
    guard: Guard,
    seeds: Range<u64>,
    breaks: impl Fn(u64, Guards) -> bool,
) {
    let count = |guards| seeds.clone().filter(|&seed| breaks(seed, guards)).count();
    assert_eq!(count(Guards::default()), 0);
    let broken = count(Guards::without(guard));
    println!("{broken} of {} without {guard:?}", seeds.clone().count());
    assert!(broken > 0);
}
