//! Several proxies as real processes on the fault stage: crashes, pauses and faults on their links, judged from the
//! pay servers' execution record.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ironmast_stage::fault::{Fault, Kind, Schedule};
use ironmast_stage::load::{self, Outcome, Report, Shape};
use ironmast_stage::process::{Proxy, Sent};
use ironmast_stage::relay::{Faults, Relay};
use ironmast_stage::standin::{Discovery, PayServer, Record, Registry, Target};
use ironmast_stage::verdict;
use rustix::net::sockopt::set_socket_reuseport;
use rustix::net::{AddressFamily, SocketType};

const PATIENCE: Duration = Duration::from_secs(20);

/// Pay servers, relays on every link, and proxies with a clients' address each.
struct Stage {
    folder: tempfile::TempDir,
    faults: Arc<Faults>,
    record: Arc<Record>,
    servers: Vec<PayServer>,
    places: Vec<(SocketAddr, OwnedFd, PathBuf)>,
    proxies: Vec<Option<Proxy>>,
    relays: Vec<Relay>,
    _discoveries: Vec<Discovery>,
}

/// A port of the system's choice, held without listening so that only the proxies there may have it.
fn place() -> (SocketAddr, OwnedFd) {
    let port = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    set_socket_reuseport(&port, true).expect("set");
    rustix::net::bind(&port, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let at = SocketAddr::try_from(rustix::net::getsockname(&port).expect("bound")).expect("an address");
    (at, port)
}

impl Stage {
    /// `servers` pay servers in one zone, `proxies` proxies, each link through a relay of the schedule.
    fn new(servers: usize, proxies: usize, faults: Vec<Fault>) -> Stage {
        let faults = Faults::new(Schedule::new(faults).expect("a valid schedule"));
        let record = Arc::new(Record::default());
        let servers: Vec<PayServer> = (0..servers)
            .map(|n| {
                PayServer::start(&format!("s-{n}"), Duration::from_millis(5), Arc::clone(&record))
                    .expect("up")
            })
            .collect();
        let targets =
            servers.iter().map(|s| Target { uid: s.uid.clone(), az: "seattle".into(), state: "up".into() });
        let registry = Registry::new(targets.collect());
        let folder = tempfile::tempdir().expect("a folder");
        let (mut relays, mut discoveries, mut places) = (Vec::new(), Vec::new(), Vec::new());
        for p in 0..proxies {
            let me = format!("proxy{p}");
            let mut endpoints = HashMap::new();
            for (n, server) in servers.iter().enumerate() {
                let relay = Relay::start(&me, &format!("server{n}"), server.address, Arc::clone(&faults))
                    .expect("up");
                endpoints.insert(server.uid.clone(), relay.address);
                relays.push(relay);
            }
            let discovery = Discovery::start(Arc::clone(&registry), endpoints).expect("up");
            let relay = Relay::start(&me, "discovery", discovery.address, Arc::clone(&faults)).expect("up");
            let (listen, port) = place();
            let config = folder.path().join(format!("{me}.json"));
            let text = include_str!("exchanges/config.json")
                .replace("{discovery}", &relay.address.to_string())
                .replace("127.0.0.1:0", &listen.to_string())
                .replace("\"name\":\"n1\"", &format!("\"name\":\"n{p}\""))
                .replace("\"balancers\":1,\"me\":0", &format!("\"balancers\":{proxies},\"me\":{p}"));
            std::fs::write(&config, text).expect("written");
            let tmp = folder.path().join(format!("{me}.tmp"));
            std::fs::create_dir_all(&tmp).expect("made");
            places.push((listen, port, config));
            relays.push(relay);
            discoveries.push(discovery);
        }
        let mut stage = Stage {
            folder,
            faults,
            record,
            servers,
            places,
            proxies: (0..proxies).map(|_| None).collect(),
            relays,
            _discoveries: discoveries,
        };
        for p in 0..proxies {
            stage.start(p);
        }
        stage
    }

    /// Starts proxy `p` (again) and waits for its yes; how long the yes took.
    fn start(&mut self, p: usize) -> Duration {
        let tmp = self.folder.path().join(format!("proxy{p}.tmp"));
        let program = PathBuf::from(env!("CARGO_BIN_EXE_ironmast"));
        let proxy = Proxy::start(&format!("proxy{p}"), &program, &self.places[p].2, &tmp, PATIENCE)
            .unwrap_or_else(|e| panic!("proxy{p}: {e}"));
        let ready =
            proxy.ready(PATIENCE).unwrap_or_else(|| panic!("proxy{p} never ready: {}", proxy.tail(5)));
        self.proxies[p] = Some(proxy);
        ready
    }

    fn proxy(&self, p: usize) -> &Proxy {
        self.proxies[p].as_ref().expect("running")
    }

    /// Plays `shape` on every proxy at once, while `meanwhile` runs on this thread.
    fn load(&mut self, shape: &Shape, meanwhile: impl FnOnce(&mut Stage)) -> Vec<Report> {
        let loads: Vec<_> = self
            .places
            .iter()
            .enumerate()
            .map(|(p, place)| {
                let (at, shape) = (place.0, shape.clone());
                std::thread::spawn(move || load::play(at, &format!("{p:x}"), &shape).expect("loopback"))
            })
            .collect();
        meanwhile(self);
        loads.into_iter().map(|l| l.join().expect("a load")).collect()
    }
}

fn shape(path: &str, rate: f64, seconds: f64) -> Shape {
    Shape { rate, length: Duration::from_secs_f64(seconds), path: path.into(), patience_ms: 1500, threads: 8 }
}

fn judged(stage: &Stage, reports: &[Report]) -> verdict::Verdict {
    let sent: Vec<_> = reports.iter().flat_map(|r| r.sent.iter().cloned()).collect();
    let v = verdict::judge(&sent, &stage.record.runs(), &["balance"]);
    let broken = sent.iter().filter(|s| s.outcome == Outcome::Broken).count();
    eprintln!("sent {}, served {}, broken {broken}, runs {}", v.sent, v.served, stage.record.runs().len());
    assert!(v.twice.is_empty(), "ran twice: {:?}", v.twice);
    assert!(v.made_up.is_empty(), "served without a run: {:?}", v.made_up);
    v
}

#[test]
fn each_of_three_proxies_killed_in_turn_under_load_runs_nothing_twice_and_serves_again_within_2_s() {
    let mut stage = Stage::new(2, 3, vec![]);
    let mut kills = Vec::new();
    let reports = stage.load(&shape("/deposit-order", 40.0, 6.0), |stage| {
        for p in 0..3 {
            std::thread::sleep(Duration::from_millis(1200));
            stage.proxy(p).signal(Sent::Kill).expect("signalled");
            let killed = stage.faults.elapsed();
            stage.proxies[p] = None;
            let ready = stage.start(p);
            assert!(ready < Duration::from_secs(2), "proxy{p} took {ready:?} to say yes again");
            kills.push(killed);
        }
    });
    let v = judged(&stage, &reports);
    for (p, killed) in kills.iter().enumerate() {
        let from = killed.saturating_sub(Duration::from_millis(100));
        let back = verdict::back(&reports[p].sent, from, Duration::from_millis(500));
        let back = back.unwrap_or_else(|| panic!("proxy{p} never served again after its kill"));
        assert!(
            back <= *killed + Duration::from_secs(2),
            "proxy{p}: served again at {back:?}, killed at {killed:?}"
        );
    }
    assert!(v.served * 10 >= v.sent * 8, "served {} of {}", v.served, v.sent);
}

#[test]
fn answers_lost_one_way_never_make_a_single_shot_run_twice() {
    // For 2 s the proxies hear nothing of s-0, which still hears and runs what they send.
    let cut = Fault {
        at_s: 1.0,
        link: "server0->proxy*".into(),
        kind: Kind::CutOneWay,
        for_s: Some(2.0),
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
    };
    let mut stage = Stage::new(2, 2, vec![cut]);
    let reports = stage.load(&shape("/deposit-order", 50.0, 5.0), |_| {});
    let v = judged(&stage, &reports);
    let runs = stage.record.runs();
    let on_s0 = runs.iter().filter(|r| r.server == "s-0").count();
    assert!(on_s0 > 0, "s-0 ran nothing: the cut was not under requests");
    // After the cut, service is whole again for a second.
    for report in &reports {
        assert!(verdict::back(&report.sent, Duration::from_secs(3), Duration::from_secs(1)).is_some());
    }
    assert!(v.served > v.sent / 2, "served {} of {}", v.served, v.sent);
    drop(stage.servers);
}

#[test]
fn a_paused_proxy_serves_what_waited_in_its_backlog_once_it_goes_on() {
    let mut stage = Stage::new(2, 1, vec![]);
    let reports = stage.load(&shape("/balance", 30.0, 3.0), |stage| {
        std::thread::sleep(Duration::from_millis(800));
        stage.proxy(0).signal(Sent::Stop).expect("signalled");
        std::thread::sleep(Duration::from_millis(700));
        stage.proxy(0).signal(Sent::Continue).expect("signalled");
    });
    judged(&stage, &reports);
    let sent = &reports[0].sent;
    // Requests meant to go during the pause waited and were served late, not lost.
    let waited: Vec<_> = sent
        .iter()
        .filter(|s| s.at > Duration::from_millis(900) && s.at < Duration::from_millis(1400))
        .collect();
    assert!(!waited.is_empty());
    assert!(waited.iter().all(|s| s.outcome == Outcome::Served), "{waited:?}");
    assert!(waited.iter().any(|s| s.latency > Duration::from_millis(100)), "nothing waited: {waited:?}");
}

fn fault(at_s: f64, link: &str, kind: Kind, for_s: f64) -> Fault {
    Fault {
        at_s,
        link: link.into(),
        kind,
        for_s: Some(for_s),
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
    }
}

#[test]
fn each_fault_kind_on_one_pay_server_leaves_the_other_serving_and_nothing_twice() {
    let slow = Fault { delay_ms: 30.0, jitter_ms: 20.0, ..fault(3.5, "server0->proxy0", Kind::Delay, 1.0) };
    let narrow = Fault { bytes_per_s: 2000.0, ..fault(4.5, "server0->proxy0", Kind::Rate, 1.0) };
    let late_lists = Fault { delay_ms: 200.0, ..fault(0.0, "discovery->proxy0", Kind::Delay, 6.0) };
    let schedule = vec![
        fault(0.5, "proxy0->server0", Kind::Cut, 1.0),
        fault(1.5, "proxy0->server0", Kind::Reset, 1.0),
        fault(2.5, "proxy0->server0", Kind::Refuse, 1.0),
        slow,
        narrow,
        late_lists,
    ];
    let mut stage = Stage::new(2, 1, schedule);
    let reports = stage.load(&shape("/deposit-order", 40.0, 6.0), |_| {});
    let v = judged(&stage, &reports);
    let to_s0 = &stage.relays[0].counts;
    let (held, resets) = (to_s0.held.load(Ordering::Relaxed), to_s0.resets.load(Ordering::Relaxed));
    eprintln!("to s-0: {} connections, {held} pieces held by the cut, {resets} reset or refused", {
        to_s0.connections.load(Ordering::Relaxed)
    });
    assert!(resets > 0, "no connection met the reset or the refusal");
    // Each fault lasts a second; within it the proxy turns to s-1 and serves whole spans again.
    for start in [0.5, 1.5, 2.5] {
        let from = Duration::from_secs_f64(start);
        let back = verdict::back(&reports[0].sent, from, Duration::from_millis(300)).expect("served again");
        assert!(back < from + Duration::from_secs(1), "fault at {start} s: whole again only at {back:?}");
    }
    assert!(v.served * 10 >= v.sent * 9, "served {} of {}", v.served, v.sent);
}
