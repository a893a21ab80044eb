//! A gate between an agent, servers and clients that the test plays itself, all on loopback.
#![allow(dead_code)]

mod client;
mod server;

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::{
    ControlState, Entry, FromGate, GateRecord, InstanceRecord, Key, Liveness, ToGate, Value,
};
use ironmast_schema::registration::Heartbeat;
use ironmast_schema::settings::Settings;
use ironmast_transport::link::{self, Receiver, Sender};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::Notify;

pub(crate) use client::Client;
pub(crate) use server::Server;

/// A play that does not end has failed.
const MOST: Duration = Duration::from_secs(30);
/// The zone of the gate, another of its region, and one of another region.
pub(crate) const HERE: &str = "north-1";
pub(crate) const ELSEWHERE: &str = "south-1";

/// Plays on the runtime that the gate needs.
pub(crate) fn play(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(MOST, test).await.expect("in time");
    });
}

/// The routes of the plays: `/stream/` may be resumed, `/once/` not; `/safe/` and `/unsafe/` are
/// short; `/home/` keeps to the gate's region, `/away/` to the other.
fn configuration() -> Configuration {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"a.example","path_prefix":"/{name}/","type":"{kind}","timeout_ms":20000,
            "target_latency_ms":5000,"priority":1,"backend":"x"{more}}}"#
        )
    };
    let routes = [
        route(
            "stream",
            "streaming",
            r#","max_attempts":2,"resumable":true,"gap_aim_ms":5000"#,
        ),
        route(
            "once",
            "streaming",
            r#","max_attempts":2,"gap_aim_ms":5000"#,
        ),
        route("safe", "safe", r#","max_attempts":2"#),
        route("unsafe", "unsafe", r#","max_attempts":2"#),
        route(
            "home",
            "safe",
            r#","max_attempts":2,"allowed_regions":["north"]"#,
        ),
        route(
            "away",
            "safe",
            r#","max_attempts":2,"allowed_regions":["south"]"#,
        ),
    ];
    let text = format!(
        r#"{{"generation":1,"routes":[{}],"services":[{{"name":"x"}}]}}"#,
        routes.join(",")
    );
    Configuration::parse(text.as_bytes()).expect("a sound configuration")
}

/// A gate that serves.
pub(crate) struct Stage {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    /// Where it hears the other gates of its region.
    pub peers: SocketAddr,
    receiver: Receiver<FromGate>,
    sender: Sender<ToGate>,
    terminate: Rc<Notify>,
    served: actix_rt::task::JoinHandle<()>,
    /// Holds the ports: nobody but the gate may have them.
    _ports: [OwnedFd; 2],
}

impl Stage {
    /// A gate that knows these servers, each with its zone, and is ready.
    pub(crate) async fn start(servers: &[(&Server, &str)]) -> Self {
        let listed = servers
            .iter()
            .map(|(server, zone)| (server.instance.as_str(), server.address, *zone));
        Stage::start_at(&listed.collect::<Vec<_>>()).await
    }

    /// The same with servers of another kind: their ids, addresses and zones.
    pub(crate) async fn start_at(servers: &[(&str, SocketAddr, &str)]) -> Self {
        let mut stage = Stage::start_without_configuration().await;
        stage.configure(servers).await;
        stage
    }

    /// Tells it the configuration and these servers.
    pub(crate) async fn configure(&mut self, servers: &[(&str, SocketAddr, &str)]) {
        let listed = servers
            .iter()
            .map(|&(id, address, zone)| listed(id, address, zone, 1, Liveness::Alive));
        let control = ControlState {
            configuration: Some(configuration()),
            evacuated: Vec::new(),
        };
        let control = Entry {
            key: Key::Control,
            version: 1,
            value: Value::Control(control),
        };
        self.tell(listed.chain([control]).collect()).await;
        self.until_ready(true).await;
    }

    /// A gate that its agent has told nothing.
    pub(crate) async fn start_without_configuration() -> Self {
        let agent = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let port = agent.local_addr().expect("bound").port();
        let [(frontend, frontend_port), (readiness, readiness_port)] =
            [(); 2].map(|()| ironmast_fault_injection::stage::place().expect("a port is free"));
        let text = format!(
            "node_name: n\nip_address: 127.0.0.1\nzone: {HERE}\nregion: north\n\
             zones: {{{HERE}: north, {ELSEWHERE}: south}}\ninternal_port_range: [{}, {}]\n\
             listeners_map: {{frontend: \"{frontend}\", readiness: \"{readiness}\"}}\n\
             limits: {{memory_mb: 64, max_fds: 1024, disk_mb: 0}}\n\
             timing_bounds: {{retry_budget_ratio: 10, ttl_max_s: 0.2}}\n",
            port - 2,
            port - 1 + 3,
        );
        let settings = Settings::parse(Path::new("test"), &text).expect("sound settings");
        let terminate = Rc::new(Notify::new());
        let told = Rc::clone(&terminate);
        let served = actix_rt::spawn(async move {
            let log = Logger::root(Discard, o!());
            ironmast_gate::serve(settings, log, told.notified())
                .await
                .expect("it serves");
        });
        let (stream, _) = agent.accept().await.expect("the gate calls its agent");
        let (receiver, sender) = link::split(stream).expect("a link");
        let ports = [frontend_port, readiness_port];
        let peers = SocketAddr::from(([127, 0, 0, 1], port + 1));
        Stage {
            frontend,
            readiness,
            peers,
            receiver,
            sender,
            terminate,
            served,
            _ports: ports,
        }
    }

    /// News of the agent.
    pub(crate) async fn tell(&mut self, entries: Vec<Entry>) {
        self.sender
            .send(&ToGate::Entries(entries))
            .await
            .expect("the gate listens");
    }

    /// Waits until the gate says whether it is ready.
    pub(crate) async fn until_ready(&mut self, wanted: bool) {
        loop {
            let frame = self.receiver.next().await.expect("the link holds");
            let Some(FromGate::Status { ready, .. }) = frame else {
                panic!("the gate closed its link")
            };
            if ready == wanted {
                return;
            }
        }
    }

    /// What SIGTERM does.
    pub(crate) fn terminate(&self) {
        self.terminate.notify_one();
    }

    /// Waits until the gate has ended.
    pub(crate) async fn ended(self) {
        self.served.await.expect("it ended well");
    }

    pub(crate) async fn client(&self) -> Client {
        Client::connect(self.frontend).await
    }
}

/// What is known of a server.
pub(crate) fn instance(server: &Server, zone: &str, version: u64, liveness: Liveness) -> Entry {
    listed(&server.instance, server.address, zone, version, liveness)
}

/// What is known of another gate of the region, at that address.
pub(crate) fn gate(address: [u8; 4]) -> Entry {
    let record = GateRecord {
        zone: HERE.to_string(),
        region: "north".to_string(),
        ready: true,
        down: false,
    };
    Entry {
        key: Key::Gate(SocketAddr::from((address, 80))),
        version: 1,
        value: Value::Gate(record),
    }
}

fn listed(id: &str, address: SocketAddr, zone: &str, version: u64, liveness: Liveness) -> Entry {
    let body = format!(
        r#"{{"backend":"x","address":"{address}","zone":"{zone}","capacity":8,"state":"ready","sequence":{version}}}"#
    );
    let heartbeat = Heartbeat::parse(body.as_bytes()).expect("a sound heartbeat");
    let record = InstanceRecord {
        heartbeat,
        liveness,
    };
    Entry {
        key: Key::Instance(id.to_string()),
        version,
        value: Value::Instance(record),
    }
}

/// An event of a stream.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// A chunk of a body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The last chunk.
pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";
