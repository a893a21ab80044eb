//! The link to the agent beside the gate: entries come in, the gate's status goes out. While the
//! agent is away the gate serves on with what it has.

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

use crate::front::client_limits;
use crate::gate::Gate;
use crate::table::{Known, News};

/// An agent that can't be reached is tried again after this.
const RETRY: Duration = Duration::from_millis(50);
/// A connection must come up within this.
const CONNECT: Duration = Duration::from_millis(500);
/// Entries that come within this of each other go into one table.
const TOGETHER: Duration = Duration::from_millis(15);

/// Keeps the link for as long as the gate lives; clients' limits go to `set_limits`.
pub(crate) async fn run(gate: Rc<Gate>, frontend: SocketAddr, set_limits: impl Fn(ClientLimits)) {
    let mut known = Known::default();
    loop {
        let _ = follow(&gate, frontend, &mut known, &set_limits).await;
        tokio::time::sleep(RETRY).await;
    }
}

async fn follow(
    gate: &Gate,
    frontend: SocketAddr,
    known: &mut Known,
    set_limits: &impl Fn(ClientLimits),
) -> Result<()> {
    let port = gate.settings.borrow().internal_port(InternalPort::Feed);
    let agent = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let (mut receiver, mut sender) = link::connect::<ToGate, FromGate>(agent, CONNECT).await?;
    let (mut told, mut rebuild_at) = (None, None::<Instant>);
    loop {
        let ready = gate.is_ready();
        if told != Some(ready) {
            told = Some(ready);
            sender.send(&FromGate::Status { frontend, ready }).await?;
        }
        let due = rebuild_at;
        tokio::select! {
            biased;
            () = async { tokio::time::sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {
                rebuild_at = None;
                rebuild(gate, frontend, known, set_limits);
            }
            frame = receiver.next() => {
                let Some(ToGate::Entries(entries)) = frame? else { bail!("{agent} closed the link") };
                let news = known.merge(gate.clock.now(), entries);
                note(gate, news);
                rebuild_at.get_or_insert_with(|| Instant::now() + TOGETHER);
            }
            () = gate.status_changed.notified() => {}
        }
    }
}

fn note(gate: &Gate, news: Vec<News>) {
    let now = gate.clock.now();
    let mut limits = gate.limits.borrow_mut();
    for news in news {
        match news {
            News::Warmup(instance, left) => limits.heartbeat(now, &instance, left),
            News::Disturbed(instance) => limits.disturbed(now, &instance),
        }
    }
}

fn rebuild(
    gate: &Gate,
    frontend: SocketAddr,
    known: &mut Known,
    set_limits: &impl Fn(ClientLimits),
) {
    let before = gate.decider.borrow().table().clone();
    let table = match known.next(&gate.settings.borrow(), &before) {
        Ok(table) => table,
        Err(error) => return warn!(gate.log, "the configuration can't be used"; "why" => %error),
    };
    if let Some(limits) = known.client_limits() {
        set_limits(client_limits(limits));
    }
    tell_servers(gate, &before, &table);
    gate.peers.replace(known.peers(&gate.settings.borrow()));
    let routes = table.router().len();
    let tier = known.tier(&gate.settings.borrow(), frontend);
    gate.swap(table, tier);
    // Requests may wait for it: only now that the table is in force.
    let configured = known.configuration().is_some();
    if !gate.set_configured(configured) && configured {
        info!(gate.log, "a configuration is in force"; "routes" => routes);
        gate.learn_servers();
        gate.status_changed.notify_one();
    }
}

/// How many servers are listed, and how many of them are silent, draining or in an evacuated zone.
fn counts(table: &Table) -> [usize; 4] {
    let count =
        |is: fn(&ServerSpec) -> bool| table.servers().iter().filter(|server| is(server)).count();
    let draining = |server: &ServerSpec| server.state == ServerState::Draining;
    [
        table.servers().len(),
        count(|server| server.heartbeats_missing_since.is_some()),
        count(draining),
        count(|s| s.evacuated),
    ]
}

/// A remark where the servers in use have changed.
fn tell_servers(gate: &Gate, before: &Table, now: &Table) {
    let [listed, silent, draining, evacuated] = counts(now);
    if counts(before) != [listed, silent, draining, evacuated] {
        info!(gate.log, "servers"; "listed" => listed, "silent" => silent, "draining" => draining, "evacuated" => evacuated);
    }
}
