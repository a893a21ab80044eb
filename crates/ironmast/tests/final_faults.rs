//! Final faults of a site: right after a change was acknowledged, all processes are killed at once, and
//! one coordinator may lose its disk. Afterwards the change has to be there: each coordinator returns
//! the configuration, and a gate that serves again sends nothing to an evacuated zone.
//!
//! `FINAL_FAULT_SEED` and `FINAL_FAULT_ROUNDS` choose another series, which one site plays:
//!
//! ```text
//! FINAL_FAULT_SEED=7 FINAL_FAULT_ROUNDS=200 cargo test --locked --test final_faults -- --nocapture
//! ```

mod system;

use std::env;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use awc::http::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use system::client::{call, configuration, get, put, status};
use system::{Role, Site, eventually, server};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_ROUNDS: u64 = 8;
const COORDINATORS: u8 = 3;
/// The machine of the gate and its agent.
const GATE: u8 = 4;
/// The zones of the two servers.
const ZONES: [&str; 2] = ["z8", "z9"];
/// The zone that is evacuated and put back in service, the second of [`ZONES`].
const EVACUATED_ZONE: &str = "z9";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Within this time after the restart everything works again.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// A coordinator counts as lost for this long after it has come back (`sync_time_s`), and one at a time
/// may be lost with its disk (`fault_tolerance`).
const SYNC_TIME: Duration = Duration::from_secs(4);
/// Requests that are served after each recovery.
const REQUESTS: usize = 12;

fn number_from_environment(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

/// A change that is acknowledged right before a fault.
#[derive(Clone, Copy, Debug)]
enum Change {
    Configuration,
    Evacuation,
    Restoration,
}

/// What was acknowledged last.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    generation: u64,
    evacuated: bool,
}

/// The servers' heartbeats, which go on through all faults, and the counts of their requests.
struct Servers {
    addresses: [SocketAddr; 2],
    runs: [Arc<AtomicU64>; 2],
}

impl Servers {
    fn start() -> Self {
        let runs = [(); 2].map(|()| Arc::new(AtomicU64::new(0)));
        let addresses = [0, 1].map(|index: usize| {
            let count = Arc::clone(&runs[index]);
            server::start_with(format!("i-{index}"), move |request| {
                let is_counted = request.path != "/healthz";
                count.fetch_add(u64::from(is_counted), Ordering::Relaxed);
                String::new()
            })
        });
        Servers { addresses, runs }
    }

    fn runs_in_evacuated_zone(&self) -> u64 {
        self.runs[1].load(Ordering::Relaxed)
    }

    fn send_heartbeats(&self, site: &Site, ended: &AtomicBool) {
        let mut sequence = 0;
        while !ended.load(Ordering::Relaxed) {
            sequence += 1;
            for (index, (zone, address)) in ZONES.iter().zip(self.addresses).enumerate() {
                let heartbeat = format!(
                    "{{\"backend\":\"app\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"capacity\":64,\
                     \"state\":\"ready\",\"sequence\":{sequence}}}"
                );
                let path = format!("/api/instances/i-{index}");
                let mut coordinators = 1..=COORDINATORS;
                // A heartbeat that nobody acknowledges is followed by the next one.
                let _ = coordinators.find(|number| {
                    status(Method::PUT, site.control_plane(*number), &path, &heartbeat) == Some(200)
                });
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}

/// Makes a change at the coordinators in turn, from `first` on, until one acknowledges it.
fn acknowledge(site: &Site, change: Change, first: u8, state: Acknowledged) -> Acknowledged {
    let path = format!("/api/evacuate/{EVACUATED_ZONE}");
    let next = state.generation + 1;
    eventually("an acknowledgement", || {
        (0..COORDINATORS).find_map(|offset| {
            let at = site.control_plane((first + offset) % COORDINATORS + 1);
            let status = match change {
                Change::Configuration => {
                    put(at, &state.generation.to_string(), &configuration(next))
                }
                Change::Evacuation => status(Method::POST, at, &path, ""),
                Change::Restoration => status(Method::DELETE, at, &path, ""),
            };
            (status == Some(200)).then_some(())
        })
    });
    match change {
        Change::Configuration => Acknowledged {
            generation: next,
            ..state
        },
        Change::Evacuation => Acknowledged {
            evacuated: true,
            ..state
        },
        Change::Restoration => Acknowledged {
            evacuated: false,
            ..state
        },
    }
}

/// Whether a request through the gate is served.
fn is_served(site: &Site) -> bool {
    let headers = [
        ("Host", "a.example"),
        ("X-Ironmast-Request-Id", "r"),
        ("X-Ironmast-Deadline-Ms", "1500"),
    ];
    let response = call(Method::GET, site.frontend(GATE), "/x/1", &headers, "");
    response.is_some_and(|response| response.status == 200)
}

/// What is wrong after a recovery, if anything.
fn violations(site: &Site, servers: &Servers, expected: Acknowledged) -> Vec<String> {
    let mut violations = Vec::new();
    let deadline = Instant::now() + RECOVERY_TIME;
    let before = servers.runs_in_evacuated_zone();
    let mut served = 0;
    while served < REQUESTS && Instant::now() < deadline {
        served += usize::from(is_served(site));
    }
    if served < REQUESTS {
        violations.push(format!("the gate served {served} requests"));
    }
    let in_evacuated = servers.runs_in_evacuated_zone() - before;
    if expected.evacuated && in_evacuated > 0 {
        violations.push(format!("{in_evacuated} requests reached an evacuated zone"));
    }
    let body = configuration(expected.generation);
    for number in 1..=COORDINATORS {
        let mut found = get(site.control_plane(number));
        while found.as_ref() != Some(&body) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(50));
            found = get(site.control_plane(number));
        }
        if found.as_ref() != Some(&body) {
            violations.push(format!("coordinator {number} has {found:?}, not {body:?}"));
        }
    }
    violations
}

/// All processes of the site.
fn start_all(site: &Site) -> Vec<Role> {
    let mut roles: Vec<_> = (1..=COORDINATORS)
        .map(|number| site.start_coordinator(number))
        .collect();
    roles.push(site.start_agent(GATE));
    roles.push(site.start_gate(GATE));
    roles
}

#[test]
fn what_was_acknowledged_survives_a_final_fault() {
    let seed = number_from_environment("FINAL_FAULT_SEED", DEFAULT_SEED);
    let rounds = number_from_environment("FINAL_FAULT_ROUNDS", DEFAULT_ROUNDS);
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let site = Site::new(COORDINATORS);
    let servers = Servers::start();
    let ended = AtomicBool::new(false);
    let mut roles: Vec<_> = (1..=COORDINATORS)
        .map(|number| site.bootstrap_coordinator(number))
        .collect();
    roles.push(site.start_agent(GATE));
    roles.push(site.start_gate(GATE));
    let mut state = Acknowledged {
        generation: 0,
        evacuated: false,
    };
    state = acknowledge(&site, Change::Configuration, 0, state);
    let mut found = Vec::new();
    let mut disk_lost_at: Option<Instant> = None;
    thread::scope(|scope| {
        scope.spawn(|| servers.send_heartbeats(&site, &ended));
        eventually("a first response", || is_served(&site).then_some(()));
        for round in 1..=rounds {
            let change = match random.random_range(0..3) {
                0 => Change::Configuration,
                1 => Change::Evacuation,
                _ => Change::Restoration,
            };
            let first = random.random_range(0..COORDINATORS);
            state = acknowledge(&site, change, first, state);
            thread::sleep(Duration::from_micros(random.random_range(0..5_000)));
            Role::kill_all(std::mem::take(&mut roles));
            let is_synced = disk_lost_at.is_none_or(|at| at.elapsed() >= SYNC_TIME);
            let drawn = random
                .random_bool(0.5)
                .then(|| random.random_range(0..COORDINATORS) + 1);
            let wiped = drawn.filter(|_| is_synced);
            if let Some(number) = wiped {
                site.wipe(number);
            }
            thread::sleep(Duration::from_millis(random.random_range(0..600)));
            roles = start_all(&site);
            if wiped.is_some() {
                disk_lost_at = Some(Instant::now());
            }
            let violations = violations(&site, &servers, state);
            println!("round {round}: {change:?}, disk lost: {wiped:?}, {violations:?}");
            found.extend(
                violations
                    .iter()
                    .map(|text| format!("round {round}: {text}")),
            );
        }
        ended.store(true, Ordering::Relaxed);
    });
    if !found.is_empty() {
        site.print_logs();
    }
    assert!(found.is_empty(), "seed {seed}\n{}", found.join("\n"));
}
