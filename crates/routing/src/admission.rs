//! Admission control: up to which load a server accepts a request, by the request's priority.

use crate::guards::Guard;
use crate::priority::LOWEST_PRIORITY;
use crate::settings::Settings;

/// Lower bound of every admission limit: below this fraction of its capacity a server is never
/// considered full.
pub(crate) const MIN_OVERLOAD_SHARE: f64 = 0.5;

/// The inputs of a request's admission limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionInputs {
    /// Priority of the request; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Random number of the request in `[0, 1]`: the higher it is, the lower the limit.
    pub(crate) admission_draw: f64,
    /// Average duration of a response of the service, in microseconds.
    pub(crate) response_time: f64,
    /// Shortest latency objective of the service, in microseconds.
    pub(crate) objective: f64,
}

/// The utilization up to which a server may be filled for a request to be sent there, never below
/// [`MIN_OVERLOAD_SHARE`].
///
/// Above 1, requests wait in the server's queue: as many as will get a slot within the configured
/// part of the latency objective. Each request has a limit of its own, lowered by its priority and
/// its random number. Under overload a random part of the requests is therefore rejected, the
/// less urgent ones more often, without excluding any kind or size.
pub(crate) fn max_utilization(settings: &Settings, inputs: AdmissionInputs) -> f64 {
    let priority = if Guard::PriorityReserve.on() {
        f64::from(inputs.priority.min(LOWEST_PRIORITY))
    } else {
        0.0
    };
    let queue_time = settings.max_queue_time_share * inputs.objective;
    let queue = (queue_time / inputs.response_time.max(1.0)).min(settings.max_queue_share);
    let limit = settings.max_load + queue - priority * settings.priority_step;
    (limit - inputs.admission_draw * settings.rejection_ramp).max(MIN_OVERLOAD_SHARE)
}

#[cfg(test)]
mod tests;
