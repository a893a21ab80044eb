//! One run of the proxy: wires the parts together, reads the configuration again on SIGHUP, ends on SIGTERM.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ironmast_balancer::Balancer;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::Discovery;
use crate::driver::{Driver, Orders};
use crate::listener::Front;
use crate::message::{Ask, Queue};
use crate::peers::Peers;
use crate::sockets::Budget;
use crate::upstream::{self, Upstream};

/// After SIGTERM clients still come for up to 0.4 s and use what they have open.
const STILL_OPEN: Duration = Duration::from_millis(700);
/// Guards against a proxy that takes requests nobody decides on: it ends and is started again.
const DRIVERLESS: &str = "the driver of the decision module has ended";

/// Serves until a signal ends it.
///
/// # Errors
/// One line, where the program cannot listen or its driver has ended.
pub async fn run(mut config: Config, log: Logger) -> Result<(), String> {
    // Before all else: guards against a SIGHUP that ends a program not yet listening for it.
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let (listen, setup) = (config.listen, config.setup.clone());
    let balancer = Balancer::new(setup.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let socket = match config.peer_listen {
        Some(at) => Some(UdpSocket::bind(at).await.map_err(|e| format!("{at}: {e}"))?),
        None => None,
    };

    let clock = Clock::start();
    let (client_share, server_share) = Budget::shares(config.sockets);
    let (queue, messages) = Queue::new();
    let (to_upstream, upstream_orders) = mpsc::unbounded_channel();
    let (to_discovery, asks) = mpsc::unbounded_channel();
    let to_new_address = to_discovery.clone();
    let (to_peers, tells) = mpsc::unbounded_channel();
    let connect = Duration::from_micros(setup.connect_timeout);
    let keepalive = Duration::from_micros(setup.keepalive);

    let client = upstream::client(server_share.clone(), connect, keepalive / 2, |stream| stream);
    let zones = setup.zones.clone();
    let mut discovery = Discovery::new(config.discovery, client, zones, log.clone(), queue.clone());
    discovery.recall(config.known.as_ref());
    actix_rt::spawn(discovery.run(asks));

    let rules = upstream::Rules { connect, keepalive, load: setup.load.clone() };
    let upstream = Upstream::new(rules, clock, log.clone(), server_share, queue.clone());
    actix_rt::spawn(upstream.run(upstream_orders));
    let (peers, all) = (config.peers.clone(), config.peers_all);
    actix_rt::spawn(Peers { socket, peers, all, log: log.clone(), queue: queue.clone() }.run(tells));

    let ready = Rc::new(Cell::new(false));
    let held = Rc::clone(&ready);
    let orders = Orders { upstream: to_upstream, discovery: to_discovery, peers: to_peers };
    let driver = Driver::new(balancer, setup.settings.limits.clone(), clock, log.clone(), orders);
    let mut driving = actix_rt::spawn(driver.run(messages, move || held.set(true)));

    let front = Front::new(setup, clock, queue, log.clone(), ready, client_share);
    let accepting = actix_rt::spawn(Rc::clone(&front).accept(listener));
    info!(log, "serving"; "listen" => listen);

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(&mut config, &to_new_address, &log),
            _ = &mut driving => return Err(DRIVERLESS.to_string()),
        }
    }
    info!(log, "ending");
    tokio::time::sleep(STILL_OPEN).await;
    accepting.abort();
    tokio::select! {
        () = front.finish() => Ok(()),
        _ = &mut driving => Err(DRIVERLESS.to_string()),
    }
}

/// Reads the file again on SIGHUP. A bad one changes nothing: guards the requests in hand against a slip of the
/// pen. Only discovery's address takes effect at once; all else waits for a restart, and the log says so.
fn reload(config: &mut Config, discovery: &mpsc::UnboundedSender<Ask>, log: &Logger) {
    match Config::read_again(|name| std::env::var(name).ok()) {
        Ok(new) => {
            let waits = config.need_restart(&new).join(", ");
            if !waits.is_empty() {
                warn!(log, "changed values need a restart"; "which" => waits);
            }
            if new.discovery != config.discovery {
                let _ = discovery.send(Ask::Move(new.discovery));
                config.discovery = new.discovery;
            }
            info!(log, "configuration read again"; "discovery" => config.discovery);
        }
        Err(problem) => {
            warn!(log, "configuration not taken, the old one stays"; "why" => problem.replace('\n', " "));
        }
    }
}
