use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn beat(elapsed_ms: u64) -> Beat {
    Beat {
        source: 1,
        elapsed_ms,
    }
}

#[test]
fn ages_follow_the_clock_of_the_source() {
    let mut beats = Beats::default();
    assert_eq!(beats.age(ms(0)), None);
    assert!(beats.learn(ms(10_050), &beat(400)));
    assert!(!beats.learn(ms(10_060), &beat(400)), "the same again");
    assert_eq!(beats.age(ms(10_150)), Some(ms(100)));
}

#[test]
fn a_beat_that_was_held_up_is_not_fresh() {
    let mut beats = Beats::default();
    beats.learn(ms(10_050), &beat(400));
    beats.learn(ms(13_000), &beat(800));
    assert_eq!(beats.age(ms(13_000)), Some(ms(2_550)));
    beats.learn(ms(13_010), &beat(3_360));
    assert_eq!(beats.age(ms(13_010)), Some(ms(0)));
}

#[test]
fn clocks_that_drift_apart_are_measured_anew() {
    let mut beats = Beats::default();
    for at in 1..1_000u64 {
        // This clock gains 1 ms a second.
        beats.learn(ms(at * 401), &beat(at * 400));
    }
    let age = beats.age(ms(999 * 401)).expect("there were beats");
    assert!(age < ms(400), "{age:?}");
}

#[test]
fn the_longest_unsent_sources_come_first() {
    let mut beats = Beats::default();
    let mut sent = Sent::default();
    let mut told = std::collections::BTreeSet::new();
    for round in 1..=3u64 {
        for source in 0..9 {
            beats.learn(
                ms(round * 400),
                &Beat {
                    source,
                    elapsed_ms: round * 400,
                },
            );
        }
        let beats = beats.unsent(3, &mut sent);
        assert_eq!(beats.len(), 3);
        told.extend(beats.iter().map(|beat| beat.source));
    }
    assert_eq!(told.len(), 9);
}

#[test]
fn sources_are_bounded() {
    let mut beats = Beats::default();
    for source in 0..100 {
        beats.learn(
            ms(u64::from(source) * 10),
            &Beat {
                source,
                elapsed_ms: 1,
            },
        );
    }
    assert_eq!(beats.ages(ms(1_000)).count(), SOURCES);
    assert_eq!(beats.age(ms(990)), Some(ms(0)));
}
