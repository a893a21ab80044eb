//! Runs the client proxy: starts its tasks, performs hot restarts, reloads the configuration on
//! SIGHUP and shuts down on SIGTERM or SIGINT.

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

/// The driver of the decision module has ended. The process exits and is started again, because it
/// would accept requests that no driver handles.
#[derive(Debug, thiserror::Error)]
#[error("the driver of the decision module has ended")]
struct DriverEnded;

/// Runs the client proxy until a signal has made it shut down and no request is open.
///
/// # Errors
/// If a socket or a signal handler can't be set up, if the settings or the membership file are
/// invalid, or if the driver of the decision module has ended.
pub async fn run(config: Config, log: Logger) -> Result<()> {
    // First of all, because an unhandled SIGHUP ends the process.
    let hang_up = signal(SignalKind::hangup()).wrap_err("installing the SIGHUP handler")?;
    let balancer = Balancer::new(config.deployment.settings.clone(), config.seed)?;
    let signals = Signals {
        hang_up,
        terminate: signal(SignalKind::terminate()).wrap_err("installing the SIGTERM handler")?,
        interrupt: signal(SignalKind::interrupt()).wrap_err("installing the SIGINT handler")?,
    };
    Proxy::start(config, balancer, signals, log)?.serve().await
}

/// The streams of the signals that the process handles.
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
    /// Whether this process takes over from a running one.
    predecessor: Predecessor,
    /// The sending half of `partner_events`.
    to_partner_events: mpsc::UnboundedSender<PartnerEvent>,
    partner_events: mpsc::UnboundedReceiver<PartnerEvent>,
    /// The socket that listens for clients; `None` once the shutdown has begun.
    listener: Option<Rc<TcpListener>>,
    datagrams: Option<Rc<UdpSocket>>,
    /// The file descriptor budgets for client connections and for server connections.
    descriptors: [DescriptorBudget; 2],
    /// Whether this process serves, for the tasks that only one of the two processes of a hot
    /// restart may run.
    serving: watch::Sender<bool>,
    to_driver: mpsc::UnboundedSender<PriorityMessage>,
    to_discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// Notified when the first server is known.
    servers_known: Rc<Notify>,
    open_names: Rc<OpenNames>,
    clients: Rc<Listener<ClientService>>,
    driver_task: JoinHandle<()>,
    /// The task that accepts clients; taken by the shutdown.
    accept_task: Option<JoinHandle<()>>,
    /// The task that accepts successors.
    successor_task: Option<JoinHandle<()>>,
    /// The task that completes the open requests before the process exits.
    shutdown_task: Option<JoinHandle<()>>,
}

/// The events that wake the main loop.
enum Wakeup {
    Terminate,
    Reload,
    ServersKnown,
    Partner(PartnerEvent),
    DriverEnded,
    ShutdownComplete,
}

impl Proxy {
    /// Runs the main loop until the shutdown is complete.
    async fn serve(mut self) -> Result<()> {
        let mut actions = VecDeque::from([HotRestart::initial_action(self.predecessor)]);
        loop {
            while let Some(action) = actions.pop_front() {
                debug!(self.log, "hot restart"; "action" => ?action);
                self.execute_action(action).await;
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
            _ = &mut self.driver_task => Wakeup::DriverEnded,
            // Partner events are handled until the shutdown is complete: an override made at the
            // successor applies here as well.
            () = task_completed(&mut self.shutdown_task) => Wakeup::ShutdownComplete,
            Some(event) = self.partner_events.recv() => Wakeup::Partner(event),
        }
    }
}

/// Waits until the task has completed; never returns if there is none.
async fn task_completed(task: &mut Option<JoinHandle<()>>) {
    match task {
        // An error is a panic in the task, which also ends the shutdown.
        Some(task) => drop(task.await),
        None => std::future::pending().await,
    }
}
