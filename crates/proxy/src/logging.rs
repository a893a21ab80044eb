//! The log: one line a record on standard error, as text or as JSON, written by a thread of its own.

use std::io::stderr;

use clap::ValueEnum;
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};

/// How a record is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Time, level, message and values, for people.
    Text,
    /// One JSON object a line, for machines.
    Json,
}

/// The root logger. Records still queued are written when the guard is dropped.
pub fn root(format: LogFormat, name: &str) -> (Logger, AsyncGuard) {
    let (drain, guard) = match format {
        LogFormat::Text => {
            let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(stderr())).build();
            Async::new(lines.fuse()).build_with_guard()
        }
        LogFormat::Json => {
            let lines = slog_json::Json::new(stderr()).add_default_keys().set_flush(true).build();
            Async::new(lines.fuse()).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!("proxy" => name.to_string())), guard)
}
