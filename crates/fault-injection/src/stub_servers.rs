//! Stub servers that follow the protocol page: pay servers with an execution record, and
//! discovery.

mod discovery;
mod execution_record;
pub(crate) mod http;
mod listener;
mod pay_server;

pub use discovery::{Discovery, Registry, Target};
pub use execution_record::{DEDUPLICATION_WINDOW, Execution, ExecutionRecord};
pub use pay_server::{PayServer, ResponseMode};
