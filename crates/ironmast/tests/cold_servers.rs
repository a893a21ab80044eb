//! Tests that a gate doesn't overload a server that has turned cold while the gate or its agent was
//! down or suspended, with a coordinator, an agent and a gate as processes.

mod system;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use awc::http::Method;
use system::client::{configuration, decided, put, status};
use system::server::{self, Request};
use system::{Role, Site, eventually};

/// The machine of the gate and its agent; the coordinator runs on machine 1.
const GATE: u8 = 2;
/// Zone of the server that turns cold; the other server is in another zone.
const COLD_ZONE: &str = "z9";
const WARM_ZONE: &str = "z8";
const ORDER_PATH: &str = "/api/evacuate/z9";
/// Requests that all gates together may send to a cold server in one second (`warmup_per_s`, with the
/// default overshoot and tolerance).
const COLD_BOUND: usize = 10;
/// How long the server is cold after its zone is back in service.
const COLD_TIME: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// From the start of the disruption until the zone is evacuated, is back in service, and the
/// disruption ends.
const EVACUATED_AFTER: Duration = Duration::from_millis(300);
const RESTORED_AFTER: Duration = Duration::from_millis(2_500);
const RECOVERED_AFTER: Duration = Duration::from_millis(2_650);
/// Clients, each with one request after another.
const CLIENTS: u64 = 12;
const CLIENT_INTERVAL: Duration = Duration::from_millis(60);

/// What happens to the processes of the gate's machine.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    KillBoth,
    KillAgent,
    SuspendBoth,
    SuspendAgent,
    SuspendGate,
}

/// The gate and its agent; `None` while one is down.
struct Machine<'a> {
    site: &'a Site,
    gate: Option<Role>,
    agent: Option<Role>,
}

impl Machine<'_> {
    fn disrupt(&mut self, disruption: Disruption) {
        let (gate, agent) = (&mut self.gate, &mut self.agent);
        let pause = |role: &Option<Role>| role.as_ref().expect("it runs").pause();
        match disruption {
            Disruption::KillBoth => {
                agent.take().expect("it runs").kill();
                gate.take().expect("it runs").kill();
            }
            Disruption::KillAgent => agent.take().expect("it runs").kill(),
            Disruption::SuspendBoth => {
                pause(agent);
                pause(gate);
            }
            Disruption::SuspendAgent => pause(agent),
            Disruption::SuspendGate => pause(gate),
        }
    }

    fn recover(&mut self) {
        let site = self.site;
        self.agent
            .get_or_insert_with(|| site.start_agent(GATE))
            .resume();
        self.gate
            .get_or_insert_with(|| site.start_gate(GATE))
            .resume();
    }
}

/// A model server that reports its warm-up, and records when requests arrive.
struct ModelServer {
    zone: &'static str,
    address: SocketAddr,
    cold_until: Arc<Mutex<Instant>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    sequence: AtomicU64,
}

impl ModelServer {
    fn start(zone: &'static str) -> Self {
        let cold_until = Arc::new(Mutex::new(Instant::now()));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (until, seen) = (Arc::clone(&cold_until), Arc::clone(&arrivals));
        let address = server::start_with(instance(zone), move |request: &Request| {
            if request.path == "/healthz" {
                return format!("X-Ironmast-Warmup-Ms: {}\r\n", remaining_ms(&until));
            }
            seen.lock().expect("no panic").push(Instant::now());
            String::new()
        });
        ModelServer {
            zone,
            address,
            cold_until,
            arrivals,
            sequence: AtomicU64::new(1),
        }
    }

    fn send_heartbeat(&self, to: SocketAddr) {
        let heartbeat = format!(
            "{{\"backend\":\"app\",\"address\":\"{}\",\"zone\":\"{}\",\"capacity\":64,\"state\":\"ready\",\
             \"warmup_left_ms\":{},\"sequence\":{}}}",
            self.address,
            self.zone,
            remaining_ms(&self.cold_until),
            self.sequence.fetch_add(1, Ordering::Relaxed),
        );
        let path = format!("/api/instances/{}", instance(self.zone));
        // A lost heartbeat is followed by the next one.
        let _ = status(Method::PUT, to, &path, &heartbeat);
    }

    /// The highest number of requests within one second among those that arrived from `from` on.
    fn peak_rate_since(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        let late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within_second = |start: &Instant| {
            let end = *start + Duration::from_secs(1);
            late.iter().filter(|at| *at >= start && **at < end).count()
        };
        late.iter().map(within_second).max().unwrap_or(0)
    }
}

fn instance(zone: &str) -> String {
    format!("i-{zone}")
}

fn remaining_ms(cold_until: &Mutex<Instant>) -> u128 {
    let until = *cold_until.lock().expect("no panic");
    until.saturating_duration_since(Instant::now()).as_millis()
}

/// Threads that run until the value is dropped.
struct Background {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Background {
    fn new() -> Self {
        Background {
            ended: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Repeats `step`, beginning every `interval`.
    fn repeat(&mut self, interval: Duration, mut step: impl FnMut() + Send + 'static) {
        let ended = Arc::clone(&self.ended);
        self.threads.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                step();
                thread::sleep(interval);
            }
        }));
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Sends one request to the gate on a connection of its own; the response does not matter.
fn send_request(at: SocketAddr, id: u64) {
    use std::io::{Read as _, Write as _};
    let Ok(mut stream) = TcpStream::connect(at) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let head = format!(
        "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: {id:016x}\r\n\
         X-Ironmast-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_ok() {
        let _ = stream.read_to_end(&mut Vec::new());
    }
}

fn wait_until(start: Instant, after: Duration) {
    thread::sleep((start + after).saturating_duration_since(Instant::now()));
}

/// Guards against a gate that takes a report for new that was made before the server turned cold, and
/// sends it its whole share: after a start, after a restart of its agent, and after a pause.
#[test]
fn server_that_turned_cold_during_a_disruption_is_not_overloaded() {
    let site = Site::new(1);
    let _coordinator = site.bootstrap_coordinator(1);
    let mut machine = Machine {
        site: &site,
        gate: Some(site.start_gate(GATE)),
        agent: Some(site.start_agent(GATE)),
    };
    let (at, frontend) = (site.control_plane(1), site.frontend(GATE));
    let limited =
        format!("\"max_connections\":100,\"warmup_s\":2.0,\"warmup_per_s\":{COLD_BOUND}.0");
    let body = configuration(1).replace("\"max_connections\":100", &limited);
    eventually("the configuration", || {
        put(at, "0", &body).filter(|status| *status == 200)
    });
    let warm = Arc::new(ModelServer::start(WARM_ZONE));
    let cold = Arc::new(ModelServer::start(COLD_ZONE));
    let mut background = Background::new();
    let server = Arc::clone(&warm);
    background.repeat(HEARTBEAT_INTERVAL, move || server.send_heartbeat(at));
    for client in 0..CLIENTS {
        let mut request = client << 32;
        background.repeat(CLIENT_INTERVAL, move || {
            request += 1;
            send_request(frontend, request);
        });
    }
    for disruption in [
        Disruption::KillBoth,
        Disruption::KillAgent,
        Disruption::SuspendBoth,
        Disruption::SuspendAgent,
        Disruption::SuspendGate,
    ] {
        eventually("full shares for both servers", || {
            let since = Instant::now();
            cold.send_heartbeat(at);
            thread::sleep(HEARTBEAT_INTERVAL);
            (cold.peak_rate_since(since) > COLD_BOUND).then_some(())
        });
        let start = Instant::now();
        machine.disrupt(disruption);
        wait_until(start, EVACUATED_AFTER);
        let order = |method: &Method| decided(|| status(method.clone(), at, ORDER_PATH, ""));
        assert_eq!(order(&Method::POST), Some(200));
        wait_until(start, RESTORED_AFTER);
        // The last heartbeat before the server turns cold; the next one follows an interval later.
        cold.send_heartbeat(at);
        let cold_since = Instant::now();
        *cold.cold_until.lock().expect("no panic") = cold_since + COLD_TIME;
        assert_eq!(order(&Method::DELETE), Some(200));
        wait_until(start, RECOVERED_AFTER);
        machine.recover();
        wait_until(cold_since, HEARTBEAT_INTERVAL);
        cold.send_heartbeat(at);
        wait_until(cold_since, COLD_TIME);
        let peak = cold.peak_rate_since(cold_since);
        assert!(peak <= COLD_BOUND, "{disruption:?}: {peak} requests in 1 s");
    }
}
