//! The gate: accepts clients' requests and forwards each to a server of its route's service.
//!
//! What the gate knows of routes, servers and other gates comes from the agent beside it; it keeps
//! serving with the last of that while the agent is away.
//!
//! | Module | Job |
//! |---|---|
//! | [`frontend`], [`readiness`] | clients and the platform's checks |
//! | [`exchange`] | one request: attempts as `ironmast-routing` decides, and the response |
//! | [`attempt`], [`upstream`] | one attempt at a server, and the connections to servers |
//! | [`request`], [`response`], [`headers`], [`sse`] | the messages that pass through |
//! | [`feed`], [`entry_store`], [`table_spec`] | the agent's entries and the table made of them |
//! | [`health`], [`peers`], [`limits`] | health checks, other gates' load, limits of the fleet |
//! | [`gate`], [`drain`] | the shared state, and the graceful shutdown |
//!
//! Everything runs on one thread.
#![forbid(unsafe_code)]

mod attempt;
mod client_limits;
mod drain;
mod entry_store;
mod exchange;
mod feed;
mod frontend;
mod gate;
mod headers;
mod health;
mod limits;
mod peers;
mod readiness;
mod request;
mod response;
mod serve;
mod sse;
mod table_spec;
#[cfg(test)]
mod test_support;
mod upstream;

pub use serve::{run, serve};
