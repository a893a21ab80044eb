//! The warm-up of a server: the rise of its speed after its process starts.

use ironmast_balancer::Micros;

use crate::scenario::Pool;

/// The number of steps in which the speed of a server rises while it warms up.
const WARM_UP_STEPS: f64 = 64.0;

/// The parameters of a warm-up, which ends by time or by work done, whichever is sooner.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUp {
    /// The share of the full speed at the start, 0 to 1.
    initial_share: f64,
    /// The time after which the server is warm, in microseconds.
    duration: f64,
    /// The work after which the server is warm, in core-microseconds; 0 for no such limit.
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

    /// The share of the full speed, 0 to 1, at a time since the start of the process and after this
    /// much work.
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

    /// The time from the start of the process to the next speed step, without regard to work.
    pub(super) fn next_step(&self, since_start: Micros) -> Micros {
        let step = self.duration / WARM_UP_STEPS;
        let passed = (since_start as f64 / step).floor() + 1.0;
        (passed * step).ceil() as Micros
    }
}
