//! Load-balancing policies of one proxy behind one interface: the decision module, and the
//! reference policies that it is compared with.

mod endpoints;
mod interface;
mod name;
mod reference;
mod request;
mod selection;
mod warm_up;

pub use interface::{GroundTruth, Policy};
pub use name::{PolicyName, UnknownPolicy};
