use super::*;

const PATIENCE: Micros = 600_000;

fn dark(paths: &Paths, now: Micros, quiet: usize) -> bool {
    paths.is_dark(now, "south", PATIENCE, || quiet)
}

#[test]
fn a_region_that_nobody_tried_is_not_dark() {
    assert!(!dark(&Paths::default(), 10 * PATIENCE, 10));
}

#[test]
fn a_region_is_dark_after_two_answers_are_owed_and_none_has_come() {
    let (mut paths, south) = (Paths::default(), "south".into());
    paths.record_liveness(1, &south);
    assert!(!dark(&paths, PATIENCE, 2), "not for long enough");
    assert!(dark(&paths, PATIENCE + 1, 2));
    assert!(!dark(&paths, PATIENCE + 1, 1), "one server may be gone");
    paths.unanswered(&south);
    assert!(dark(&paths, PATIENCE + 1, 1));
    paths.unanswered(&south);
    assert!(dark(&paths, PATIENCE + 1, 0));
    paths.record_liveness(PATIENCE + 2, &south);
    assert!(
        !dark(&paths, 3 * PATIENCE, 1),
        "what was owed before counts no more"
    );
}

#[test]
fn a_dark_region_is_asked_now_and_then() {
    let mut paths = Paths::default();
    paths.record_liveness(1, &"south".into());
    assert!(paths.ask(ASK_EVERY, "south"));
    assert!(!paths.ask(2 * ASK_EVERY - 1, "south"));
    assert!(paths.ask(2 * ASK_EVERY, "south"));
}
