//! Starts the tasks of the proxy and connects their channels.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr as _};
use ironmast_admin::hot_restart::{HotRestart, Predecessor};
use ironmast_admin::overrides::{OverrideState, ServerOverrides};
use ironmast_balancer::{Balancer, Discovery as DiscoveryMode};
use ironmast_transport::body::BodyMemory;
use ironmast_transport::client::client;
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::listener::Listener;
use serde_json::Value;
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};

use super::sockets::Sockets;
use super::{Proxy, Signals};
use crate::config::Config;
use crate::discovery::{Discovery, DiscoverySettings};
use crate::driver::{Driver, DriverContext, Outputs};
use crate::hot_restart::partners::{PartnerEvent, Partners};
use crate::hot_restart::predecessor;
use crate::listener::open_names::OpenNames;
use crate::listener::{ClientService, LIMITS};
use crate::members;
use crate::message::{DiscoveryCommand, PeerMessage, PriorityMessage, Queue, UpstreamCommand};
use crate::ops;
use crate::peers::Peers;
use crate::runtime_files::RuntimeFiles;
use crate::upstream::{ConnectionTimeouts, Upstream, UpstreamContext};

/// File descriptors reserved for other uses than client and server connections: standard streams,
/// poller, listeners, the Unix socket of a hot restart, operator connections and the like. Counted
/// for two processes, because both run during a hot restart.
const RESERVED_DESCRIPTORS: usize = 2 * (12 + ops::MAX_CONNECTIONS);

/// The sockets and the state with which this process starts, inherited or new.
struct InitialState {
    predecessor: Predecessor,
    sockets: Sockets,
    overrides: OverrideState,
    /// The last known endpoint list, as discovery's JSON.
    endpoints: Option<Value>,
}

/// The resources that several tasks share.
struct Shared {
    clock: Clock,
    log: Logger,
    queue: Queue,
    memory: BodyMemory,
    timeouts: ConnectionTimeouts,
    /// The file descriptor budget for server connections.
    server_descriptors: DescriptorBudget,
    /// Whether this process serves.
    serving: watch::Receiver<bool>,
    files: RuntimeFiles,
    partners: Rc<Partners>,
}

impl Proxy {
    /// Starts all tasks. In a hot restart, those that only one of the two processes may run wait
    /// until this process serves.
    ///
    /// # Errors
    /// If a socket can't be opened or inherited, or if the membership file is invalid.
    pub(super) fn start(
        mut config: Config,
        balancer: Balancer,
        signals: Signals,
        log: Logger,
    ) -> Result<Proxy> {
        let temporary_directory = std::env::var_os("TMPDIR").map(Into::into);
        let files = RuntimeFiles::new(temporary_directory, config.listen);
        let partners = Rc::new(Partners::default());
        let (to_partner_events, partner_events) = mpsc::unbounded_channel();
        let InitialState {
            predecessor,
            sockets,
            overrides,
            endpoints,
        } = initial_state(&mut config, &files, &partners, &to_partner_events, &log)?;
        let listener = Rc::new(sockets.listener);
        let datagrams = sockets.datagrams.map(Rc::new);
        let listen_address = listener
            .local_addr()
            .wrap_err("reading the address of the client listener")?;

        let (client_descriptors, server_descriptors) =
            DescriptorBudget::split(config.max_descriptors, RESERVED_DESCRIPTORS);
        let (queue, messages) = Queue::new();
        let (to_driver, priority_messages) = mpsc::unbounded_channel();
        let (serving_sender, serving) = watch::channel(false);
        let shared = Shared {
            clock: Clock::start(),
            log: log.clone(),
            queue,
            memory: BodyMemory::new(config.memory_mb),
            timeouts: connection_timeouts(&config),
            server_descriptors: server_descriptors.clone(),
            serving,
            files: files.clone(),
            partners: Rc::clone(&partners),
        };
        let outputs = Outputs {
            discovery: shared.start_discovery(&config, endpoints.as_ref()),
            upstream: shared.start_upstream(),
            peers: shared.start_peers(&config, datagrams.clone())?,
        };
        let to_discovery = outputs.discovery.clone();
        let driver = Driver::new(balancer, shared.driver_context(&config, outputs, overrides));
        let is_ready = Rc::new(Cell::new(false));
        let servers_known = Rc::new(Notify::new());
        let on_servers_known = notify_once(Rc::clone(&is_ready), Rc::clone(&servers_known));
        let driver_task =
            actix_rt::spawn(driver.run(messages, priority_messages, on_servers_known));
        if let Some(operators) = sockets.operators {
            shared.start_operators(operators, to_driver.clone())?;
        }
        let open_names = Rc::new(OpenNames::new(Rc::clone(&partners)));
        let service = shared.client_service(&config, is_ready, Rc::clone(&open_names));
        let clients = shared.client_listener(service, client_descriptors.clone());
        let accept_task = actix_rt::spawn(Rc::clone(&clients).accept(Rc::clone(&listener)));
        info!(log, "serving"; "listen" => listen_address);
        Ok(Proxy {
            config,
            log,
            signals,
            files,
            partners,
            hot_restart: HotRestart::new(predecessor),
            predecessor,
            to_partner_events,
            partner_events,
            listener: Some(listener),
            datagrams,
            descriptors: [client_descriptors, server_descriptors],
            serving: serving_sender,
            to_driver,
            to_discovery,
            servers_known,
            open_names,
            clients,
            driver_task,
            accept_task: Some(accept_task),
            successor_task: None,
            shutdown_task: None,
        })
    }
}

/// Takes over from a predecessor, or starts with new sockets and the saved overrides if there is
/// none.
fn initial_state(
    config: &mut Config,
    files: &RuntimeFiles,
    partners: &Partners,
    to_partner_events: &mpsc::UnboundedSender<PartnerEvent>,
    log: &Logger,
) -> Result<InitialState> {
    let Some(inherited) = predecessor::take_over(files, log) else {
        return Ok(InitialState {
            predecessor: Predecessor::None,
            sockets: Sockets::open(config)?,
            overrides: files.load_overrides(log),
            endpoints: config.cached_endpoints.take(),
        });
    };
    use_discovery_of_file(config);
    let sockets = Sockets::inherit(config, inherited.listener, inherited.datagrams)?;
    partners
        .attach_predecessor(inherited.connection, to_partner_events)
        .wrap_err("registering the connection to the predecessor")?;
    Ok(InitialState {
        predecessor: Predecessor::Running,
        sockets,
        overrides: inherited.overrides,
        endpoints: inherited.endpoints.or(config.cached_endpoints.take()),
    })
}

/// Uses the file's address of discovery, as after SIGHUP: the environment is that of the
/// predecessor, which may have been reloaded since it started.
fn use_discovery_of_file(config: &mut Config) {
    if let Ok(reread) = Config::read_again(|name| std::env::var(name).ok()) {
        config.discovery = reread.discovery;
    }
}

fn connection_timeouts(config: &Config) -> ConnectionTimeouts {
    ConnectionTimeouts {
        connect: Duration::from_micros(config.deployment.connect_timeout),
        server_keep_alive: Duration::from_micros(config.deployment.keepalive),
    }
}

/// Returns a callback that sets `is_ready` and, when called first, notifies `servers_known`.
fn notify_once(is_ready: Rc<Cell<bool>>, servers_known: Rc<Notify>) -> impl Fn() {
    move || {
        if !is_ready.replace(true) {
            servers_known.notify_one();
        }
    }
}

impl Shared {
    fn start_discovery(
        &self,
        config: &Config,
        cached: Option<&Value>,
    ) -> mpsc::UnboundedSender<DiscoveryCommand> {
        let (sender, commands) = mpsc::unbounded_channel();
        let idle_timeout = self.timeouts.server_keep_alive / 2;
        let client = client(
            self.server_descriptors.clone(),
            self.timeouts.connect,
            idle_timeout,
            |stream| stream,
        );
        let settings = DiscoverySettings {
            address: config.discovery,
            zones: config.deployment.zones.clone(),
            is_pushed: config.deployment.settings.discovery == DiscoveryMode::Pushed,
        };
        let (log, queue) = (self.log.clone(), self.queue.clone());
        let mut discovery = Discovery::new(settings, client, log, queue);
        discovery.report_cached(cached);
        actix_rt::spawn(discovery.run(commands));
        sender
    }

    fn start_upstream(&self) -> mpsc::UnboundedSender<UpstreamCommand> {
        let (sender, commands) = mpsc::unbounded_channel();
        let upstream = Upstream::new(UpstreamContext {
            timeouts: self.timeouts,
            clock: self.clock,
            log: self.log.clone(),
            descriptors: self.server_descriptors.clone(),
            memory: self.memory.clone(),
            queue: self.queue.clone(),
        });
        actix_rt::spawn(upstream.run(commands));
        sender
    }

    fn start_peers(
        &self,
        config: &Config,
        socket: Option<Rc<UdpSocket>>,
    ) -> Result<mpsc::UnboundedSender<PeerMessage>> {
        let (sender, messages) = mpsc::unbounded_channel();
        let membership = if members::is_enabled(Path::new(members::FILE))? {
            Some(members::start(
                config.peer_listen,
                &config.peers,
                config.seed,
            )?)
        } else {
            None
        };
        let peers = Peers {
            socket,
            addresses: config.peers.clone(),
            broadcast: config.broadcast,
            log: self.log.clone(),
            queue: self.queue.clone(),
            serving: self.serving.clone(),
            membership,
        };
        actix_rt::spawn(peers.run(messages));
        Ok(sender)
    }

    fn driver_context(
        &self,
        config: &Config,
        outputs: Outputs,
        overrides: OverrideState,
    ) -> DriverContext {
        DriverContext {
            settings: config.deployment.settings.clone(),
            clock: self.clock,
            log: self.log.clone(),
            outputs,
            overrides: ServerOverrides::new(overrides),
            files: self.files.clone(),
            partners: Rc::clone(&self.partners),
        }
    }

    fn start_operators(
        &self,
        listener: TcpListener,
        to_driver: mpsc::UnboundedSender<PriorityMessage>,
    ) -> Result<()> {
        let address = listener
            .local_addr()
            .wrap_err("reading the address of the operator listener")?;
        info!(self.log, "listening for operator commands"; "ops" => address);
        actix_rt::spawn(ops::accept(listener, to_driver, self.log.clone()));
        Ok(())
    }

    fn client_service(
        &self,
        config: &Config,
        is_ready: Rc<Cell<bool>>,
        open_names: Rc<OpenNames>,
    ) -> ClientService {
        ClientService {
            deployment: config.deployment.clone(),
            clock: self.clock,
            queue: self.queue.clone(),
            is_ready,
            memory: self.memory.clone(),
            open_names,
        }
    }

    fn client_listener(
        &self,
        service: ClientService,
        descriptors: DescriptorBudget,
    ) -> Rc<Listener<ClientService>> {
        Listener::new(
            Rc::new(service),
            self.clock,
            self.log.clone(),
            descriptors,
            LIMITS,
            self.serving.clone(),
        )
    }
}
