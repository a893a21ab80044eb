//! One run of the client proxy: starts its parts, carries out the hot restart, reads the
//! configuration again on SIGHUP and ends on SIGTERM.

mod actions;
mod partner_events;
mod reload;
mod sockets;
mod start;

use std::collections::VecDeque;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use eyre::{Result, WrapErr as _};
use ironmast_admin::hot_restart::{Event, HotRestart, Predecessor};
use ironmast_balancer::Balancer;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::listener::Listener;
use slog::{Logger, debug};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};

use crate::config::Config;
use crate::hot_restart::partners::{PartnerEvent, Partners};
use crate::listener::ClientService;
use crate::listener::open_names::OpenNames;
use crate::message::{DiscoveryCommand, PriorityMessage};
use crate::runtime_files::RuntimeFiles;

/// The driver of the decision module has ended. Guards against a proxy that accepts requests on
/// which nobody decides: the process ends and is started again.
#[derive(Debug, thiserror::Error)]
#[error("the driver of the decision module has ended")]
struct DriverEnded;

/// Serves until a signal ends the process.
///
/// # Errors
/// If the process can't listen, if membership or the settings are invalid, or if the driver of the
/// decision module has ended.
pub async fn run(config: Config, log: Logger) -> Result<()> {
    // Before all else: guards against a SIGHUP that ends a process which does not handle it yet.
    let hang_up = signal(SignalKind::hangup()).wrap_err("handling SIGHUP")?;
    let balancer = Balancer::new(config.deployment.settings.clone(), config.seed)?;
    let signals = Signals {
        hang_up,
        terminate: signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?,
        interrupt: signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?,
    };
    Proxy::start(config, balancer, signals, log)?.serve().await
}

/// The signals that the process handles.
struct Signals {
    hang_up: Signal,
    terminate: Signal,
    interrupt: Signal,
}

/// A running proxy.
struct Proxy {
    config: Config,
    log: Logger,
    signals: Signals,
    files: RuntimeFiles,
    partners: Rc<Partners>,
    hot_restart: HotRestart,
    /// Whether this process took over from another one.
    predecessor: Predecessor,
    /// Reports to `partner_events`.
    to_partner_events: mpsc::UnboundedSender<PartnerEvent>,
    partner_events: mpsc::UnboundedReceiver<PartnerEvent>,
    /// The socket at which clients connect; `None` once the process shuts down.
    listener: Option<Rc<TcpListener>>,
    datagrams: Option<Rc<UdpSocket>>,
    /// The descriptors for connections of clients, and for those to servers.
    descriptors: [DescriptorBudget; 2],
    /// Whether this process serves, for the parts that do so only in one of two processes.
    serving: watch::Sender<bool>,
    to_driver: mpsc::UnboundedSender<PriorityMessage>,
    to_discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// Notified when the first server is known.
    servers_known: Rc<Notify>,
    open_names: Rc<OpenNames>,
    clients: Rc<Listener<ClientService>>,
    driver: JoinHandle<()>,
    /// Accepts clients; taken by the shutdown.
    accepting: Option<JoinHandle<()>>,
    /// Waits for successors.
    successors: Option<JoinHandle<()>>,
    /// Completes the open requests before the process ends.
    shutdown: Option<JoinHandle<()>>,
}

/// What the process waits for.
enum Wakeup {
    Terminate,
    Reload,
    ServersKnown,
    Partner(PartnerEvent),
    DriverEnded,
    ShutdownComplete,
}

impl Proxy {
    /// Serves until the shutdown is complete.
    async fn serve(mut self) -> Result<()> {
        let mut actions = VecDeque::from([HotRestart::initial_action(self.predecessor)]);
        loop {
            while let Some(action) = actions.pop_front() {
                debug!(self.log, "hot restart"; "action" => ?action);
                self.carry_out(action).await;
            }
            let event = match self.wait().await {
                Wakeup::Terminate => Some(Event::Terminate),
                Wakeup::Reload => {
                    reload::reload(&mut self.config, &self.to_discovery, &self.log);
                    None
                }
                Wakeup::ServersKnown => Some(Event::EndpointsReceived),
                Wakeup::Partner(event) => self.handle_partner_event(event).await?,
                Wakeup::DriverEnded => return Err(DriverEnded.into()),
                Wakeup::ShutdownComplete => return Ok(()),
            };
            if let Some(event) = event {
                actions.extend(self.hot_restart.handle(event));
            }
        }
    }

    async fn wait(&mut self) -> Wakeup {
        tokio::select! {
            _ = self.signals.terminate.recv() => Wakeup::Terminate,
            _ = self.signals.interrupt.recv() => Wakeup::Terminate,
            _ = self.signals.hang_up.recv() => Wakeup::Reload,
            () = self.servers_known.notified() => Wakeup::ServersKnown,
            _ = &mut self.driver => Wakeup::DriverEnded,
            // Until then partners are still handled: an override that is made at the successor
            // applies here, too.
            () = completed(&mut self.shutdown) => Wakeup::ShutdownComplete,
            Some(event) = self.partner_events.recv() => Wakeup::Partner(event),
        }
    }
}

/// Returns when the task has completed; never if there is none.
async fn completed(task: &mut Option<JoinHandle<()>>) {
    match task {
        // An error would be a panic in the task, which ends the shutdown as well.
        Some(task) => drop(task.await),
        None => std::future::pending().await,
    }
}
