//! The event loop: passes commands, frames, disk completions, timers and signals to the node, one
//! event at a time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::Result;
use ironmast_overlay::Role;
use ironmast_overlay_transport::OverlayHandle;
use ironmast_schema::control::Entry;
use ironmast_schema::settings::{InternalPort, Settings};
use ironmast_transport::tasks::{TaskFailed, Tasks};
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::Interval;

use crate::clock::Clock;
use crate::command::Command;
use crate::directory::{ConfigurationParser, Directory};
use crate::links::{self, Links};
use crate::node::CoordinatorNode;
use crate::peers::Peers;
use crate::register_log::WriteCompletion;
use crate::replica::{OpenedReplica, RegisterReplica};

/// Interval of the node's periodic work: expiry of endpoints and keep-alive frames.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The node and the sources of its events.
pub(crate) struct EventLoop {
    started: Instant,
    node: Rc<RefCell<CoordinatorNode>>,
    overlay: OverlayHandle,
    commands: mpsc::UnboundedReceiver<Command>,
    completions: mpsc::UnboundedReceiver<WriteCompletion>,
    entries: mpsc::UnboundedReceiver<Entry>,
    tick: Interval,
    reload: Signal,
    log: Logger,
    links: Links,
    tasks: Rc<Tasks>,
}

impl EventLoop {
    /// The owner of the background tasks; a failure of an essential one ends the loop.
    pub(crate) fn tasks(&self) -> &Tasks {
        &self.tasks
    }

    /// Recovers the replica, joins the overlay and starts the links.
    ///
    /// # Errors
    /// The register's log cannot be opened, or an address cannot be bound.
    pub(crate) async fn start(
        settings: &Settings,
        commands: mpsc::UnboundedReceiver<Command>,
        reload: Signal,
        log: &Logger,
        parse: ConfigurationParser,
    ) -> Result<Self> {
        let own = SocketAddr::new(
            settings.ip_address,
            settings.internal_port(InternalPort::Coordinator),
        );
        let started = Instant::now();
        let OpenedReplica {
            replica,
            completions,
        } = RegisterReplica::open(settings, own, Clock::since(started), log.clone())?;
        let tasks = Rc::new(Tasks::new(log));
        let (overlay, entries) =
            OverlayHandle::start(settings, Role::Coordinator, log, &tasks).await?;
        let publisher = Box::new(overlay.clone());
        let directory = Directory::new(&settings.timing_bounds, parse);
        let node = CoordinatorNode::new(
            settings,
            Peers::new(own),
            replica,
            publisher,
            directory,
            log,
        );
        let node = Rc::new(RefCell::new(node));
        let links = Links::new(&node, &tasks, log);
        links::start(&links, &settings.seed_coordinators(), &tasks).await?;
        Ok(EventLoop {
            started,
            node,
            overlay,
            commands,
            completions,
            entries,
            tick: tokio::time::interval(TICK_INTERVAL),
            reload,
            log: log.clone(),
            links,
            tasks,
        })
    }

    /// Handles events until `end` completes.
    ///
    /// # Errors
    /// An essential task has failed.
    pub(crate) async fn run_until(
        &mut self,
        end: impl Future<Output = ()>,
    ) -> Result<(), TaskFailed> {
        let mut end = pin!(end);
        loop {
            let wake_at = self.started + self.node.borrow().wake_at();
            tokio::select! {
                Some(completion) = self.completions.recv() => {
                    self.node.borrow_mut().handle_write_completion(completion);
                }
                () = tokio::time::sleep_until(wake_at.into()) => self.node.borrow_mut().wake(),
                Some(entry) = self.entries.recv() => self.node.borrow_mut().receive_entry(&entry),
                Some(command) = self.commands.recv() => self.node.borrow_mut().execute(command),
                _ = self.tick.tick() => self.node.borrow_mut().tick(),
                _ = self.reload.recv() => self.reload_seeds(),
                failed = self.tasks.failed() => return Err(failed),
                () = &mut end => return Ok(()),
            }
        }
    }

    /// Reads the seeds from the settings again; invalid settings change nothing.
    fn reload_seeds(&self) {
        let settings = Settings::from_environment().inspect_err(|error| {
            warn!(self.log, "cannot reload the settings, keeping the current ones"; "error" => %error);
        });
        let Ok(settings) = settings else { return };
        self.overlay.set_seeds(&settings);
        self.links.connect(&settings.seed_coordinators());
        info!(self.log, "settings reloaded");
    }

    /// Announces the shutdown to the other nodes. If another coordinator can take the replica's
    /// place, waits up to `timeout` for it to do so.
    ///
    /// # Errors
    /// An essential task has failed.
    pub(crate) async fn leave(&mut self, timeout: Duration) -> Result<(), TaskFailed> {
        self.node.borrow_mut().leave();
        self.overlay.leave();
        let deadline = Instant::now() + timeout;
        while self.node.borrow().can_transfer_replica() && Instant::now() < deadline {
            self.run_until(tokio::time::sleep(TICK_INTERVAL)).await?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
