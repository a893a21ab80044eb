//! One run of the proxy: wires the parts together, reads the configuration again on SIGHUP, ends on
//! SIGTERM.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd as _;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use ironmast_admin::handover::Message;
use ironmast_admin::hot_restart::{self, Action, Event, HotRestart, Predecessor};
use ironmast_admin::overrides::{OverrideState, ServerOverrides};
use ironmast_balancer::Balancer;
use ironmast_transport::body::BodyMemory;
use ironmast_transport::client::client;
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::listener::{IdleConnections, Listener};
use ironmast_transport::sockets;
use serde_json::Value;
use slog::{Logger, debug, info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::config::Config;
use crate::discovery::{Discovery, DiscoverySettings};
use crate::driver::{Driver, DriverContext, Outputs};
use crate::hot_restart::partners::{PartnerEvent, Partners, Side};
use crate::hot_restart::predecessor::{self, Inherited};
use crate::hot_restart::successor;
use crate::listener::open_names::OpenNames;
use crate::listener::{ClientService, LIMITS};
use crate::members;
use crate::message::{DiscoveryCommand, PriorityMessage, Queue};
use crate::ops;
use crate::peers::Peers;
use crate::runtime_files::RuntimeFiles;
use crate::upstream::{ConnectionTimeouts, Upstream, UpstreamContext};

/// After SIGTERM clients still come for up to 0.4 s and use what they have open.
const STILL_OPEN: Duration = Duration::from_millis(700);
/// What waits at the door then is let in, for no longer than this.
const LAST_COME: Duration = Duration::from_millis(50);
/// Descriptors that are no connections of clients or pay servers, of two processes while one
/// replaces the other: standard streams, poller, listeners, the link between the two, operators and
/// the like.
const APART: usize = 2 * (12 + ops::MAX_CONNECTIONS);
/// Guards against a proxy that takes requests nobody decides on: it ends and is started again.
const DRIVERLESS: &str = "the driver of the decision module has ended";

/// Serves until a signal ends it.
///
/// # Errors
/// One line, where the program cannot listen or its driver has ended.
///
/// # Panics
/// Never in practice: the one `expect` is guarded by the condition of its branch.
#[expect(
    clippy::too_many_lines,
    reason = "start, wiring and shutdown in order; not split yet"
)]
pub async fn run(mut config: Config, log: Logger) -> Result<(), String> {
    // Before all else: guards against a SIGHUP that ends a program not yet listening for it.
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let setup = config.setup.clone();
    let balancer = Balancer::new(setup.settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;

    let files = RuntimeFiles::new(std::env::var_os("TMPDIR").map(Into::into), config.listen);
    let (partners, (to_heard, mut heard)) =
        (Rc::new(Partners::default()), mpsc::unbounded_channel());
    let inherited = predecessor::greet(&files, &log);
    // As on SIGHUP, the file prevails: guards a replacement after a reload, whose environment is
    // the old one's.
    if inherited.is_some()
        && let Ok(told) = Config::read_again(|name| std::env::var(name).ok())
    {
        config.discovery = told.discovery;
    }
    let predecessor = if inherited.is_some() {
        Predecessor::Running
    } else {
        Predecessor::None
    };
    let mut part = HotRestart::new(predecessor);
    let sockets = Sockets::open(&config, inherited, &partners, &to_heard)?;
    let bans = sockets.bans.unwrap_or_else(|| files.load_overrides(&log));
    let known = sockets.known.or(config.known.take());
    let listener = Rc::new(sockets.listener);
    let listen = listener.local_addr().map_err(|e| e.to_string())?;

    let clock = Clock::start();
    let (client_share, server_share) = DescriptorBudget::split(config.sockets, APART);
    let shares = [client_share.clone(), server_share.clone()];
    let (queue, messages) = Queue::new();
    let (to_driver, urgent) = mpsc::unbounded_channel();
    let (to_upstream, upstream_orders) = mpsc::unbounded_channel();
    let (to_discovery, asks) = mpsc::unbounded_channel();
    let to_new_address = to_discovery.clone();
    let (to_peers, tells) = mpsc::unbounded_channel();
    let (turn, serving) = watch::channel(false);
    let connect = Duration::from_micros(setup.connect_timeout);
    let keepalive = Duration::from_micros(setup.keepalive);

    let client = client(server_share.clone(), connect, keepalive / 2, |stream| {
        stream
    });
    let discovery = DiscoverySettings {
        address: config.discovery,
        zones: setup.zones.clone(),
        is_pushed: setup.settings.discovery == ironmast_balancer::Discovery::Pushed,
    };
    let mut discovery = Discovery::new(discovery, client, log.clone(), queue.clone());
    discovery.report_cached(known.as_ref());
    actix_rt::spawn(discovery.run(asks));

    let timeouts = ConnectionTimeouts {
        connect,
        server_keep_alive: keepalive,
    };
    let held = BodyMemory::new(config.memory_mb);
    let upstream = Upstream::new(UpstreamContext {
        timeouts,
        clock,
        log: log.clone(),
        descriptors: server_share,
        memory: held.clone(),
        queue: queue.clone(),
    });
    actix_rt::spawn(upstream.run(upstream_orders));
    let (peers, all, socket) = (
        config.peers.clone(),
        config.peers_all,
        sockets.datagrams.map(Rc::new),
    );
    let passed_socket = socket.clone();
    let (log_of_peers, to_queue, speaks) = (log.clone(), queue.clone(), serving.clone());
    let is_enabled = members::is_enabled(Path::new(members::FILE)).map_err(|e| e.to_string())?;
    let membership = if is_enabled {
        let membership = members::start(config.peer_listen, &peers, config.seed);
        Some(membership.map_err(|e| e.to_string())?)
    } else {
        None
    };
    let peers = Peers {
        socket,
        addresses: peers,
        broadcast: all,
        log: log_of_peers,
        queue: to_queue,
        serving: speaks,
        membership,
    };
    actix_rt::spawn(peers.run(tells));

    let ready = Rc::new(Cell::new(false));
    let (list_held, told) = (Rc::clone(&ready), Rc::new(Notify::new()));
    let tell_held = Rc::clone(&told);
    let outputs = Outputs {
        upstream: to_upstream,
        discovery: to_discovery,
        peers: to_peers,
    };
    let context = DriverContext {
        settings: setup.settings.clone(),
        clock,
        log: log.clone(),
        outputs,
        overrides: ServerOverrides::new(bans),
        files: files.clone(),
        partners: Rc::clone(&partners),
    };
    let driver = Driver::new(balancer, context);
    let mut driving = actix_rt::spawn(driver.run(messages, urgent, move || {
        if !list_held.replace(true) {
            tell_held.notify_one();
        }
    }));
    if let Some(operators) = sockets.operators {
        info!(log, "listening for operator commands"; "ops" => operators.local_addr().map_err(|e| e.to_string())?);
        actix_rt::spawn(ops::accept(operators, to_driver.clone(), log.clone()));
    }

    let open_names = Rc::new(OpenNames::new(Rc::clone(&partners)));
    let service = ClientService {
        deployment: setup,
        clock,
        queue,
        is_ready: ready,
        memory: held,
        open_names: Rc::clone(&open_names),
    };
    let clients = Listener::new(
        Rc::new(service),
        clock,
        log.clone(),
        client_share,
        LIMITS,
        serving,
    );
    let mut accepting = Some(actix_rt::spawn(
        Rc::clone(&clients).accept(Rc::clone(&listener)),
    ));
    let mut listener = Some(listener);
    info!(log, "serving"; "listen" => listen);

    let (mut successors, mut finished) = (None::<JoinHandle<()>>, None::<JoinHandle<()>>);
    let mut actions = VecDeque::from([HotRestart::initial_action(predecessor)]);
    loop {
        while let Some(action) = actions.pop_front() {
            debug!(log, "hot restart"; "action" => ?action);
            match action {
                Action::StartServing => {
                    partners.begin_serving();
                    turn.send_replace(true);
                    let _ = to_driver.send(PriorityMessage::ResumeWarmUp);
                    let awaiting =
                        successor::accept_successors(files.clone(), to_heard.clone(), log.clone());
                    if let Some(before) = successors.replace(actix_rt::spawn(awaiting)) {
                        before.abort();
                    }
                }
                Action::NotifyPredecessor => partners.send_to_predecessor(Message::Serving),
                Action::StopServing => {
                    info!(log, "the successor is serving");
                    turn.send_replace(false);
                    let _ = to_driver.send(PriorityMessage::DelegateWarmUp);
                    open_names.notify_successor();
                }
                Action::SetDescriptorPercent(percent) => {
                    for share in &shares {
                        share.set_capacity_percent(percent).await;
                    }
                }
                Action::Shutdown { idle_connections } => {
                    info!(log, "shutting down");
                    let idle = match idle_connections {
                        hot_restart::IdleConnections::Linger => IdleConnections::KeepUntilTimeout,
                        hot_restart::IdleConnections::Close => IdleConnections::CloseNow,
                    };
                    // Nobody comes after this process any more who could be left it.
                    listener = None;
                    let (clients, accepting) = (Rc::clone(&clients), accepting.take());
                    finished = Some(actix_rt::spawn(async move {
                        tokio::time::sleep(STILL_OPEN).await;
                        clients.stop.notify_one();
                        if let Some(mut accepting) = accepting {
                            // Not for good: guards the end against clients that never cease to
                            // come.
                            let _ = tokio::time::timeout(LAST_COME, &mut accepting).await;
                            accepting.abort();
                        }
                        clients.finish(idle).await;
                    }));
                }
            }
        }
        let event = tokio::select! {
            _ = term.recv() => Some(Event::Terminate),
            _ = interrupt.recv() => Some(Event::Terminate),
            _ = hang_up.recv() => {
                reload(&mut config, &to_new_address, &log);
                None
            }
            () = told.notified() => Some(Event::EndpointsReceived),
            _ = &mut driving => return Err(DRIVERLESS.to_string()),
            // Until then it goes on hearing its successor: bans made there hold here, too.
            _ = async { finished.as_mut().expect("checked").await }, if finished.is_some() => return Ok(()),
            Some(heard) = heard.recv() => match heard {
                PartnerEvent::SuccessorConnected(successor) if part.accepts_successor() => {
                    let (reply, described) = oneshot::channel();
                    let _ = to_driver.send(PriorityMessage::DescribeState(reply));
                    let Ok(described) = described.await else { return Err(DRIVERLESS.to_string()) };
                    let mut passed: Vec<_> = listener.iter().map(|listener| listener.as_fd()).collect();
                    passed.extend(passed_socket.as_ref().map(|socket| socket.as_fd()));
                    match partners.welcome_successor(successor, described, &passed, &to_heard).await {
                        Ok(()) => Some(Event::SuccessorConnected),
                        Err(error) => {
                            warn!(log, "a successor disconnected before its welcome"; "why" => %error);
                            None
                        }
                    }
                }
                PartnerEvent::SuccessorConnected(successor) => {
                    successor::reject(successor.stream, "it can't be replaced now".to_string()).await;
                    None
                }
                PartnerEvent::Received(Side::Successor, Message::Serving) => Some(Event::SuccessorServing),
                PartnerEvent::Received(_, Message::Override(change)) => {
                    let _ = to_driver.send(PriorityMessage::PartnerOverride(change));
                    None
                }
                PartnerEvent::Received(Side::Predecessor, Message::Opened(txn)) => {
                    open_names.opened_at_predecessor(txn);
                    None
                }
                PartnerEvent::Received(Side::Predecessor, Message::Closed(txn)) => {
                    open_names.closed_at_predecessor(&txn);
                    None
                }
                PartnerEvent::Received(Side::Predecessor, Message::Claim(txn)) => {
                    let granted = open_names.grant_claim(&txn);
                    partners.send_to_predecessor(Message::Claimed { request_name: txn, granted });
                    None
                }
                PartnerEvent::Received(Side::Successor, Message::Claimed { request_name: txn, granted }) => {
                    partners.resolve_claim(&txn, granted);
                    None
                }
                PartnerEvent::Received(side, message) => {
                    warn!(log, "unexpected message in a hot restart"; "from" => ?side, "message" => ?message);
                    None
                }
                PartnerEvent::Lost(side) => {
                    info!(log, "hot restart partner disconnected"; "partner" => ?side);
                    partners.forget(side);
                    match side {
                        Side::Predecessor => {
                            open_names.forget_predecessor();
                            Some(Event::PredecessorLost)
                        }
                        Side::Successor => Some(Event::SuccessorLost),
                    }
                }
            },
        };
        actions.extend(event.map(|event| part.handle(event)).unwrap_or_default());
    }
}

/// The sockets that are open for as long as the process lives.
struct Sockets {
    listener: TcpListener,
    datagrams: Option<UdpSocket>,
    operators: Option<TcpListener>,
    bans: Option<OverrideState>,
    known: Option<Value>,
}

impl Sockets {
    /// Takes over what a predecessor left, and opens the others.
    fn open(
        config: &Config,
        inherited: Option<Inherited>,
        partners: &Partners,
        heard: &mpsc::UnboundedSender<PartnerEvent>,
    ) -> Result<Sockets, String> {
        let at = |address: SocketAddr| move |e: io::Error| format!("{address}: {e}");
        let operators = match config.ops {
            Some(address) => Some(sockets::listen(address).map_err(at(address))?),
            None => None,
        };
        let open_datagrams = || match config.peer_listen {
            Some(address) => sockets::bind_datagrams(address)
                .map(Some)
                .map_err(at(address)),
            None => Ok(None),
        };
        let Some(Inherited {
            listener,
            datagrams,
            overrides,
            endpoints,
            link,
        }) = inherited
        else {
            let listener = sockets::listen(config.listen).map_err(at(config.listen))?;
            return Ok(Sockets {
                listener,
                datagrams: open_datagrams()?,
                operators,
                bans: None,
                known: None,
            });
        };
        let listener = TcpListener::from_std(listener).map_err(at(config.listen))?;
        let datagrams = match datagrams {
            Some(socket) => Some(UdpSocket::from_std(socket).map_err(|e| e.to_string())?),
            None => open_datagrams()?,
        };
        partners
            .follow_predecessor(link, heard)
            .map_err(|e| e.to_string())?;
        Ok(Sockets {
            listener,
            datagrams,
            operators,
            bans: Some(overrides),
            known: endpoints,
        })
    }
}

/// Reads the file again on SIGHUP. A bad one changes nothing: guards the requests in hand against a
/// slip of the pen. Only discovery's address takes effect at once; all else waits for a restart,
/// and the log says so.
fn reload(config: &mut Config, discovery: &mpsc::UnboundedSender<DiscoveryCommand>, log: &Logger) {
    match Config::read_again(|name| std::env::var(name).ok()) {
        Ok(new) => {
            let waits = config.changes_needing_restart(&new).join(", ");
            if !waits.is_empty() {
                warn!(log, "changed settings take effect after a restart"; "settings" => waits);
            }
            if new.discovery != config.discovery {
                let _ = discovery.send(DiscoveryCommand::ChangeAddress(new.discovery));
                config.discovery = new.discovery;
            }
            info!(log, "configuration reloaded"; "discovery" => config.discovery);
        }
        Err(problem) => {
            warn!(log, "invalid configuration ignored, the previous one stays in effect"; "why" => problem.to_string().replace('\n', " "));
        }
    }
}
