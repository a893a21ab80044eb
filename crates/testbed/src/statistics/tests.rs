//! Tests of `statistics.rs`.

use super::*;

#[test]
fn intervals_are_students() {
    // By hand: mean 3, standard deviation 1.5811, t(4) = 2.7764, half width 1.9632.
    let m = mean(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!(
        (m.value - 3.0).abs() < 1e-12 && (m.half - 1.9632).abs() < 1e-4,
        "{m:?}"
    );
    assert!(mean(&[1.0]).half.is_infinite() && !mean(&[1.0]).is_real());
    // Pairs that move together tell a small difference apart that the means alone would not.
    let (a, b) = ([0.50, 0.70, 0.90, 0.30], [0.49, 0.688, 0.891, 0.289]);
    assert!(paired(&a, &b).is_real() && mean(&a).half > 0.1);
}
