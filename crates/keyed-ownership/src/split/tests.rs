use super::BoundSplit;

#[test]
fn gate_quotas_and_pool_sum_to_the_bound() {
    for bound in [0, 1, 8, 20, 54] {
        for gates in [0, 1, 3, 8, 30, 360] {
            for percent in [0, 20, 50, 100, 200] {
                let split = BoundSplit::new(bound, gates, percent);
                assert_eq!(split.gate_quota * gates.max(1) + split.pool, bound);
            }
        }
    }
}

#[test]
fn gate_quota_is_rounded_down_and_the_rest_goes_to_the_pool() {
    assert_eq!(
        BoundSplit::new(20, 8, 50),
        BoundSplit {
            gate_quota: 1,
            pool: 12
        }
    );
    assert_eq!(
        BoundSplit::new(20, 360, 50),
        BoundSplit {
            gate_quota: 0,
            pool: 20
        }
    );
}

#[test]
fn gate_outside_the_region_has_the_pool_alone() {
    assert_eq!(
        BoundSplit::new(20, 3, 20).without_gate_quota(),
        BoundSplit {
            gate_quota: 0,
            pool: 17
        }
    );
}
