//! The interface of policies, and their access to the true state of the servers.

use ironmast_balancer::{Action, Balancer, Event, Micros, ServerId};

use crate::server::Estimate;

/// Access to the true state of the servers, which only the oracle may use.
pub trait GroundTruth {
    /// Estimates the waiting and total time of a request of this class and work (core-microseconds)
    /// if it were sent to the server now from this zone. The result is [`Estimate::NEVER`] if the
    /// request would not be answered or would overload the server.
    fn estimate_response(&self, server: ServerId, zone: usize, class: usize, work: f64)
    -> Estimate;
}

/// A load-balancing policy of one proxy, which maps [`Event`]s to [`Action`]s as the decision
/// module does.
pub trait Policy {
    /// Handles one event at the clock reading `now` and appends the actions to execute.
    fn handle(
        &mut self,
        now: Micros,
        event: Event,
        truth: &dyn GroundTruth,
        actions: &mut Vec<Action>,
    );
}

impl Policy for Balancer {
    fn handle(
        &mut self,
        now: Micros,
        event: Event,
        _: &dyn GroundTruth,
        actions: &mut Vec<Action>,
    ) {
        Balancer::handle(self, now, event, actions);
    }
}
