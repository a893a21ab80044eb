use std::time::Duration;

use super::{Split, Terms};

#[test]
fn quiet_is_the_sum_of_what_an_earlier_owner_may_still_cause() {
    let terms = Terms::cold();
    assert_eq!(
        terms.quiet,
        terms.lease + terms.life + terms.flight + terms.span
    );
    let window = Duration::from_secs(10);
    assert!(Terms::retry(window).quiet > window);
}

#[test]
fn longer_life_than_the_terms_allow_is_not_charged() {
    let terms = Terms::cold();
    assert_eq!(terms.charged(terms.life * 5), terms.life + terms.settles());
}

#[test]
fn shares_and_pool_are_the_bound() {
    for bound in [0, 1, 8, 20, 54] {
        for gates in [0, 1, 3, 8, 30, 360] {
            for percent in [0, 20, 50, 100, 200] {
                let split = Split::new(bound, gates, percent);
                assert_eq!(split.share * gates.max(1) + split.pool, bound);
            }
        }
    }
    assert_eq!(Split::new(20, 8, 50), Split { share: 1, pool: 12 });
    assert_eq!(Split::new(20, 360, 50), Split { share: 0, pool: 20 });
    assert_eq!(
        Split::new(20, 3, 20).without_share(),
        Split { share: 0, pool: 17 }
    );
}
