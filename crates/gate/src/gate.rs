//! What the parts of a gate share. All of it lives on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ironmast_limits::GateSet;
use ironmast_routing::{Decider, Dispatch, Micros, ServerSpec, ServerState, Table};
use ironmast_schema::settings::Settings;
use ironmast_transport::attempt::Admission;
use ironmast_transport::clock::Clock;
use rustc_hash::FxHashMap;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::limits::Limits;
use crate::upstream::Upstream;

/// Of the time that a process has to end, the part after which what is left is broken off.
const GRACE_USED: f64 = 0.95;
/// The part in which long requests are still taken.
const LONG_TAKEN: f64 = 0.35;

/// After a start servers have become known within this many heartbeat intervals.
const KNOWN_WITHIN: f64 = 1.25;
/// After a start a configuration mostly comes within this.
const CONFIGURED_WITHIN: Micros = 1_300_000;
/// And if it has not come by then, it may at any time: it is worth asking again after this.
pub(crate) const CONFIGURED_SOON: Duration = Duration::from_millis(400);

/// The state of a gate.
pub(crate) struct Gate {
    /// The settings file, as read last.
    pub settings: RefCell<Settings>,
    /// Where remarks go.
    pub log: Logger,
    /// The time.
    pub clock: Clock,
    /// The decisions.
    pub decider: RefCell<Decider>,
    /// The limits over all gates.
    pub limits: RefCell<Limits>,
    /// Connections to servers.
    pub upstream: Upstream,
    /// When it started.
    started: Micros,
    /// A configuration is known.
    configured: watch::Sender<bool>,
    /// When it was told to end.
    pub ending: Cell<Option<Micros>>,
    /// The agent is to be told anew whether this gate is ready.
    pub status_changed: Notify,
    /// Where the other gates of the region hear what this one has out.
    pub peers: RefCell<Vec<SocketAddr>>,
    /// Servers that take requests by the table in force.
    open: RefCell<FxHashMap<Arc<str>, Arc<ServerSpec>>>,
}

impl Gate {
    /// A gate that knows nothing yet.
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        clock: Clock,
        decider: Decider,
        limits: Limits,
        upstream: Upstream,
    ) -> Rc<Self> {
        Rc::new(Gate {
            settings: RefCell::new(settings),
            log,
            started: clock.now(),
            clock,
            decider: RefCell::new(decider),
            limits: RefCell::new(limits),
            upstream,
            configured: watch::Sender::new(false),
            ending: Cell::new(None),
            status_changed: Notify::new(),
            peers: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Whether it takes new clients.
    pub(crate) fn is_ready(&self) -> bool {
        self.ending.get().is_none() && self.is_configured()
    }

    /// Whether a configuration is known.
    pub(crate) fn is_configured(&self) -> bool {
        *self.configured.borrow()
    }

    /// A configuration is known, or is not any more; returns what held before.
    pub(crate) fn set_configured(&self, configured: bool) -> bool {
        self.configured.send_replace(configured)
    }

    /// Waits for a configuration while one may come soon after the start; true where one is known.
    pub(crate) async fn until_configured(&self) -> bool {
        let mut configured = self.configured.subscribe();
        let expected = self
            .clock
            .at(self.started.saturating_add(CONFIGURED_WITHIN));
        let known = configured.wait_for(|configured| *configured);
        matches!(
            tokio::time::timeout_at(expected.into(), known).await,
            Ok(Ok(_))
        )
    }

    /// Puts another table in force.
    pub(crate) fn swap(&self, table: Table, tier: GateSet) {
        let now = self.clock.now();
        let takes =
            |server: &&Arc<ServerSpec>| server.state == ServerState::Ready && !server.evacuated;
        let open = table.servers().iter().filter(takes);
        self.open.replace(
            open.map(|server| (server.instance.clone(), server.clone()))
                .collect(),
        );
        self.limits.borrow_mut().set(now, tier, table.services());
        let addresses: rustc_hash::FxHashSet<_> = table
            .servers()
            .iter()
            .map(|server| server.address)
            .collect();
        self.upstream.keep(|address| addresses.contains(address));
        self.decider.borrow_mut().update_table(now, Arc::new(table));
        self.status_changed.notify_one();
    }

    /// From now on all servers become known: each speaks once in an interval.
    pub(crate) fn learn_servers(&self) {
        let interval = self.settings.borrow().heartbeat_interval_ms as f64 * 1_000.0;
        let until = self.clock.now() + (interval * KNOWN_WITHIN) as Micros;
        self.decider.borrow_mut().allow_discovery_until(until);
    }

    /// Asked right before the first byte of an attempt decided at `decided` is written.
    pub(crate) fn admission(self: &Rc<Self>, dispatch: &Dispatch, decided: Micros) -> Admission {
        let (gate, instance) = (Rc::clone(self), dispatch.expect_instance.clone());
        Box::new(move || gate.may_write(&instance, decided))
    }

    fn may_write(&self, instance: &Arc<str>, decided: Micros) -> bool {
        let Some(server) = self.open.borrow().get(instance).cloned() else {
            return false;
        };
        self.limits
            .borrow_mut()
            .may_write(self.clock.now(), decided, &server)
    }

    /// Whether a server is in the table in force and takes requests.
    pub(crate) fn is_open(&self, instance: &str) -> bool {
        self.open.borrow().contains_key(instance)
    }

    /// The server of that incarnation, where it takes requests.
    pub(crate) fn open_server(&self, instance: &str) -> Option<Arc<ServerSpec>> {
        self.open.borrow().get(instance).cloned()
    }

    /// When what is left is broken off, once it was told to end.
    pub(crate) fn ends_at(&self) -> Option<Micros> {
        self.ending
            .get()
            .map(|since| since + self.grace(GRACE_USED))
    }

    /// Whether a request that may take long is still taken.
    pub(crate) fn takes_long(&self) -> bool {
        self.ending
            .get()
            .is_none_or(|since| self.clock.now() < since + self.grace(LONG_TAKEN))
    }

    fn grace(&self, part: f64) -> Micros {
        (self.settings.borrow().timing_bounds.grace_period_s * part * 1e6) as Micros
    }
}
