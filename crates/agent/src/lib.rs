//! The agent beside a gate: keeps the link to the control plane and feeds the gate over loopback.
//! The gate serves on with what it has while its agent is away.
#![forbid(unsafe_code)]

mod feed;
mod state;
mod uplink;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr as _};
use ironmast_overlay::Role;
use ironmast_overlay_transport::OverlayHandle;
use ironmast_schema::settings::{InternalPort, Settings};
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};

use state::State;

/// The part of the grace period that the agent waits for its gate.
const GRACE_USED: f64 = 0.9;

/// Runs an agent until SIGTERM.
///
/// # Errors
/// What keeps it from starting.
pub fn run(settings: Settings, log: Logger) -> Result<()> {
    actix_rt::System::new().block_on(serve(settings, log))
}

async fn serve(settings: Settings, log: Logger) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("waiting for SIGHUP")?;
    let state = Rc::new(RefCell::new(State::new(&settings)));
    let feed = SocketAddr::from((
        Ipv4Addr::LOCALHOST,
        settings.internal_port(InternalPort::Feed),
    ));
    feed::start(&state, feed).await?;
    uplink::add(&state, &settings.seed_coordinators());
    actix_rt::spawn(uplink::keep(Rc::clone(&state)));
    let (mesh, mut entries) = OverlayHandle::start(&settings, Role::Agent, &log).await?;
    info!(log, "agent serves"; "feed" => %feed, "zone" => &settings.zone);
    loop {
        tokio::select! {
            Some(entry) = entries.recv() => state.borrow_mut().merge(vec![entry]),
            _ = reload.recv() => {
                if let Ok(settings) = Settings::from_environment() {
                    mesh.set_seeds(&settings);
                    uplink::add(&state, &settings.seed_coordinators());
                }
            }
            _ = terminate.recv() => break,
        }
    }
    // The gate beside it finishes what it has taken and still wants news.
    let grace = Duration::from_secs_f64(settings.timing_bounds.grace_period_s * GRACE_USED);
    let mut end = std::pin::pin!(tokio::time::timeout(grace, feed::gate_left(&state)));
    loop {
        tokio::select! {
            Some(entry) = entries.recv() => state.borrow_mut().merge(vec![entry]),
            _ = &mut end => break,
        }
    }
    mesh.leave();
    Ok(())
}
