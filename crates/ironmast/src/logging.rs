//! The log: one line per record on standard error, as text or as JSON, written by a dedicated
//! thread.

use std::io::stderr;

use clap::ValueEnum;
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard};

/// The format of log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// Time, level, message and values, for human readers.
    Text,
    /// One JSON object per line, for log processors.
    Json,
}

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogLevel {
    /// Faults only.
    Warning,
    /// Also changes of the proxy's state: endpoint lists, ejected servers, restarts.
    Info,
    /// Also the course of each request, several lines per request.
    Debug,
}

/// The number of records that may be queued, up to level info and at level debug. Further records are
/// dropped, and their number is logged.
const QUEUE_CAPACITY: (usize, usize) = (1_024, 65_536);

/// Creates the root logger. Records that are still queued are written when the guard is dropped.
pub(crate) fn root(format: LogFormat, level: LogLevel, name: &str) -> (Logger, AsyncGuard) {
    let (min_level, capacity) = match level {
        LogLevel::Warning => (Level::Warning, QUEUE_CAPACITY.0),
        LogLevel::Info => (Level::Info, QUEUE_CAPACITY.0),
        LogLevel::Debug => (Level::Debug, QUEUE_CAPACITY.1),
    };
    let (drain, guard) = match format {
        LogFormat::Text => {
            let lines =
                slog_term::FullFormat::new(slog_term::PlainDecorator::new(stderr())).build();
            Async::new(lines.fuse())
                .chan_size(capacity)
                .build_with_guard()
        }
        LogFormat::Json => {
            let lines = slog_json::Json::new(stderr())
                .add_default_keys()
                .set_flush(true)
                .build();
            Async::new(lines.fuse())
                .chan_size(capacity)
                .build_with_guard()
        }
    };
    (
        Logger::root(
            LevelFilter::new(drain, min_level).fuse(),
            o!("proxy" => name.to_string()),
        ),
        guard,
    )
}
