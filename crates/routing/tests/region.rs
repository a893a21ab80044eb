//! Several gates that do not talk, over the servers of a region: shared parts are read once and no
//! server is crowded for it, a crowd is turned away evenly, and an ill server costs little.

mod model;

use model::{Fate, Plan, play, play_plan};

/// The bounds that a gate has by default.
fn bounds() -> Option<(f64, f64)> {
    let settings = ironmast_routing::Settings::new("r", "z");
    Some((settings.affinity_load_excess, settings.affinity_load_floor))
}

#[test]
fn at_normal_load_shared_prefixes_are_hardly_prefilled_again() {
    for subjects in [6, 30, 150] {
        let (even, affine) = (
            play(None, subjects, 1.0, 60),
            play(bounds(), subjects, 1.0, 60),
        );
        assert!(
            even.again() > 0.1,
            "the even draw reads {} again",
            even.again()
        );
        assert!(
            affine.again() < 0.02,
            "{subjects} subjects: {} is read again",
            affine.again()
        );
        assert!(affine.first_ms(0.9) <= even.first_ms(0.9));
    }
}

#[test]
fn under_high_load_affinity_overloads_no_server() {
    for subjects in [6, 30, 150] {
        let (even, affine) = (
            play(None, subjects, 4.0, 40),
            play(bounds(), subjects, 4.0, 40),
        );
        assert!(
            affine.again() < 0.06,
            "{subjects} subjects: {} is read again",
            affine.again()
        );
        assert!(
            affine.most <= even.most * 3 / 2,
            "{} against {} running",
            affine.most,
            even.most
        );
        assert_eq!((affine.refused, affine.ejected), (0, 0));
    }
}

#[test]
fn without_a_load_bound_a_hot_prefix_overloads_its_server() {
    let (bound, unbound) = (
        play(bounds(), 6, 4.0, 40),
        play(Some((10.0, 1.0)), 6, 4.0, 40),
    );
    assert!(
        unbound.most > bound.most * 3 / 2,
        "{} against {} running",
        unbound.most,
        bound.most
    );
}

#[test]
fn under_overload_rejections_are_even_and_urgent_requests_come_first() {
    for (subjects, press) in [(6, 16.0), (150, 24.0)] {
        let played = play(bounds(), subjects, press, 40);
        let [patient, urgent, last] =
            [0, 1, 2].map(|kind| played.taken[kind] as f64 / played.asked[kind] as f64);
        let shares = format!("{subjects} subjects: {urgent:.2} {patient:.2} {last:.2}");
        assert!(
            played.refused > 1000 && played.early == 0,
            "{shares}, {} early",
            played.early
        );
        assert!(urgent + 0.05 > patient && patient + 0.05 > last, "{shares}");
        assert!(last > urgent / 3.0, "{shares}");
    }
}

/// A minute in which one of six servers is ill for twenty seconds.
fn ill(fate: Fate, press: f64) -> model::Played {
    play_plan(&Plan {
        affinity: bounds(),
        subjects: 30,
        press,
        seconds: 60,
        fate,
    })
}

#[test]
fn an_unresponsive_or_crashed_server_costs_a_few_requests() {
    for fate in [Fate::Dark, Fate::Down] {
        for press in [1.0, 4.0] {
            let played = ill(fate, press);
            assert!(
                (1..=16).contains(&played.lost),
                "{fate:?} at {press}: {} lost",
                played.lost
            );
            assert!(
                played.probes <= 40,
                "{fate:?} at {press}: {} probes",
                played.probes
            );
            assert!(played.refused == 0 && played.again() < 0.03);
        }
    }
}

#[test]
fn a_server_that_fails_a_third_or_is_slow_is_ejected() {
    let grey = ill(Fate::Grey, 4.0);
    assert!(
        grey.ejected > 0 && grey.lost < 60,
        "{} lost of about 95",
        grey.lost
    );
    let slow = ill(Fate::Slow, 4.0);
    assert!(
        slow.ejected > 0 && slow.late < 70 && slow.lost == 0,
        "{} late of about 280",
        slow.late
    );
}
