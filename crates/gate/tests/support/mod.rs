//! A gate in the process of the test, which acts as its agent, servers and clients, all on loopback.
#![allow(dead_code, reason = "each test binary uses only part of the module")]

mod client;
pub(crate) mod entries;
pub(crate) mod messages;
mod server;

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use ironmast_schema::control::{Entry, FromGate, Liveness, ToGate};
use ironmast_schema::settings::Settings;
use ironmast_transport::link::{self, Receiver, Sender};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::Notify;

pub(crate) use client::Client;
pub(crate) use server::{ReceivedRequest, Server};

/// The timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The zone of the gate.
pub(crate) const LOCAL_ZONE: &str = "north-1";
/// A zone of another region.
pub(crate) const REMOTE_ZONE: &str = "south-1";

/// Runs a test on the runtime that the gate needs.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends before its timeout");
    });
}

/// Starts a server, a gate that is configured with it, and a client of the gate.
pub(crate) async fn start_with_one_server() -> (Server, TestGate, Client) {
    let server = Server::start("i-1").await;
    let gate = TestGate::start(&[(&server, LOCAL_ZONE)]).await;
    let client = gate.connect().await;
    (server, gate, client)
}

/// Starts a server in the gate's region, one in another region, the gate, and a client of the gate.
/// The remote server receives a request only once no local server is left for it.
pub(crate) async fn start_with_two_servers() -> (Server, Server, TestGate, Client) {
    let local = Server::start("i-1").await;
    let remote = Server::start("i-2").await;
    let gate = TestGate::start(&[(&local, LOCAL_ZONE), (&remote, REMOTE_ZONE)]).await;
    let client = gate.connect().await;
    (local, remote, gate, client)
}

/// Waits for the next request at either of two servers. Returns the position of that server, 0 or 1,
/// and the request.
pub(crate) async fn next_request_at_either(
    first: &mut Server,
    second: &mut Server,
) -> (usize, ReceivedRequest) {
    tokio::select! {
        request = first.next_request() => (0, request),
        request = second.next_request() => (1, request),
    }
}

/// The configuration of most tests. Its routes: `/stream/` is a resumable stream, `/once/` a stream
/// that is not resumable; `/safe/` and `/unsafe/` are not streams; `/home/` allows the gate's region
/// only, `/away/` the other region only.
fn default_control() -> Entry {
    let route = |name: &str, kind: &str, fields: &str| {
        let fields = format!(r#","target_latency_ms":5000,"priority":1,"max_attempts":2{fields}"#);
        entries::route(name, kind, 20_000, &fields)
    };
    let routes = [
        route(
            "stream",
            "streaming",
            r#","resumable":true,"gap_aim_ms":5000"#,
        ),
        route("once", "streaming", r#","gap_aim_ms":5000"#),
        route("safe", "safe", ""),
        route("unsafe", "unsafe", ""),
        route("home", "safe", r#","allowed_regions":["north"]"#),
        route("away", "safe", r#","allowed_regions":["south"]"#),
    ];
    entries::control(1, &routes)
}

/// A running gate, and the agent's end of its link.
pub(crate) struct TestGate {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    /// The UDP address at which the gate receives the load reports of other gates of its region.
    pub peers: SocketAddr,
    receiver: Receiver<FromGate>,
    sender: Sender<ToGate>,
    terminate: Rc<Notify>,
    serving: actix_rt::task::JoinHandle<()>,
    /// Keep the ports of the two listeners reserved for the gate.
    _ports: [OwnedFd; 2],
}

impl TestGate {
    /// Starts a gate that is configured with these servers, each with its zone, and waits until it is
    /// ready.
    pub(crate) async fn start(servers: &[(&Server, &str)]) -> Self {
        let servers = servers
            .iter()
            .map(|(server, zone)| (server.instance.as_str(), server.address, *zone));
        TestGate::start_with(&servers.collect::<Vec<_>>()).await
    }

    /// Starts a gate like [`TestGate::start`], with servers given by their ids, addresses and zones.
    pub(crate) async fn start_with(servers: &[(&str, SocketAddr, &str)]) -> Self {
        let mut gate = TestGate::start_without_configuration().await;
        gate.configure(servers).await;
        gate
    }

    /// Sends the default configuration and these servers, and waits until the gate is ready.
    pub(crate) async fn configure(&mut self, servers: &[(&str, SocketAddr, &str)]) {
        let servers = servers.iter().map(|&(id, address, zone)| {
            entries::instance_at(id, address, zone, 1, Liveness::Alive)
        });
        self.send_entries(servers.chain([default_control()]).collect())
            .await;
        self.wait_for_ready(true).await;
    }

    /// Starts a gate whose agent has sent no entries.
    pub(crate) async fn start_without_configuration() -> Self {
        let agent = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let port = agent.local_addr().expect("bound").port();
        let [(frontend, frontend_port), (readiness, readiness_port)] = [(); 2].map(|()| {
            let port =
                ironmast_fault_injection::deployment::reserve_port().expect("a port is free");
            (port.address, port.descriptor)
        });
        let text = format!(
            "node_name: n\nip_address: 127.0.0.1\nzone: {LOCAL_ZONE}\nregion: north\n\
             zones: {{{LOCAL_ZONE}: north, {REMOTE_ZONE}: south}}\ninternal_port_range: [{}, {}]\n\
             listeners_map: {{frontend: \"{frontend}\", readiness: \"{readiness}\"}}\n\
             limits: {{memory_mb: 64, max_fds: 1024, disk_mb: 0}}\n\
             timing_bounds: {{retry_budget_ratio: 10, ttl_max_s: 0.2}}\n",
            port - 2,
            port - 1 + 3,
        );
        let settings = Settings::parse(Path::new("test"), &text).expect("valid settings");
        let terminate = Rc::new(Notify::new());
        let terminated = Rc::clone(&terminate);
        let serving = actix_rt::spawn(async move {
            let log = Logger::root(Discard, o!());
            ironmast_gate::serve(settings, log, terminated.notified())
                .await
                .expect("the gate serves without an error");
        });
        let (stream, _) = agent
            .accept()
            .await
            .expect("the gate connects to its agent");
        let (receiver, sender) = link::split(stream).expect("a link");
        TestGate {
            frontend,
            readiness,
            peers: SocketAddr::from(([127, 0, 0, 1], port + 1)),
            receiver,
            sender,
            terminate,
            serving,
            _ports: [frontend_port, readiness_port],
        }
    }

    /// Sends entries as the agent does.
    pub(crate) async fn send_entries(&mut self, entries: Vec<Entry>) {
        self.sender
            .send(&ToGate::Entries(entries))
            .await
            .expect("the gate reads");
    }

    /// Waits until the gate reports to its agent that it is ready, or that it is not.
    pub(crate) async fn wait_for_ready(&mut self, expected: bool) {
        loop {
            let frame = self.receiver.next().await.expect("the link holds");
            let Some(FromGate::Status { ready, .. }) = frame else {
                panic!("the gate closed its link to the agent")
            };
            if ready == expected {
                return;
            }
        }
    }

    /// Terminates the gate as SIGTERM does, and waits until it reports that it is not ready.
    pub(crate) async fn terminate(&mut self) {
        self.terminate.notify_one();
        self.wait_for_ready(false).await;
    }

    /// Waits until the gate has shut down.
    pub(crate) async fn wait_for_shutdown(self) {
        self.serving.await.expect("the gate shuts down cleanly");
    }

    /// Waits until the gate has shut down, and then until it has closed its link to the agent.
    pub(crate) async fn wait_for_closed_link(self) {
        let TestGate {
            serving,
            mut receiver,
            sender,
            ..
        } = self;
        serving.await.expect("the gate shuts down cleanly");
        while let Ok(Some(_)) = receiver.next().await {}
        drop(sender);
    }

    /// Connects a new client to the frontend.
    pub(crate) async fn connect(&self) -> Client {
        Client::connect(self.frontend).await
    }

    /// Connects a new client to the listener for readiness checks.
    pub(crate) async fn connect_readiness(&self) -> Client {
        Client::connect(self.readiness).await
    }
}
