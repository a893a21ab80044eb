//! Four client proxies as processes with membership on: they find each other, declare a killed or
//! paused member down, and take it back when it restarts or continues.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use ironmast_fault_injection::process::{ProcessSignal, Proxy};
use ironmast_fault_injection::stub_servers::{
    Discovery, ExecutionRecord, PayServer, Registry, Target,
};

/// Time limit for each wait; allows for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How often a test looks at the logs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of proxies in a tier.
const TIER_SIZE: usize = 4;

/// Whether a proxy considers a member alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberState {
    Up,
    Down,
}

/// What a proxy logged when it changed the state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MemberChange {
    member: SocketAddr,
    state: MemberState,
    incarnation: u64,
}

impl MemberChange {
    /// Parses a log line; `None` if it reports something else.
    fn parse(line: &str) -> Option<MemberChange> {
        let (_, after_message) = line.split_once("a member of the tier is ")?;
        let (state, fields) = after_message.split_once(", ")?;
        let field = |name: &str| {
            let mut fields = fields
                .split(", ")
                .filter_map(|field| field.split_once(": "));
            fields.find_map(|(key, value)| (key == name).then_some(value))
        };
        Some(MemberChange {
            member: field("member")?.parse().ok()?,
            state: match state {
                "up" => MemberState::Up,
                "down" => MemberState::Down,
                _ => return None,
            },
            incarnation: field("incarnation")?.parse().ok()?,
        })
    }
}

/// Client proxies that are each other's peers, a pay server and discovery.
struct Tier {
    directory: tempfile::TempDir,
    /// The address at which each proxy receives the datagrams of the others.
    peers: Vec<SocketAddr>,
    proxies: Vec<Option<Proxy>>,
    /// Held because the pay server stops when it is dropped.
    _server: PayServer,
    discovery: Discovery,
}

/// Picks a free UDP port and releases it, for a proxy to bind.
fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("a port is free")
}

/// Starts a pay server and a discovery server that lists it.
fn start_stub_servers() -> (PayServer, Discovery) {
    let record = Arc::new(ExecutionRecord::default());
    let server = PayServer::start("seattle-0", Duration::from_millis(1), record)
        .expect("the pay server starts");
    let registry = Registry::new(vec![Target {
        uid: server.uid.clone(),
        az: "seattle".into(),
        state: "up".into(),
    }]);
    let endpoints = [(server.uid.clone(), server.address)].into_iter().collect();
    let discovery = Discovery::start(registry, endpoints).expect("discovery starts");
    (server, discovery)
}

/// The configuration of a proxy whose datagrams arrive at `peers[proxy]`.
fn configuration(discovery: SocketAddr, peers: &[SocketAddr], proxy: usize) -> String {
    let quoted: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let (peer_listen, peers) = (&quoted[proxy], quoted.join(","));
    let tier_size = quoted.len();
    ironmast_fault_injection::CONFIG
        .replace("{discovery}", &discovery.to_string())
        .replace(
            "\"peers\":[]",
            &format!("\"peer_listen\":{peer_listen},\"peers\":[{peers}]"),
        )
        .replace(
            "\"balancers\":1,\"me\":0",
            &format!("\"balancers\":{tier_size},\"me\":{proxy}"),
        )
}

fn seconds_since_the_epoch() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("a clock after 1970")
        .as_secs()
}

impl Tier {
    /// A tier in which every proxy considers every other one up.
    fn start() -> Tier {
        let (server, discovery) = start_stub_servers();
        let peers: Vec<SocketAddr> = (0..TIER_SIZE).map(|_| free_udp_address()).collect();
        let mut tier = Tier {
            directory: tempfile::tempdir().expect("a directory"),
            proxies: peers.iter().map(|_| None).collect(),
            peers,
            _server: server,
            discovery,
        };
        for proxy in 0..TIER_SIZE {
            tier.write_files(proxy);
            tier.start_proxy(proxy);
        }
        for proxy in 0..TIER_SIZE {
            tier.wait_until_others_see(proxy, MemberState::Up);
        }
        tier
    }

    fn state_directory(&self, proxy: usize) -> PathBuf {
        self.directory.path().join(format!("proxy{proxy}"))
    }

    fn write_files(&self, proxy: usize) {
        let state = self.state_directory(proxy);
        let configuration = configuration(self.discovery.address, &self.peers, proxy);
        std::fs::create_dir_all(state.join("deploy")).expect("a directory");
        std::fs::write(state.join("deploy/membership.toml"), "enabled = true\n")
            .expect("the settings are written");
        std::fs::write(state.join("config.json"), configuration)
            .expect("the configuration is written");
    }

    fn start_proxy(&mut self, proxy: usize) {
        let name = format!("proxy{proxy}");
        let state = self.state_directory(proxy);
        let program = Path::new(env!("CARGO_BIN_EXE_ironmast"));
        let process = Proxy::start(&name, program, &state.join("config.json"), &state, TIMEOUT)
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        self.proxies[proxy] = Some(process);
    }

    fn signal(&self, proxy: usize, signal: ProcessSignal) {
        let process = self.proxies[proxy].as_ref().expect("it runs");
        process.signal(signal).expect("the signal is sent");
    }

    /// What `observer` logged last about `member`.
    fn last_change(&self, observer: usize, member: usize) -> Option<MemberChange> {
        let lines = self.proxies[observer].as_ref()?.lines();
        let changes = lines
            .iter()
            .rev()
            .filter_map(|line| MemberChange::parse(line));
        let mut changes = changes.filter(|change| change.member == self.peers[member]);
        changes.next()
    }

    fn incarnation(&self, observer: usize, member: usize) -> u64 {
        let change = self.last_change(observer, member);
        change.expect("the member is known").incarnation
    }

    /// Waits until every other proxy considers `member` to be in this state, all of them at once;
    /// returns how long that took.
    fn wait_until_others_see(&self, member: usize, state: MemberState) -> Duration {
        let start = Instant::now();
        let observers: Vec<usize> = (0..TIER_SIZE).filter(|&proxy| proxy != member).collect();
        loop {
            let changes = observers
                .iter()
                .map(|&proxy| self.last_change(proxy, member));
            let changes: Vec<Option<MemberChange>> = changes.collect();
            let has_state =
                |change: &Option<MemberChange>| change.is_some_and(|change| change.state == state);
            if changes.iter().all(has_state) {
                return start.elapsed();
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "proxy{member} is not {state:?} for all of {observers:?}: {changes:?}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

#[test]
fn a_killed_member_is_declared_down_and_restarts_with_a_higher_incarnation() {
    let mut tier = Tier::start();
    let before = tier.incarnation(0, 3);
    tier.signal(3, ProcessSignal::Kill);
    tier.proxies[3] = None;
    let declared = tier.wait_until_others_see(3, MemberState::Down);
    eprintln!("a killed member was declared down by all three others in {declared:?}");
    // A process starts with the Unix time in seconds as its incarnation, so the restart has to fall
    // into a later second.
    while seconds_since_the_epoch() <= before {
        std::thread::sleep(POLL_INTERVAL);
    }
    tier.start_proxy(3);
    let rejoined = tier.wait_until_others_see(3, MemberState::Up);
    let after = tier.incarnation(0, 3);
    assert!(
        after > before,
        "incarnation {after} after the restart, {before} before"
    );
    eprintln!("restarted, it was up again for all in {rejoined:?}");
}

#[test]
fn a_member_paused_past_its_suspicion_is_declared_down_and_rejoins_when_it_continues() {
    let tier = Tier::start();
    tier.signal(2, ProcessSignal::Stop);
    // A probe, its indirect probes and the suspicion take about 6 s in a tier of four. All three
    // others consider it down at once, while it is still paused.
    let declared = tier.wait_until_others_see(2, MemberState::Down);
    tier.signal(2, ProcessSignal::Continue);
    let rejoined = tier.wait_until_others_see(2, MemberState::Up);
    eprintln!("declared down in {declared:?}; up again {rejoined:?} after it continued");
}
