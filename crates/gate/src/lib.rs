//! The gate: takes clients' requests and passes each to a server of its route's service. What it
//! knows comes from the agent beside it; it serves on with that while the agent is away.
//!
//! [`front`] reads requests, [`exchange`] makes attempts as `ironmast-routing` decides, [`attempt`]
//! is one of them, and [`events`] lets only whole events of a stream through. [`table`] builds what
//! the decisions are fed with from the entries of [`feed`]. Everything runs on one thread.
#![forbid(unsafe_code)]

mod answer;
mod attempt;
mod drain;
mod events;
mod exchange;
mod feed;
mod front;
mod gate;
mod head;
mod health;
mod limits;
mod peers;
mod table;
mod upstream;

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr as _};
use ironmast_routing::Decider;
use ironmast_schema::configuration::ClientLimits;
use ironmast_schema::settings::{Settings, SettingsError};
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::listener::Listener;
use ironmast_transport::sockets;
use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use front::{Front, Readiness, client_limits};
use gate::Gate;
use limits::Limits;
use upstream::Upstream;

/// Descriptors that are no connections: files, the poller, listeners, the link to the agent.
const APART: usize = 240;
/// Connections of the platform's checks.
const READINESS_MOST: usize = 16;

/// Runs a gate until SIGTERM.
///
/// # Errors
/// What keeps it from starting.
pub fn run(settings: Settings, log: Logger) -> Result<()> {
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
        serve(settings, log, async { _ = terminate.recv().await }).await
    })
}

/// Serves until `terminate` is done, and then for as long as a request needs or the grace period
/// lasts.
///
/// # Errors
/// What keeps it from starting.
pub async fn serve(
    settings: Settings,
    log: Logger,
    terminate: impl Future<Output = ()>,
) -> Result<()> {
    let frontend = settings
        .listeners_map
        .frontend
        .ok_or(SettingsError::NoListener { name: "frontend" })?;
    let readiness = settings.listeners_map.readiness;
    let mut reload = signal(SignalKind::hangup()).wrap_err("waiting for SIGHUP")?;
    let clock = Clock::start();
    let (clients, servers) = DescriptorBudget::split(settings.limits.max_fds, APART);
    let decider = Decider::new(
        ironmast_routing::Settings::new(&settings.region, &settings.zone),
        seed(),
    )
    .wrap_err("setting up the decisions")?;
    let limits = Limits::new(&settings.timing_bounds, clock.now());
    let memory_mb = settings.limits.memory_mb;
    let gate = Gate::new(
        settings,
        log.clone(),
        clock,
        decider,
        limits,
        Upstream::new(servers),
    );

    let (_serves, serving) = watch::channel(true);
    let bounds = client_limits(ClientLimits::default());
    let front = Rc::new(Front::new(Rc::clone(&gate), memory_mb));
    let listener = Listener::new(front, clock, log.clone(), clients, bounds, serving.clone());
    let socket = sockets::listen(frontend).wrap_err_with(|| format!("listening at {frontend}"))?;
    actix_rt::spawn(Rc::clone(&listener).accept(Rc::new(socket)));
    if let Some(at) = readiness {
        let socket = sockets::listen(at).wrap_err_with(|| format!("listening at {at}"))?;
        let service = Rc::new(Readiness(Rc::clone(&gate)));
        let checks = Listener::new(
            service,
            clock,
            log.clone(),
            DescriptorBudget::new(READINESS_MOST),
            bounds,
            serving,
        );
        actix_rt::spawn(checks.accept(Rc::new(socket)));
    }
    let limited = Rc::clone(&listener);
    actix_rt::spawn(feed::run(Rc::clone(&gate), frontend, move |limits| {
        limited.set_limits(limits);
    }));
    actix_rt::spawn(health::run(Rc::clone(&gate)));
    peers::start(&gate);
    info!(log, "gate serves"; "frontend" => %frontend);
    tokio::pin!(terminate);
    loop {
        tokio::select! {
            _ = reload.recv() => read_again(&gate),
            () = &mut terminate => break,
        }
    }
    drain::run(&gate, &listener).await;
    Ok(())
}

/// Reads the settings file again; a bad one changes nothing.
fn read_again(gate: &Gate) {
    match Settings::from_environment() {
        Ok(settings) => {
            gate.settings.replace(settings);
            info!(gate.log, "settings read again");
        }
        Err(error) => warn!(gate.log, "settings not taken, the old ones stay"; "why" => %error),
    }
}

/// A seed for draws: gates that start together must not draw alike.
fn seed() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}
