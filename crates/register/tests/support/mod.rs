//! A simulated deployment: hosts with disks, a network with faults, clients, and checks of the
//! states and outcomes that they observe.
#![allow(dead_code, reason = "no test file uses all of it")]

pub(crate) mod bootstrap;
pub(crate) mod checks;
pub(crate) mod conditions;
pub(crate) mod event;
pub(crate) mod event_queue;
pub(crate) mod fault_plan;
pub(crate) mod fault_run;
pub(crate) mod guards;
pub(crate) mod host;
pub(crate) mod random;
pub(crate) mod redundancy;
pub(crate) mod value;
pub(crate) mod world;
