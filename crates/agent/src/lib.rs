//! The agent of a gate: a process on the gate's host that connects it to the control plane. The agent
//! receives the control plane's entries over the overlay's relay tree, passes them to the gate over
//! loopback, and reports the gate's status to a coordinator.
//!
//! Entries from the overlay are merged into [`entry_table`], which sends the updates to the gate that
//! [`gate_link`] serves. The gate's status goes the opposite way: [`gate_reporter`] makes it a
//! versioned entry, and [`coordinator_link`] sends that to a coordinator. [`coordinator_connection`]
//! chooses the coordinator, and [`coordinator_search`] looks for a better one while it is out of
//! contact with the majority. All tasks run on a single thread and share [`state`].
//!
//! The gate continues with its last entries while its agent is down, so an agent may be restarted
//! at any time.

#![forbid(unsafe_code)]

mod coordinator_connection;
mod coordinator_link;
mod coordinator_search;
mod entry_table;
mod gate_link;
mod gate_reporter;
mod state;
#[cfg(test)]
mod test_support;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr as _};
use ironmast_overlay::Role;
use ironmast_overlay_transport::OverlayHandle;
use ironmast_schema::control::Entry;
use ironmast_schema::settings::{InternalPort, Settings};
use ironmast_transport::tasks::{TaskFailed, Tasks};
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

use state::{AgentState, SharedState};

/// Fraction of the grace period for which a terminating agent waits for its gate to disconnect.
const GATE_GRACE_FRACTION: f64 = 0.9;

/// Runs an agent until SIGTERM, and then until its gate has disconnected or most of the grace period
/// has passed. SIGHUP reloads the settings.
///
/// # Errors
/// A signal handler cannot be installed, an address cannot be bound, or an essential task has failed.
pub fn run(settings: Settings, log: Logger) -> Result<()> {
    actix_rt::System::new().block_on(Agent::start_and_run(settings, log))
}

/// A running agent.
struct Agent {
    state: SharedState,
    overlay: OverlayHandle,
    /// Entries that the overlay has received.
    entries: mpsc::UnboundedReceiver<Entry>,
    log: Logger,
    tasks: Tasks,
}

impl Agent {
    async fn start_and_run(settings: Settings, log: Logger) -> Result<()> {
        let terminate = signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
        let reload = signal(SignalKind::hangup()).wrap_err("waiting for SIGHUP")?;
        let mut agent = Agent::start(&settings, &log).await?;
        agent.run_until_terminated(terminate, reload).await?;
        let grace_period = settings.timing_bounds.grace_period_s * GATE_GRACE_FRACTION;
        agent.drain(Duration::from_secs_f64(grace_period)).await;
        Ok(())
    }

    async fn start(settings: &Settings, log: &Logger) -> Result<Agent> {
        let state = Rc::new(RefCell::new(AgentState::new(settings)));
        let feed_port = settings.internal_port(InternalPort::Feed);
        let feed = SocketAddr::from((Ipv4Addr::LOCALHOST, feed_port));
        let tasks = Tasks::new(log);
        gate_link::start(&state, feed, log, &tasks).await?;
        state
            .borrow_mut()
            .add_coordinators(&settings.seed_coordinators());
        tasks.spawn_essential("coordinator link", coordinator_link::run(Rc::clone(&state)));
        let (overlay, entries) = OverlayHandle::start(settings, Role::Agent, log, &tasks).await?;
        info!(log, "agent started"; "feed" => %feed, "zone" => &settings.zone);
        Ok(Agent {
            state,
            overlay,
            entries,
            log: log.clone(),
            tasks,
        })
    }

    async fn run_until_terminated(
        &mut self,
        mut terminate: Signal,
        mut reload: Signal,
    ) -> Result<(), TaskFailed> {
        loop {
            tokio::select! {
                failed = self.tasks.failed() => return Err(failed),
                Some(entry) = self.entries.recv() => self.state.borrow_mut().merge(vec![entry]),
                _ = reload.recv() => self.reload(),
                _ = terminate.recv() => return Ok(()),
            }
        }
    }

    /// Applies the seeds, the zone and the region of the settings file. If the file is invalid, the
    /// current settings are kept.
    fn reload(&self) {
        let settings = Settings::from_environment().inspect_err(|error| {
            warn!(self.log, "cannot reload the settings, keeping the current ones"; "error" => %error);
        });
        let Ok(settings) = settings else { return };
        self.overlay.set_seeds(&settings);
        let mut state = self.state.borrow_mut();
        state.add_coordinators(&settings.seed_coordinators());
        state.gate_reporter.set_location(&settings);
        info!(self.log, "settings reloaded");
    }

    /// Keeps passing updates to the gate, which still needs them while it drains, until it has
    /// disconnected, but for `grace_period` at most. Then leaves the overlay.
    async fn drain(mut self, grace_period: Duration) {
        let gate_disconnected = gate_link::disconnected(&self.state);
        let mut end = std::pin::pin!(tokio::time::timeout(grace_period, gate_disconnected));
        loop {
            tokio::select! {
                Some(entry) = self.entries.recv() => self.state.borrow_mut().merge(vec![entry]),
                _ = &mut end => break,
            }
        }
        self.overlay.leave();
    }
}

#[cfg(test)]
mod tests;
