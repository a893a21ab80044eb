//! Tests of the overlay in a simulated network: dissemination, faults, load and costs.

mod support;

mod contact;
mod costs;
mod dissemination;
mod faults;
mod guards;
mod load;
mod random_faults;
