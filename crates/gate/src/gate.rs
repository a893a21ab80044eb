//! The state that the modules of a gate share, on a single thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ironmast_limits::GateSet;
use ironmast_routing::{Decider, Dispatch, Micros, ServerSpec, ServerState, Table};
use ironmast_schema::settings::Settings;
use ironmast_transport::attempt::AdmissionCheck;
use ironmast_transport::clock::Clock;
use ironmast_transport::log_limit::LogLimit;
use rustc_hash::{FxHashMap, FxHashSet};
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::in_progress::RequestsInProgress;
use crate::limits::Limits;
use crate::upstream::UpstreamClients;

/// The fraction of the grace period after which the requests still in progress are aborted.
const ABORT_FRACTION: f64 = 0.95;
/// The fraction of the grace period in which requests of streaming routes are still accepted.
const ACCEPT_LONG_FRACTION: f64 = 0.35;

/// All servers are assumed to be known this many heartbeat intervals after the first
/// configuration.
const DISCOVERY_INTERVALS: f64 = 1.25;
/// The longest time after the start for which requests wait for the first configuration, which
/// usually arrives sooner.
const MAX_CONFIGURATION_WAIT: Micros = 1_300_000;
/// The `Retry-After` of rejections while no configuration is known.
pub(crate) const CONFIGURATION_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The shared state of a gate.
pub(crate) struct Gate {
    /// The settings that were loaded last.
    pub settings: RefCell<Settings>,
    /// The logger of this gate.
    pub log: Logger,
    /// The monotonic clock to which every [`Micros`] in the gate refers.
    pub clock: Clock,
    /// The decider, which makes the routing decisions.
    pub decider: RefCell<Decider>,
    /// This gate's share of the limits that all gates share.
    pub limits: RefCell<Limits>,
    /// The HTTP clients with their connections to servers.
    pub upstream: UpstreamClients,
    /// Notified when the readiness of this gate may have changed, which the agent must be told.
    pub status_changed: Notify,
    /// Notified when the settings were reloaded, so that the table must be rebuilt.
    pub settings_changed: Notify,
    /// The UDP addresses to which this gate sends its load reports: the other gates of the region.
    pub peers: RefCell<Vec<SocketAddr>>,
    /// The requests that have not ended.
    pub requests_in_progress: RequestsInProgress,
    /// Limits how often responses that are cut off are logged.
    pub abort_log: RefCell<LogLimit>,
    /// When the gate started.
    started_at: Micros,
    /// Whether a configuration is known.
    configured: watch::Sender<bool>,
    /// When the shutdown began, if it has.
    shutdown_began_at: Cell<Option<Micros>>,
    /// The servers of the current table that accept requests, by incarnation.
    accepting: RefCell<FxHashMap<Arc<str>, Arc<ServerSpec>>>,
}

impl Gate {
    /// Creates a gate without a configuration.
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        clock: Clock,
        decider: Decider,
        limits: Limits,
        upstream: UpstreamClients,
    ) -> Rc<Self> {
        Rc::new(Gate {
            settings: RefCell::new(settings),
            log,
            started_at: clock.now(),
            clock,
            decider: RefCell::new(decider),
            limits: RefCell::new(limits),
            upstream,
            configured: watch::Sender::new(false),
            shutdown_began_at: Cell::new(None),
            status_changed: Notify::new(),
            settings_changed: Notify::new(),
            peers: RefCell::default(),
            requests_in_progress: RequestsInProgress::default(),
            abort_log: RefCell::default(),
            accepting: RefCell::default(),
        })
    }

    /// Whether the gate is ready for new clients: configured and not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_shutting_down() && *self.configured.borrow()
    }

    /// Sets whether a configuration is known; returns the previous value.
    pub(crate) fn set_configured(&self, configured: bool) -> bool {
        self.configured.send_replace(configured)
    }

    /// Waits for the first configuration, until [`MAX_CONFIGURATION_WAIT`] after the start at the
    /// latest. Returns whether a configuration is known.
    pub(crate) async fn wait_for_configuration(&self) -> bool {
        let mut configured = self.configured.subscribe();
        let deadline = self
            .clock
            .at(self.started_at.saturating_add(MAX_CONFIGURATION_WAIT));
        let configured = configured.wait_for(|configured| *configured);
        matches!(
            tokio::time::timeout_at(deadline.into(), configured).await,
            Ok(Ok(_))
        )
    }

    /// Replaces the settings. Listeners, file descriptor limits and memory limits keep the values
    /// that they had at the start.
    pub(crate) fn replace_settings(&self, settings: Settings) {
        let now = self.clock.now();
        self.limits
            .borrow_mut()
            .set_bounds(now, &settings.timing_bounds);
        self.decider
            .borrow_mut()
            .set_location(&settings.region, &settings.zone);
        self.settings.replace(settings);
        self.settings_changed.notify_one();
    }

    /// Replaces the routing table and the set of gates that share the limits, and drops the
    /// connection pools of servers that are no longer listed.
    pub(crate) fn install_table(&self, table: Table, gates: GateSet) {
        let now = self.clock.now();
        let accepts_requests =
            |server: &&Arc<ServerSpec>| server.state == ServerState::Ready && !server.evacuated;
        let accepting = table
            .servers()
            .iter()
            .filter(accepts_requests)
            .map(|server| (server.instance.clone(), server.clone()))
            .collect();
        self.accepting.replace(accepting);
        self.limits.borrow_mut().update(gates, table.services());
        let addresses: FxHashSet<_> = table
            .servers()
            .iter()
            .map(|server| server.address)
            .collect();
        self.upstream.retain(|address| addresses.contains(address));
        self.decider.borrow_mut().update_table(now, Arc::new(table));
        self.query_undated_servers();
        self.status_changed.notify_one();
    }

    /// Records that the agent passes on all changes of the control plane.
    pub(crate) fn confirm_feed(&self) {
        let interval = self.settings.borrow().heartbeat_interval_ms * 1_000;
        let now = self.clock.now();
        let ends_gap = self.limits.borrow_mut().confirm_feed(now, interval);
        if ends_gap {
            self.query_undated_servers();
        }
    }

    /// Queries the warm-up of the region's servers whose reports are undated, before requests for
    /// them arrive.
    fn query_undated_servers(&self) {
        let now = self.clock.now();
        let region = self.settings.borrow().region.clone();
        let accepting = self.accepting.borrow();
        let mut limits = self.limits.borrow_mut();
        for server in accepting.values() {
            if *server.region == *region {
                limits.query_if_undated(now, server);
            }
        }
    }

    /// Lets requests for which no server is listed wait for one, until each server has had time to
    /// send a heartbeat.
    pub(crate) fn begin_server_discovery(&self) {
        let interval = self.settings.borrow().heartbeat_interval_ms as f64 * 1_000.0;
        let until = self.clock.now() + (interval * DISCOVERY_INTERVALS) as Micros;
        self.decider.borrow_mut().allow_discovery_until(until);
    }

    /// The admission check of an attempt that was decided on at `decided_at`. It is made right
    /// before the first byte of the attempt is written.
    pub(crate) fn admission(
        self: &Rc<Self>,
        dispatch: &Dispatch,
        decided_at: Micros,
    ) -> AdmissionCheck {
        let (gate, instance) = (Rc::clone(self), dispatch.expect_instance.clone());
        Box::new(move || gate.may_write(&instance, decided_at))
    }

    fn may_write(&self, instance: &str, decided_at: Micros) -> bool {
        let Some(server) = self.accepting_server(instance) else {
            return false;
        };
        self.limits
            .borrow_mut()
            .may_write(self.clock.now(), decided_at, &server)
    }

    /// Whether a server is in the current table and accepts requests.
    pub(crate) fn is_accepting(&self, instance: &str) -> bool {
        self.accepting.borrow().contains_key(instance)
    }

    /// The server with this incarnation id, if it accepts requests.
    pub(crate) fn accepting_server(&self, instance: &str) -> Option<Arc<ServerSpec>> {
        self.accepting.borrow().get(instance).cloned()
    }

    /// Begins the shutdown; the gate is no longer ready.
    pub(crate) fn begin_shutdown(&self) {
        self.shutdown_began_at.set(Some(self.clock.now()));
        self.status_changed.notify_one();
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_began_at.get().is_some()
    }

    /// When the requests still in progress are aborted, if the shutdown has begun.
    pub(crate) fn shutdown_deadline(&self) -> Option<Micros> {
        self.shutdown_began_at
            .get()
            .map(|began_at| began_at + self.grace_period_fraction(ABORT_FRACTION))
    }

    /// Whether requests of streaming routes, which may take long, are still accepted.
    pub(crate) fn accepts_long_requests(&self) -> bool {
        self.shutdown_began_at.get().is_none_or(|began_at| {
            self.clock.now() < began_at + self.grace_period_fraction(ACCEPT_LONG_FRACTION)
        })
    }

    /// A fraction of the grace period, in µs.
    fn grace_period_fraction(&self, fraction: f64) -> Micros {
        (self.settings.borrow().timing_bounds.grace_period_s * fraction * 1e6) as Micros
    }
}
