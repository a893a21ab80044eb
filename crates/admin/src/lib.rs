//! What operators do to a running proxy, as state machines that do no I/O: `call` reads the lines
//! they send, `admin` holds which servers they have taken out of use and shows the module
//! discovery's list under that, `replacement` decides what an old and a new process do while both
//! live, and `link` is what they say to each other. `listing` is an entry of discovery's list,
//! which all of these speak of.
#![forbid(unsafe_code)]

pub mod admin;
pub mod call;
pub mod link;
pub mod listing;
pub mod replacement;
