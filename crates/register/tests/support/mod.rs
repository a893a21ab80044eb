//! A simulated deployment: hosts with disks, a network with faults, clients, and the checks of what
//! they see.
#![allow(dead_code)]

pub mod checks;
pub mod day;
pub mod first_start;
pub mod random;
pub mod redundancy;
pub mod value;
pub mod world;
