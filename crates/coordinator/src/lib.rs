//! The coordinator, the server of the control plane.
//!
//! A coordinator holds a replica of the operator's state (the configuration and the evacuated
//! zones), keeps the table of endpoints (the servers and gates that report their state), publishes
//! both to all gates over the overlay, and serves the operators' API, server registration and
//! address resolution over HTTP. `docs/design/control.md` describes the guarantees.
//!
//! One thread owns the state (`node`) and handles one event at a time (`event_loop`): commands of
//! the HTTP API (`api`, `command`), frames of the links to other coordinators and to agents
//! (`links`, `peers`, `subscribers`), entries from the overlay, and completions of disk writes. The
//! node returns typed outcomes (`outcome`); only `api` knows HTTP statuses.
//!
//! The node composes the replica of the register (`replica`, stored by `record_writer` and
//! `register_log`, with its value in `value`), the contact with a majority (`contact`), the
//! configuration in force (`directory`, `resolve`) and the endpoints (`published_endpoints`,
//! `publisher`). `pending_operations` and `pending_reports` hold the callers that await an outcome;
//! `caller` tells whether one still does.
#![forbid(unsafe_code)]

mod api;
mod caller;
mod clock;
mod command;
mod contact;
mod directory;
mod event_loop;
mod links;
mod node;
mod outcome;
mod peers;
mod pending_operations;
mod pending_reports;
mod published_endpoints;
mod publisher;
mod record_writer;
mod register_log;
mod replica;
mod resolve;
mod subscribers;
mod value;

use std::time::Duration;

use eyre::{Result, WrapErr as _};
use ironmast_schema::configuration::Configuration;
use ironmast_schema::settings::{Settings, SettingsError};
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

pub use directory::ConfigurationParser;
use event_loop::EventLoop;

/// Fraction of the grace period for which a coordinator that shuts down waits for another to
/// replace its replica.
const REPLACEMENT_FRACTION: f64 = 0.4;
/// Time for which requests in flight may complete before the process ends.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a coordinator until SIGTERM, then shuts it down gracefully.
///
/// # Errors
/// The coordinator cannot start: a listener is missing in the settings or cannot be bound, the
/// register's log cannot be opened, or a signal handler cannot be installed. While it runs: an
/// essential task has failed.
pub fn run(settings: Settings, log: Logger) -> Result<()> {
    run_with_parser(settings, log, Configuration::parse)
}

/// Runs a coordinator like [`run`], with another parser of configurations. Tests of mixed versions
/// pass a parser that behaves like another version of the schema.
///
/// # Errors
/// Returns the errors of [`run`].
pub fn run_with_parser(settings: Settings, log: Logger, parse: ConfigurationParser) -> Result<()> {
    actix_rt::System::new().block_on(serve(settings, log, parse))
}

async fn serve(settings: Settings, log: Logger, parse: ConfigurationParser) -> Result<()> {
    let control_plane =
        settings
            .listeners_map
            .control_plane
            .ok_or(SettingsError::MissingListener {
                name: "control_plane",
            })?;
    let directory = settings.listeners_map.directory_service;
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("installing the handler of SIGTERM")?;
    let reload = signal(SignalKind::hangup()).wrap_err("installing the handler of SIGHUP")?;
    let (commands, received) = mpsc::unbounded_channel();
    let mut event_loop = EventLoop::start(&settings, received, reload, &log, parse).await?;
    let servers = api::start(
        control_plane,
        directory,
        &commands,
        parse,
        event_loop.tasks(),
    )?;
    info!(log, "coordinator is serving"; "control_plane" => %control_plane, "zone" => &settings.zone);
    event_loop
        .run_until(async { _ = terminate.recv().await })
        .await?;
    let grace_period =
        Duration::from_secs_f64(settings.timing_bounds.grace_period_s * REPLACEMENT_FRACTION);
    event_loop.leave(grace_period).await?;
    let stop = async {
        for server in servers {
            server.stop(true).await;
        }
    };
    event_loop
        .run_until(async { _ = tokio::time::timeout(DRAIN_TIMEOUT, stop).await })
        .await?;
    Ok(())
}
