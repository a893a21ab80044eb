//! A simulated deployment: hosts with disks, a network with faults, clients, and the checks of what
//! they see.
#![allow(dead_code)]

pub(crate) mod bootstrap;
pub(crate) mod checks;
pub(crate) mod day;
pub(crate) mod random;
pub(crate) mod redundancy;
pub(crate) mod value;
pub(crate) mod world;
