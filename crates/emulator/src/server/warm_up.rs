//! How a server that starts gains speed.

use ironmast_balancer::Micros;

use crate::scenario::Pool;

/// The number of steps in which the speed of a server rises while it warms up.
const WARM_UP_STEPS: f64 = 64.0;

/// How a server that starts warms up.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUp {
    /// The part of its speed that it starts with.
    initial_share: f64,
    /// The time after which it is warm, in microseconds.
    duration: f64,
    /// The work after which it is warm, in core-microseconds, if that is sooner; 0 for time alone.
    work: f64,
}

impl WarmUp {
    /// The warm-up of the servers of a pool.
    pub(super) fn new(pool: &Pool) -> Self {
        WarmUp {
            initial_share: pool.initial_speed_share,
            duration: pool.warm_up_s * 1e6,
            work: pool.warm_up_work_s * 1e6,
        }
    }

    /// The part of its full speed that a server has, 0 to 1, this long after its start and after
    /// this much work.
    pub(super) fn speed_share(&self, since_start: Micros, work_done: f64) -> f64 {
        if self.initial_share >= 1.0 {
            return 1.0;
        }
        let by_time = since_start as f64 / self.duration;
        let by_work = if self.work > 0.0 {
            work_done / self.work
        } else {
            0.0
        };
        let progress = ((by_time.max(by_work) * WARM_UP_STEPS).floor() / WARM_UP_STEPS).min(1.0);
        self.initial_share + (1.0 - self.initial_share) * progress
    }

    /// The time from the start to the next step in speed by time alone.
    pub(super) fn next_step(&self, since_start: Micros) -> Micros {
        let step = self.duration / WARM_UP_STEPS;
        let passed = (since_start as f64 / step).floor() + 1.0;
        (passed * step).ceil() as Micros
    }
}
