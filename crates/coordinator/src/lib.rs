//! The coordinator: replica of the operator's state, catalog of server instances, operators' API
//! and address resolution. One thread owns all state ([`state`]); HTTP handlers ([`api`]) and links
//! ([`links`]) speak to it.
#![forbid(unsafe_code)]

mod api;
mod clock;
mod contact;
mod links;
mod node;
mod pending_reports;
mod register_log;
mod replica;
mod resolve;
mod value;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr as _};
use ironmast_overlay::Role;
use ironmast_overlay_transport::OverlayHandle;
use ironmast_schema::control::Entry;
use ironmast_schema::settings::{InternalPort, Settings, SettingsError};
use slog::{Logger, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::Interval;

use api::Commands;
use clock::Clock;
use node::{Command, CoordinatorNode};
use register_log::Persisted;
use replica::RegisterReplica;

/// How often silence is looked for and liveness told.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// The part of the grace period in which a replica that leaves may hand its place over.
const TRANSFER_FRACTION: f64 = 0.4;
/// Calls under way as the program ends are answered within this.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a coordinator until SIGTERM.
///
/// # Errors
/// What keeps it from starting.
pub fn run(settings: Settings, log: Logger) -> Result<()> {
    actix_rt::System::new().block_on(serve(settings, log))
}

async fn serve(settings: Settings, log: Logger) -> Result<()> {
    let control_plane = settings
        .listeners_map
        .control_plane
        .ok_or(SettingsError::NoListener {
            name: "control_plane",
        })?;
    let directory = settings.listeners_map.directory_service;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
    let reload = signal(SignalKind::hangup()).wrap_err("waiting for SIGHUP")?;
    let (mut coordinator, commands) = EventLoop::start(&settings, reload, &log).await?;
    let servers = api::start(control_plane, directory, &commands)?;
    info!(log, "coordinator serves"; "control_plane" => %control_plane, "zone" => &settings.zone);
    coordinator
        .run_until(async { _ = terminate.recv().await })
        .await;
    coordinator
        .transfer_replica(settings.timing_bounds.grace_period_s * TRANSFER_FRACTION)
        .await;
    let stop = async {
        for server in servers {
            server.stop(true).await;
        }
    };
    coordinator
        .run_until(async { _ = tokio::time::timeout(DRAIN_TIMEOUT, stop).await })
        .await;
    Ok(())
}

/// The state and everything that comes to it.
struct EventLoop {
    clock: Instant,
    state: Rc<RefCell<CoordinatorNode>>,
    mesh: OverlayHandle,
    commands: mpsc::UnboundedReceiver<Command>,
    persisted: mpsc::UnboundedReceiver<Persisted>,
    entries: mpsc::UnboundedReceiver<Entry>,
    tick: Interval,
    reload: Signal,
}

impl EventLoop {
    async fn start(settings: &Settings, reload: Signal, log: &Logger) -> Result<(Self, Commands)> {
        let own = SocketAddr::new(
            settings.ip_address,
            settings.internal_port(InternalPort::Coordinator),
        );
        let clock = Instant::now();
        let (replica, persisted) =
            RegisterReplica::open(settings, own, Clock::since(clock), log.clone())?;
        let (mesh, entries) = OverlayHandle::start(settings, Role::Coordinator, log).await?;
        let state = Rc::new(RefCell::new(CoordinatorNode::new(
            settings,
            own,
            replica,
            Box::new(mesh.clone()),
            log,
        )));
        links::start(&state, own, settings.seed_coordinators()).await?;
        let (to, commands) = mpsc::unbounded_channel();
        let tick = tokio::time::interval(TICK_INTERVAL);
        Ok((
            EventLoop {
                clock,
                state,
                mesh,
                commands,
                persisted,
                entries,
                tick,
                reload,
            },
            to,
        ))
    }

    /// Does what comes until `end` is over.
    async fn run_until(&mut self, end: impl Future<Output = ()>) {
        let mut end = pin!(end);
        loop {
            let wake_at = self.clock + self.state.borrow().wake_at();
            tokio::select! {
                Some(completion) = self.persisted.recv() => self.state.borrow_mut().persisted(completion),
                () = tokio::time::sleep_until(wake_at.into()) => self.state.borrow_mut().wake(),
                Some(entry) = self.entries.recv() => self.state.borrow_mut().heard(&entry),
                Some(command) = self.commands.recv() => self.state.borrow_mut().command(command),
                _ = self.tick.tick() => self.state.borrow_mut().tick(),
                _ = self.reload.recv() => self.read_seeds(),
                () = &mut end => return,
            }
        }
    }

    /// The settings file has changed: its seeds may be others.
    fn read_seeds(&self) {
        if let Ok(settings) = Settings::from_environment() {
            self.mesh.set_seeds(&settings);
            links::add(&self.state, &settings.seed_coordinators());
        }
    }

    /// Tells the others that this machine leaves. Where another coordinator can take the replica's
    /// place, waits until it has, for so many seconds at most.
    async fn transfer_replica(&mut self, seconds: f64) {
        self.state.borrow_mut().leave();
        self.mesh.leave();
        let deadline = Instant::now() + Duration::from_secs_f64(seconds);
        while self.state.borrow().can_transfer_replica() && Instant::now() < deadline {
            self.run_until(tokio::time::sleep(TICK_INTERVAL)).await;
        }
    }
}
