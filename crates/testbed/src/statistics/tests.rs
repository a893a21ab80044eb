//! Tests of `statistics.rs`.

use super::*;

#[test]
fn the_interval_of_five_values_is_that_of_students_distribution() {
    // By hand: mean 3, standard deviation 1.5811, t(4) = 2.7764, half width 1.9632.
    let estimate = Estimate::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!(
        (estimate.mean - 3.0).abs() < 1e-12 && (estimate.half_width - 1.9632).abs() < 1e-4,
        "{estimate:?}"
    );
}

#[test]
fn a_single_value_has_no_interval_and_is_not_significant() {
    let estimate = Estimate::of(&[1.0]);
    assert!(estimate.half_width.is_infinite() && !estimate.is_significant());
}

#[test]
fn a_small_difference_of_pairs_is_significant_where_the_means_alone_are_wide() {
    let (a, b) = ([0.50, 0.70, 0.90, 0.30], [0.49, 0.688, 0.891, 0.289]);
    assert!(Estimate::of_paired_differences(&a, &b).is_significant());
    assert!(Estimate::of(&a).half_width > 0.1);
}
