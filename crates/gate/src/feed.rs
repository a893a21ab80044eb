//! The feed, the gate's link to the agent on the same host: receives entries and sends the gate's readiness.
//!
//! A broken link is re-established. Meanwhile the gate keeps serving with the entries that it has.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, bail};
use ironmast_routing::{ServerSpec, ServerState, Table};
use ironmast_schema::control::{FromGate, ToGate};
use ironmast_schema::settings::InternalPort;
use ironmast_transport::connection::ClientLimits;
use ironmast_transport::link;
use slog::{info, warn};
use tokio::time::Instant;

use crate::client_limits::client_limits;
use crate::entry_store::{EntryStore, WarmupEvent};
use crate::gate::Gate;

/// The delay before the gate reconnects to its agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// The timeout for connecting to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries that arrive within this time after the first one are applied together in one rebuild of
/// the table.
const BATCH_WINDOW: Duration = Duration::from_millis(15);

/// Maintains the link for as long as the gate runs. `set_limits` is called with the client limits
/// of each new table's configuration.
pub(crate) async fn run(gate: Rc<Gate>, frontend: SocketAddr, set_limits: impl Fn(ClientLimits)) {
    let mut feed = Feed {
        gate,
        frontend,
        set_limits,
        store: EntryStore::default(),
        applied_generation: None,
    };
    loop {
        // The agent is expected to be unavailable while it is replaced, so the error is not logged.
        let _ = feed.serve_link().await;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// The gate's side of the link. The entries are kept when a connection breaks.
struct Feed<F> {
    gate: Rc<Gate>,
    frontend: SocketAddr,
    set_limits: F,
    store: EntryStore,
    /// The generation of the configuration whose table is installed.
    applied_generation: Option<u64>,
}

impl<F: Fn(ClientLimits)> Feed<F> {
    /// Connects to the agent, and serves the link until it breaks.
    async fn serve_link(&mut self) -> Result<()> {
        let port = self
            .gate
            .settings
            .borrow()
            .internal_port(InternalPort::Feed);
        let agent = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let (mut receiver, mut sender) =
            link::connect::<ToGate, FromGate>(agent, CONNECT_TIMEOUT).await?;
        self.gate.limits.borrow_mut().begin_feed_gap();
        let (mut last_sent, mut rebuild_at) = (None, None::<Instant>);
        let mut is_first_frame = true;
        loop {
            let ready = self.gate.is_ready();
            if last_sent != Some(ready) {
                last_sent = Some(ready);
                let frontend = self.frontend;
                sender.send(&FromGate::Status { frontend, ready }).await?;
            }
            let due = rebuild_at;
            tokio::select! {
                biased;
                () = async { tokio::time::sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {
                    rebuild_at = None;
                    self.rebuild_table();
                }
                frame = receiver.next() => {
                    let Some(ToGate::Entries(entries)) = frame? else { bail!("the agent at {agent} closed the link") };
                    // The first frame holds all entries of the agent, which may have none.
                    let is_keep_alive = entries.is_empty() && !is_first_frame;
                    is_first_frame = false;
                    if is_keep_alive {
                        self.gate.confirm_feed();
                        continue;
                    }
                    let events = self.store.merge(self.gate.clock.now(), entries);
                    self.apply_warmup_events(events);
                    rebuild_at.get_or_insert_with(|| Instant::now() + BATCH_WINDOW);
                }
                () = self.gate.status_changed.notified() => {}
                () = self.gate.settings_changed.notified() => self.apply_settings(),
            }
        }
    }

    /// Rebuilds the table after a reload of the settings, if there is a configuration.
    fn apply_settings(&mut self) {
        if self.store.configuration().is_some() {
            self.rebuild_table();
        }
    }

    fn apply_warmup_events(&self, events: Vec<WarmupEvent>) {
        let now = self.gate.clock.now();
        let mut limits = self.gate.limits.borrow_mut();
        for event in events {
            match event {
                WarmupEvent::Reported {
                    instance,
                    remaining_ms,
                } => limits.record_heartbeat(now, &instance, remaining_ms),
                WarmupEvent::Invalidated(instance) => limits.invalidate_warmup(now, &instance),
            }
        }
    }

    /// Builds the table from the entries and installs it. If it cannot be built, the current table
    /// stays: changes of servers and evacuations are not applied either, and the warning is logged
    /// again with the next entries.
    fn rebuild_table(&mut self) {
        let gate = &self.gate;
        let previous = gate.decider.borrow().table().clone();
        let table = match self.store.next_table(&gate.settings.borrow(), &previous) {
            Ok(table) => table,
            Err(error) => {
                return warn!(gate.log, "cannot build the routing table, keeping the current one"; "error" => %error);
            }
        };
        if let Some(limits) = self.store.client_limits() {
            (self.set_limits)(client_limits(limits));
        }
        log_server_changes(gate, &previous, &table);
        gate.peers
            .replace(self.store.peers(&gate.settings.borrow()));
        let routes = table.router().len();
        let gates = self.store.gate_set(&gate.settings.borrow(), self.frontend);
        gate.install_table(table, gates);
        // Requests may wait for the configuration, so it is reported as known only after its table
        // is installed.
        let generation = self
            .store
            .configuration()
            .map(|configuration| configuration.generation);
        if let Some(version) = generation
            && self.applied_generation != generation
        {
            info!(gate.log, "configuration applied"; "version" => version, "routes" => routes);
        }
        self.applied_generation = generation;
        let configured = generation.is_some();
        if !gate.set_configured(configured) && configured {
            gate.begin_server_discovery();
            gate.status_changed.notify_one();
        }
    }
}

/// The numbers of servers in a table, by state.
#[derive(Debug, PartialEq, Eq)]
struct ServerCounts {
    listed: usize,
    /// Servers whose heartbeats are missing.
    unreachable: usize,
    draining: usize,
    /// Servers in evacuated zones.
    evacuated: usize,
}

impl ServerCounts {
    fn of(table: &Table) -> Self {
        let count = |is_counted: fn(&ServerSpec) -> bool| {
            table
                .servers()
                .iter()
                .filter(|server| is_counted(server))
                .count()
        };
        ServerCounts {
            listed: table.servers().len(),
            unreachable: count(|server| server.heartbeats_missing_since.is_some()),
            draining: count(|server| server.state == ServerState::Draining),
            evacuated: count(|server| server.evacuated),
        }
    }
}

/// Logs the numbers of servers if they have changed.
fn log_server_changes(gate: &Gate, previous: &Table, next: &Table) {
    let counts = ServerCounts::of(next);
    if ServerCounts::of(previous) != counts {
        info!(
            gate.log, "servers changed";
            "listed" => counts.listed, "unreachable" => counts.unreachable,
            "draining" => counts.draining, "evacuated" => counts.evacuated
        );
    }
}
