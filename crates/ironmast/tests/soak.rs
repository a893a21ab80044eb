//! A soak of the system: clients use their connections until a process closes them, while series of
//! signals, restarts and changes overlap, drawn from a seed, and all servers are silent now and then.
//! Afterwards no request may have run more often than its route allows, no refused one at all, no
//! answer may be missing or cut off but for kills and pauses, and the newest change that was
//! acknowledged is in force everywhere.
//!
//! `SOAK_FIRST_SEED` and `SOAK_SEEDS` choose other seeds, `SOAK_SITES` how many run at a time:
//!
//! ```text
//! SOAK_FIRST_SEED=100 SOAK_SEEDS=50 SOAK_SITES=4 cargo test --locked --test soak -- --nocapture
//! ```

#[path = "soak/record.rs"]
mod record;
mod system;
#[path = "soak/traffic.rs"]
mod traffic;

use std::env;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use awc::http::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use record::{MAX_ATTEMPTS, Record};
use system::client::{get, put, status};
use system::{Role, Site, eventually};
use traffic::{Clients, start_server};

const DEFAULT_FIRST_SEED: u64 = 1;
const DEFAULT_SEEDS: u64 = 8;
/// Sites that run at a time by default.
const DEFAULT_SITES: u64 = 2;
/// How long the disruptions of one seed go on.
const SOAK_TIME: Duration = Duration::from_secs(10);
const COORDINATORS: u8 = 3;
const CONFIG_PATH: &str = "/api/config";
/// The machine of the gate and its agent.
const GATE: u8 = 4;
const CLIENTS: u64 = 24;
/// The longest pause between events that the routes of streams accept.
const GAP_TARGET_MS: u32 = 200;
const SERVER_ZONES: [&str; 3] = ["z8", "z8", "z9"];
/// The zone that is evacuated and put back in service.
const EVACUATED_ZONE: &str = "z9";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Within this time after the last disruption everything works again.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// A gate that is told to end does so within its grace period, which is 8 s by default.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

fn seeds_from_environment(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

fn random_pause(random: &mut Xoshiro256PlusPlus, range_ms: std::ops::Range<u64>) {
    thread::sleep(Duration::from_millis(random.random_range(range_ms)));
}

/// Disrupts the gate's machine in series. All but the first two are planned work.
#[derive(Clone, Copy, Debug)]
enum GateDisruption {
    Kill,
    Suspend,
    /// SIGTERM, and a new gate once the old one has ended.
    Restart,
    /// A new gate starts before the old one is told to end.
    Replace,
    /// SIGHUP and SIGTERM in series while the gate ends.
    SignalsInSeries,
    Reload,
}

const GATE_DISRUPTIONS: [GateDisruption; 6] = [
    GateDisruption::Kill,
    GateDisruption::Suspend,
    GateDisruption::Restart,
    GateDisruption::Replace,
    GateDisruption::SignalsInSeries,
    GateDisruption::Reload,
];

/// The state of one soak, which the disrupting threads share.
struct Soak {
    site: Site,
    record: Record,
    ended: AtomicBool,
    /// Generation of the newest configuration that was acknowledged.
    acknowledged: AtomicU64,
}

impl Soak {
    fn is_running(&self) -> bool {
        !self.ended.load(Ordering::Relaxed)
    }

    /// Starts a gate, and waits until signals no longer end it at once.
    fn start_gate(&self) -> Role {
        let gate = self.site.start_gate(GATE);
        gate.wait_until_started();
        gate
    }

    fn end_gate(&self, gate: Role) {
        self.await_end("gate", gate);
    }

    /// Waits until a process that was told to end has ended; it has to succeed.
    fn await_end(&self, name: &str, mut role: Role) {
        match role.wait_for_exit(GRACE_PERIOD) {
            Some(status) if status.success() => {}
            other => self
                .record
                .violation(format!("the {name} ended with {other:?}")),
        }
    }

    /// Disrupts the gate until the soak ends; returns the gate that runs then.
    fn disrupt_gate(&self, mut gate: Role, mut random: Xoshiro256PlusPlus) -> Role {
        while self.is_running() {
            random_pause(&mut random, 0..300);
            let disruption = GATE_DISRUPTIONS[random.random_range(0..GATE_DISRUPTIONS.len())];
            gate = self.apply(disruption, gate, &mut random);
        }
        gate
    }

    fn apply(
        &self,
        disruption: GateDisruption,
        gate: Role,
        random: &mut Xoshiro256PlusPlus,
    ) -> Role {
        match disruption {
            GateDisruption::Kill => {
                self.record.trouble_begins();
                gate.kill();
                let gate = self.start_gate();
                self.record.trouble_ends();
                gate
            }
            GateDisruption::Suspend => {
                self.record.trouble_begins();
                gate.pause();
                random_pause(random, 50..700);
                gate.resume();
                self.record.trouble_ends();
                gate
            }
            GateDisruption::Restart => {
                gate.terminate();
                self.end_gate(gate);
                self.start_gate()
            }
            GateDisruption::Replace => {
                let next = self.start_gate();
                random_pause(random, 0..300);
                gate.terminate();
                self.end_gate(gate);
                next
            }
            GateDisruption::SignalsInSeries => {
                gate.reload();
                gate.terminate();
                random_pause(random, 0..100);
                gate.terminate();
                let next = self.start_gate();
                next.reload();
                self.end_gate(gate);
                next
            }
            GateDisruption::Reload => {
                gate.reload();
                gate
            }
        }
    }

    /// Kills, suspends and terminates the gate's agent in series; the gate serves with what it knows.
    /// An agent that is told to end waits for its gate, which may be told to end meanwhile.
    fn disrupt_agent(&self, mut agent: Role, mut random: Xoshiro256PlusPlus) -> Role {
        while self.is_running() {
            random_pause(&mut random, 200..1_500);
            match random.random_range(0..3) {
                0 => {
                    agent.pause();
                    random_pause(&mut random, 50..2_000);
                    agent.resume();
                }
                1 => {
                    agent.kill();
                    random_pause(&mut random, 0..500);
                    agent = self.site.start_agent(GATE);
                }
                _ => {
                    agent.wait_until_started();
                    agent.terminate();
                    self.await_end("agent", agent);
                    agent = self.site.start_agent(GATE);
                }
            }
        }
        agent
    }

    /// Kills, suspends and restarts one coordinator after another.
    fn disrupt_coordinators(&self, roles: &mut [Option<Role>], mut random: Xoshiro256PlusPlus) {
        while self.is_running() {
            random_pause(&mut random, 300..900);
            let index = random.random_range(0..roles.len());
            let number = index as u8 + 1;
            let role = roles[index].take().expect("it runs");
            if random.random_bool(0.5) {
                role.pause();
                random_pause(&mut random, 100..1_500);
                role.resume();
                roles[index] = Some(role);
            } else {
                role.kill();
                random_pause(&mut random, 0..800);
                roles[index] = Some(self.site.start_coordinator(number));
            }
        }
    }

    /// Changes the configuration, and evacuates a zone and puts it back in service, in series.
    fn change_state(&self, mut random: Xoshiro256PlusPlus) {
        let path = format!("/api/evacuate/{EVACUATED_ZONE}");
        while self.is_running() {
            random_pause(&mut random, 50..600);
            let base = self.acknowledged.load(Ordering::Relaxed);
            self.configure(base, base + 1);
            let method = [Method::POST, Method::DELETE][random.random_range(0..2)].clone();
            let first = random.random_range(0..COORDINATORS);
            for offset in 0..COORDINATORS {
                let number = (first + offset) % COORDINATORS + 1;
                let at = self.site.control_plane(number);
                if status(method.clone(), at, &path, "") == Some(200) {
                    break;
                }
            }
        }
    }

    /// Sends a configuration to one coordinator after another until one acknowledges it.
    fn configure(&self, base: u64, generation: u64) {
        let body = soak_configuration(generation);
        eventually("an acknowledged configuration", || {
            (1..=COORDINATORS).find_map(|number| {
                let status = put(self.site.control_plane(number), &base.to_string(), &body)?;
                if (400..500).contains(&status) {
                    self.record
                        .violation(format!("configuration {generation} got {status}"));
                }
                (status == 200 || (400..500).contains(&status)).then_some(())
            })
        });
        self.acknowledged.store(generation, Ordering::Relaxed);
    }

    fn send_heartbeats(&self, servers: &[(String, &str, std::net::SocketAddr)]) {
        let mut sequence = 0;
        while self.is_running() {
            sequence += 1;
            for (instance, zone, address) in servers {
                let heartbeat = format!(
                    "{{\"backend\":\"app\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"capacity\":64,\
                     \"state\":\"ready\",\"sequence\":{sequence}}}"
                );
                let path = format!("/api/instances/{instance}");
                let mut coordinators = 1..=COORDINATORS;
                // A heartbeat that nobody acknowledges is followed by the next one.
                let _ = coordinators.find(|number| {
                    let at = self.site.control_plane(*number);
                    status(Method::PUT, at, &path, &heartbeat) == Some(200)
                });
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Asserts that everything works again: the newest configuration is at each coordinator, and the
    /// gate serves.
    fn check_recovery(&self, started_serving: impl Fn() -> bool) {
        let expected = soak_configuration(self.acknowledged.load(Ordering::Relaxed));
        let deadline = Instant::now() + RECOVERY_TIME;
        for number in 1..=COORDINATORS {
            let mut found = get(self.site.control_plane(number));
            while found.as_ref() != Some(&expected) && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(100));
                found = get(self.site.control_plane(number));
            }
            if found.as_ref() != Some(&expected) {
                let status = status(
                    Method::GET,
                    self.site.control_plane(number),
                    CONFIG_PATH,
                    "",
                );
                self.record.violation(format!(
                    "coordinator {number} has {found:?} (status {status:?}) in place of {expected:?}"
                ));
            }
        }
        while !started_serving() {
            if Instant::now() > deadline {
                self.record.violation("the gate does not serve".to_string());
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// A configuration with a route for each kind of request. Only a resumable stream may run twice.
fn soak_configuration(generation: u64) -> String {
    let route = |name: &str, kind: &str, fields: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"a.example\",\"path_prefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeout_ms\":5000,\"target_latency_ms\":400,\"backend\":\"app\",\
             \"max_attempts\":{MAX_ATTEMPTS}{fields}}}"
        )
    };
    let gap = format!(",\"gap_aim_ms\":{GAP_TARGET_MS}");
    let routes = [
        route("x", "unsafe", ""),
        route(
            "resumable",
            "streaming",
            &format!(",\"resumable\":true{gap}"),
        ),
        route("stream", "streaming", &gap),
    ];
    format!(
        "{{\"generation\": {generation}, \"routes\":[{}],\"services\":[{{\"name\":\"app\",\
         \"health_check\":\"/healthz\",\"max_connections\":100}}]}}",
        routes.join(",")
    )
}

/// Plays one seed; returns the violations.
fn soak(seed: u64) -> Vec<String> {
    let record = Record::default();
    let site = Site::new(COORDINATORS);
    let mut roles: Vec<Option<Role>> = (1..=COORDINATORS)
        .map(|number| Some(site.bootstrap_coordinator(number)))
        .collect();
    let agent = site.start_agent(GATE);
    let servers: Vec<_> = (0..)
        .zip(SERVER_ZONES)
        .map(|(number, zone)| {
            let instance = format!("i-{number}");
            let address = start_server(instance.clone(), record.clone());
            (instance, zone, address)
        })
        .collect();
    let frontend = site.frontend(GATE);
    let soak = Soak {
        site,
        record,
        ended: AtomicBool::new(false),
        acknowledged: AtomicU64::new(0),
    };
    let gate = soak.start_gate();
    soak.configure(0, 1);
    // Threads draw from generators of their own, so that a seed gives the same series to each.
    let random = |stream: u64| Xoshiro256PlusPlus::seed_from_u64(seed * 1_000 + stream);
    let clients = Clients::start(CLIENTS, frontend, &soak.record);
    let served = || soak.record.counts().1;
    let _running = thread::scope(|scope| {
        scope.spawn(|| soak.send_heartbeats(&servers));
        eventually("a first response", || (served() > 0).then_some(()));
        let gate = scope.spawn(|| soak.disrupt_gate(gate, random(1)));
        let agent = scope.spawn(|| soak.disrupt_agent(agent, random(4)));
        scope.spawn(|| soak.disrupt_coordinators(&mut roles, random(2)));
        scope.spawn(|| soak.change_state(random(3)));
        thread::sleep(SOAK_TIME);
        soak.ended.store(true, Ordering::Relaxed);
        (
            gate.join().expect("no panic"),
            agent.join().expect("no panic"),
        )
    });
    let before = served();
    soak.check_recovery(|| served() > before + 20);
    drop(clients);
    let (sent, served) = soak.record.counts();
    let violations = soak.record.violations();
    println!(
        "soak seed {seed}: {sent} requests, {served} served, configuration {}, {} violations",
        soak.acknowledged.load(Ordering::Relaxed),
        violations.len()
    );
    if !violations.is_empty() {
        soak.site.print_logs();
    }
    violations
}

#[test]
fn series_of_signals_restarts_and_changes_that_overlap_break_no_guarantee() {
    let first = seeds_from_environment("SOAK_FIRST_SEED", DEFAULT_FIRST_SEED);
    let count = seeds_from_environment("SOAK_SEEDS", DEFAULT_SEEDS);
    let sites = seeds_from_environment("SOAK_SITES", DEFAULT_SITES);
    let next = AtomicU64::new(first);
    let failed = thread::scope(|scope| {
        let play = || {
            let mut failed = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return failed;
                }
                let violations = soak(seed);
                failed.extend(violations.iter().map(|text| format!("seed {seed}: {text}")));
            }
        };
        let players: Vec<_> = (0..sites).map(|_| scope.spawn(play)).collect();
        let joined = players.into_iter().map(thread::ScopedJoinHandle::join);
        joined
            .flat_map(|failed| failed.expect("no panic"))
            .collect::<Vec<_>>()
    });
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
