//! The gate, a layer-7 reverse proxy: accepts HTTP requests of clients, and forwards each to a
//! server of the service that its route names. Routes, servers and other gates are learned from the
//! agent on the same host; while the agent is unavailable, the gate keeps serving with what it
//! received last.
//!
//! A request enters through [`frontend`], which finds its route. [`exchange`] then makes the
//! attempts that `ironmast-routing` decides on, and returns the response. The routing table behind
//! these decisions is rebuilt by [`feed`] when the agent sends changes.
//!
//! | Module | Contents |
//! |---|---|
//! | [`mod@serve`] | startup, the listeners and background tasks, reload of the settings |
//! | [`frontend`], [`readiness`] | listeners for clients and for the platform's readiness checks |
//! | [`exchange`] | one request: its attempts and its response |
//! | [`attempt`], [`upstream`] | one attempt at a server, and the connection pools to servers |
//! | [`request`], [`response`], [`headers`], [`sse`] | the HTTP messages that are forwarded |
//! | [`feed`], [`entry_store`], [`table_spec`] | the agent's entries and the table built from them |
//! | [`health`] | health checks of servers that are ejected or may be warming up |
//! | [`peers`] | load reports exchanged with the other gates of the region |
//! | [`limits`], [`client_limits`] | limits shared by all gates, and limits on client connections |
//! | [`gate`], [`in_progress`], [`drain`] | the shared state, the requests in progress, and the graceful shutdown |
//!
//! A gate runs on a single thread.
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
mod in_progress;
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
