//! Four proxies as processes with membership on: they find each other, find a killed one out, take
//! it back when it restarts as a new incarnation, and take a member paused past its suspicion back
//! when it goes on.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ironmast_fault_injection::process::{ProcessSignal, Proxy};
use ironmast_fault_injection::stub_servers::{
    Discovery, ExecutionRecord, PayServer, Registry, Target,
};

const PATIENCE: Duration = Duration::from_secs(30);

struct Tier {
    folder: tempfile::TempDir,
    peers: Vec<SocketAddr>,
    proxies: Vec<Option<Proxy>>,
    _server: PayServer,
    _discovery: Discovery,
}

/// A UDP port of the system's choice, given back for a proxy to bind.
fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("bound")
}

impl Tier {
    fn new(size: usize) -> Tier {
        let record = Arc::new(ExecutionRecord::default());
        let server = PayServer::start("seattle-0", Duration::from_millis(1), record).expect("up");
        let registry = Registry::new(vec![Target {
            uid: server.uid.clone(),
            az: "seattle".into(),
            state: "up".into(),
        }]);
        let endpoints = [(server.uid.clone(), server.address)].into_iter().collect();
        let discovery = Discovery::start(registry, endpoints).expect("up");
        let peers: Vec<SocketAddr> = (0..size).map(|_| free_udp()).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let list: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
        for (n, peer) in peers.iter().enumerate() {
            let state = folder.path().join(format!("proxy{n}"));
            std::fs::create_dir_all(state.join("deploy")).expect("made");
            std::fs::write(state.join("deploy/membership.toml"), "enabled = true\n")
                .expect("written");
            let config = ironmast_fault_injection::CONFIG
                .replace("{discovery}", &discovery.address.to_string())
                .replace(
                    "\"peers\":[]",
                    &format!("\"peer_listen\":\"{peer}\",\"peers\":[{}]", list.join(",")),
                )
                .replace(
                    "\"balancers\":1,\"me\":0",
                    &format!("\"balancers\":{size},\"me\":{n}"),
                );
            std::fs::write(state.join("config.json"), config).expect("written");
        }
        let mut tier = Tier {
            folder,
            peers,
            proxies: (0..size).map(|_| None).collect(),
            _server: server,
            _discovery: discovery,
        };
        for n in 0..size {
            tier.start(n);
        }
        tier
    }

    fn state(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("proxy{n}"))
    }

    fn start(&mut self, n: usize) {
        let state = self.state(n);
        let program = Path::new(env!("CARGO_BIN_EXE_ironmast"));
        let proxy = Proxy::start(
            &format!("proxy{n}"),
            program,
            &state.join("config.json"),
            &state,
            PATIENCE,
        )
        .unwrap_or_else(|e| panic!("proxy{n}: {e}"));
        self.proxies[n] = Some(proxy);
    }

    /// What proxy `n` last logged of the member at `peer`: `up` or `down`, with the incarnation.
    fn last_word(&self, n: usize, peer: SocketAddr) -> Option<(String, u64)> {
        let lines = self.proxies[n].as_ref()?.lines();
        lines.iter().rev().find_map(|line| {
            let word = if line.contains("tier is up") {
                "up"
            } else if line.contains("tier is down") {
                "down"
            } else {
                return None;
            };
            let member = line
                .split("member")
                .nth(2)
                .or_else(|| line.split("\"member\":\"").nth(1))?;
            if !member.contains(&peer.to_string()) {
                return None;
            }
            let incarnation = line
                .split("incarnation")
                .nth(1)?
                .trim_start_matches(['"', ':', ' ', '=']);
            let digits: String = incarnation
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            Some((word.to_string(), digits.parse().ok()?))
        })
    }

    /// Waits until every running proxy but `of` says `word` of `of`; how long that took.
    fn until(&self, of: usize, word: &str) -> Duration {
        let start = Instant::now();
        let others: Vec<usize> = (0..self.peers.len())
            .filter(|&n| n != of && self.proxies[n].is_some())
            .collect();
        loop {
            if others.iter().all(|&n| {
                self.last_word(n, self.peers[of])
                    .is_some_and(|(w, _)| w == word)
            }) {
                return start.elapsed();
            }
            assert!(
                start.elapsed() < PATIENCE,
                "not all said {word} of proxy{of}: {}",
                self.proxies[others[0]].as_ref().expect("runs").tail(4)
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn a_tier_of_four_finds_a_killed_member_out_and_takes_it_back_as_its_next_incarnation() {
    let mut tier = Tier::new(4);
    for n in 0..4 {
        tier.until(n, "up");
    }
    let before = tier.last_word(0, tier.peers[3]).expect("known").1;
    tier.proxies[3]
        .as_ref()
        .expect("runs")
        .signal(ProcessSignal::Kill)
        .expect("signalled");
    tier.proxies[3] = None;
    let found = tier.until(3, "down");
    eprintln!("a killed member was known down to all three others in {found:?}");
    // Started again from nothing (a new second), it comes back above what was seen of it.
    std::thread::sleep(Duration::from_millis(1100));
    tier.start(3);
    let back = tier.until(3, "up");
    let after = tier.last_word(0, tier.peers[3]).expect("known").1;
    assert!(
        after > before,
        "incarnation {after} after the restart, {before} before"
    );
    eprintln!("restarted, it was up again for all in {back:?}");
}

#[test]
fn a_member_paused_past_its_suspicion_is_declared_down_and_whole_with_the_tier_again() {
    let mut tier = Tier::new(4);
    for n in 0..4 {
        tier.until(n, "up");
    }
    let paused = tier.proxies[2].as_ref().expect("runs");
    paused.signal(ProcessSignal::Stop).expect("signalled");
    // Past a probe, its indirect probes and the suspicion (about 6 s for a tier of four above).
    let stopped = tier.until(2, "down");
    paused.signal(ProcessSignal::Continue).expect("signalled");
    let declared = (0..4)
        .filter(|&n| n != 2)
        .filter(|&n| {
            tier.last_word(n, tier.peers[2])
                .is_some_and(|(w, _)| w == "down")
        })
        .count();
    assert_eq!(declared, 3);
    let back = tier.until(2, "up");
    eprintln!(
        "paused: declared down by all three in {stopped:?}; up again for all {back:?} after it went on"
    );
    tier.proxies.clear();
}
