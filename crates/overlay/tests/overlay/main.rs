//! The overlay in a simulated network: dissemination, faults and costs.

mod support;

mod contact;
mod costs;
mod dissemination;
mod faults;
mod guards;
mod load;
mod random_faults;
