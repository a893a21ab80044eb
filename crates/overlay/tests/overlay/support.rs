//! Code that the tests share: deployments, and the simulated network with its faults.

pub(crate) mod cuts;
mod delivery;
pub(crate) mod deployment;
mod event_queue;
pub(crate) mod node;
pub(crate) mod simulation;
pub(crate) mod statistics;
pub(crate) mod traffic;
