use super::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings::new("r", "z")
}

fn claim() -> AdmissionInputs {
    AdmissionInputs {
        rank: 0,
        chance: 0.0,
        whole: 1000.0,
        target: 0.0,
    }
}

fn level(claim: AdmissionInputs) -> f64 {
    super::level(&settings(), claim)
}

#[test]
fn each_rank_has_a_lower_level_and_none_is_under_half() {
    let levels: Vec<f64> = (0..20)
        .map(|rank| level(AdmissionInputs { rank, ..claim() }))
        .collect();
    assert_eq!(levels[0], 1.0);
    assert!(levels.windows(2).take(9).all(|pair| pair[1] < pair[0]));
    assert_eq!(levels[9], levels[19]);
    let settings = Settings {
        priority_step: 0.5,
        ..settings()
    };
    assert_eq!(
        super::level(&settings, AdmissionInputs { rank: 9, ..claim() }),
        MIN_OVERLOAD_SHARE
    );
}

#[test]
fn ranks_overlap_so_that_none_is_left_out() {
    let urgent_last = level(AdmissionInputs {
        chance: 1.0,
        ..claim()
    });
    let patient_first = level(AdmissionInputs { rank: 9, ..claim() });
    assert!(patient_first > urgent_last);
}

#[test]
fn as_many_wait_as_have_a_slot_in_time() {
    let waiting = |whole, target| {
        level(AdmissionInputs {
            whole,
            target,
            ..claim()
        }) - 1.0
    };
    // A quarter of the objective of 1 s is a tenth of the 2.5 s that each takes.
    assert!((waiting(2_500_000.0, 1_000_000.0) - 0.1).abs() < 1e-9);
    assert_eq!(
        (waiting(30_000.0, 400_000.0), waiting(0.0, 0.0)),
        (0.5, 0.0)
    );
}

#[test]
fn turns_follow_each_other_and_pass_with_time() {
    let mut turns = RetrySchedule::default();
    let (one, other): (Arc<str>, Arc<str>) = ("one".into(), "other".into());
    assert_eq!(
        [0, 0, 0].map(|_| turns.next(0, &one, 100, 1000)),
        [100, 200, 300]
    );
    assert_eq!(
        turns.next(0, &other, 100, 1000),
        100,
        "services do not share turns"
    );
    assert_eq!(turns.next(150, &one, 100, 1000), 250);
    assert_eq!(turns.next(9000, &one, 100, 1000), 100);
    assert_eq!(
        (0..30).map(|_| turns.next(9000, &one, 100, 1000)).max(),
        Some(1000)
    );
    turns.keep(|name| name == "other");
    assert_eq!(turns.next(9000, &one, 100, 1000), 100);
}

#[test]
fn waits_are_spread_and_bounded() {
    let mut rng = Rng(1);
    let mut wait = |wait, left| {
        refuse(
            &settings(),
            &mut rng,
            RejectionStatus::Unavailable,
            wait,
            left,
        )
        .retry_after
    };
    let waits: Vec<Micros> = (0..200).map(|_| wait(SECOND, 60 * SECOND)).collect();
    assert!(
        waits
            .iter()
            .all(|wait| (750_000..=1_250_000).contains(wait))
    );
    assert!(waits.iter().max().expect("waits") - waits.iter().min().expect("waits") > 400_000);
    let (least, most) = settings().retry_after;
    assert!(wait(0, SECOND) >= least * 3 / 4);
    assert!(wait(60 * SECOND, 60 * SECOND) <= most * 5 / 4);
    assert!(
        wait(SECOND, SECOND) <= SECOND / 3 * 5 / 4,
        "a third of what is left"
    );
    assert!(wait(SECOND, 0) <= least * 5 / 4);
}

#[test]
fn places_come_free_at_the_pace_of_what_is_in_flight() {
    assert_eq!((gap(1000.0, 10.0), gap(1000.0, 0.0)), (100, 1000));
}

#[test]
fn the_header_has_seconds_with_a_fraction() {
    let refusal = Rejection {
        status: RejectionStatus::TooManyRequests,
        retry_after: 1_250_400,
    };
    assert_eq!(
        (
            refusal.retry_after_seconds().as_str(),
            refusal.status.code()
        ),
        ("1.250", 429)
    );
    assert_eq!(RejectionStatus::Unavailable.code(), 503);
}
