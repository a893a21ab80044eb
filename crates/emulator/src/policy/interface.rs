//! What a policy is given, and what it returns.

use ironmast_balancer::{Action, Balancer, Event, Micros, ServerId};

use crate::server::Estimate;

/// The true state of the servers, which only the oracle may use.
pub trait GroundTruth {
    /// How long a request of this class and work (core-microseconds) would wait and take if it were
    /// sent to the server now from this zone. [`Estimate::NEVER`] if it would not be answered, or
    /// would overload the server.
    fn estimate_response(&self, server: ServerId, zone: usize, class: usize, work: f64)
    -> Estimate;
}

/// Decides for one proxy. It is given [`Event`]s and returns [`Action`]s, as the decision module.
pub trait Policy {
    /// Handles one event at a clock reading and appends the actions to take.
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
