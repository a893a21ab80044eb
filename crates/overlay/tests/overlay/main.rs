//! The overlay in a simulated network: distribution, faults and costs.

mod plan;
mod sim;
mod traffic;

mod contact;
mod costs;
mod faults;
mod guards;
mod hunt;
mod load;
mod spread;
