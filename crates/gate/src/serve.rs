//! The lifecycle of a gate: startup, reload of the settings, and graceful shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr as _};
use ironmast_routing::Decider;
use ironmast_schema::configuration::ClientLimits;
use ironmast_schema::settings::{Settings, SettingsError};
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::listener::{Listener, Service};
use ironmast_transport::sockets;
use ironmast_transport::tasks::Tasks;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::client_limits::client_limits;
use crate::frontend::Frontend;
use crate::gate::Gate;
use crate::limits::Limits;
use crate::readiness::ReadinessService;
use crate::upstream::UpstreamClients;
use crate::{drain, feed, health, peers};

/// File descriptors reserved for other uses than client and server connections: files, the poller,
/// listeners, the link to the agent.
const RESERVED_DESCRIPTORS: usize = 240;
/// The largest number of connections to the readiness listener.
const MAX_READINESS_CONNECTIONS: usize = 16;

/// Runs a gate on the current thread until SIGTERM, and shuts it down gracefully.
///
/// # Errors
/// As for [`serve()`], or the handler for SIGTERM can't be installed.
pub fn run(settings: Settings, log: Logger) -> Result<()> {
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
        serve(settings, log, async { _ = terminate.recv().await }).await
    })
}

/// Serves until `terminate` completes, and then shuts down gracefully: requests in progress may
/// finish until shortly before the end of the grace period. SIGHUP reloads the settings.
///
/// # Errors
/// The settings name no frontend, an address can't be bound, another step of the startup fails, or
/// an essential background task has failed.
pub async fn serve(
    settings: Settings,
    log: Logger,
    terminate: impl Future<Output = ()>,
) -> Result<()> {
    let frontend = settings
        .listeners_map
        .frontend
        .ok_or(SettingsError::MissingListener { name: "frontend" })?;
    let readiness = settings.listeners_map.readiness;
    let reload = signal(SignalKind::hangup()).wrap_err("waiting for SIGHUP")?;
    let memory_mb = settings.limits.memory_mb;
    let (client_budget, upstream_budget) =
        DescriptorBudget::split(settings.limits.max_fds, RESERVED_DESCRIPTORS);
    let gate = new_gate(settings, log, upstream_budget)?;

    // The listeners accept connections until this sender is dropped.
    let (_serving, is_serving) = watch::channel(true);
    let service = Rc::new(Frontend::new(Rc::clone(&gate), memory_mb));
    let tasks = Tasks::new(&gate.log);
    let listener = listen(
        &gate,
        frontend,
        service,
        client_budget,
        is_serving.clone(),
        &tasks,
    )?;
    if let Some(address) = readiness {
        let service = Rc::new(ReadinessService::new(Rc::clone(&gate)));
        let budget = DescriptorBudget::new(MAX_READINESS_CONNECTIONS);
        listen(&gate, address, service, budget, is_serving, &tasks)?;
    }
    spawn_background_tasks(&gate, frontend, &listener, &tasks);
    info!(gate.log, "gate is serving"; "frontend" => %frontend);
    tokio::select! {
        () = reload_until(terminate, reload, &gate) => {}
        failed = tasks.failed() => return Err(failed.into()),
    }
    drain::run(&gate, &listener).await;
    Ok(())
}

fn new_gate(
    settings: Settings,
    log: Logger,
    upstream_budget: DescriptorBudget,
) -> Result<Rc<Gate>> {
    let clock = Clock::start();
    let decider = Decider::new(
        ironmast_routing::Settings::new(&settings.region, &settings.zone),
        random_seed(),
    )
    .wrap_err("creating the routing decider")?;
    let limits = Limits::new(&settings.timing_bounds, clock.now());
    let upstream = UpstreamClients::new(upstream_budget);
    Ok(Gate::new(settings, log, clock, decider, limits, upstream))
}

/// Binds an address and accepts connections on it in a background task.
fn listen<S: Service + 'static>(
    gate: &Gate,
    address: SocketAddr,
    service: Rc<S>,
    budget: DescriptorBudget,
    is_serving: watch::Receiver<bool>,
    tasks: &Tasks,
) -> Result<Rc<Listener<S>>> {
    let limits = client_limits(ClientLimits::default());
    let listener = Listener::new(
        service,
        gate.clock,
        gate.log.clone(),
        budget,
        limits,
        is_serving,
    );
    let socket = sockets::listen(address).wrap_err_with(|| format!("listening at {address}"))?;
    let accepting = Rc::clone(&listener).accept(Rc::new(socket));
    tasks.spawn_essential("listener", accepting);
    Ok(listener)
}

/// Starts the background tasks, which run until the gate stops.
fn spawn_background_tasks(
    gate: &Rc<Gate>,
    frontend: SocketAddr,
    listener: &Rc<Listener<Frontend>>,
    tasks: &Tasks,
) {
    let listener = Rc::clone(listener);
    let set_limits = move |limits| listener.set_limits(limits);
    tasks.spawn_essential("feed", feed::run(Rc::clone(gate), frontend, set_limits));
    tasks.spawn_essential("health checks", health::run(Rc::clone(gate)));
    tasks.spawn_essential("load reports", peers::run(Rc::clone(gate)));
}

/// Reloads the settings at each SIGHUP until `terminate` completes.
async fn reload_until(terminate: impl Future<Output = ()>, mut reload: Signal, gate: &Gate) {
    tokio::pin!(terminate);
    loop {
        tokio::select! {
            _ = reload.recv() => reload_settings(gate),
            () = &mut terminate => return,
        }
    }
}

/// Reloads the settings file. If it is invalid, the current settings are kept and a warning is
/// logged.
fn reload_settings(gate: &Gate) {
    match Settings::from_environment() {
        Ok(settings) => {
            gate.replace_settings(settings);
            info!(gate.log, "settings reloaded");
        }
        Err(error) => {
            warn!(gate.log, "cannot reload the settings, keeping the current ones"; "error" => %error);
        }
    }
}

/// A seed for the decider's random choices, from the time and the process id: gates that start
/// together must not make the same choices.
fn random_seed() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}
