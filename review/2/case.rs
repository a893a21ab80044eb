// An order that a frozen coordinator had not read yet is applied after it runs again, although the
// operator had closed that connection, and had got the order and a newer one acknowledged elsewhere.
#[path = "../common/common.rs"]
mod common;
use common::*;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const ZONE: &str = "everett-hall";
/// The machine that is frozen: the coordinator in the zone of the clients.
const FROZEN: u8 = 1;
const EVACUATION: Duration = Duration::from_millis(5_000);
const CONTACT: Duration = Duration::from_millis(5_000);
const ROUNDS: u32 = 11;
/// No round is begun after this many seconds.
const LAST_ROUND_S: f64 = 103.0;

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create("review/2/record.txt");
    finish(move || run(trouble, &record));
}

fn run(trouble: bool, record: &Record) -> i32 {
    let mut site = Site::new(3);
    let cores: Vec<Machine> =
        (1..=3).map(|n| Machine { number: n, zone: ZONES[n as usize - 1].0 }).collect();
    for core in &cores {
        site.start("coordinator", core, true);
    }
    let edge = Machine { number: 4, zone: "tacoma-hall" };
    site.start("agent", &edge, true);
    site.start("gate", &edge, true);
    let coordinators: Vec<SocketAddr> = (1..=3).map(|n| site.control_plane(n)).collect();

    // The servers of the payroll desks' page: 10 of ironmast-desk, which only report here, and 3 of
    // paystub-api, one a zone.
    let arrivals: Arc<Mutex<Vec<(Instant, &'static str, String)>>> = Arc::default();
    let mut servers = Vec::new();
    for (zone, count) in [("tacoma-hall", 3), ("salem-hall", 4), ("everett-hall", 3)] {
        for number in 0..count {
            let id = format!("i-desk-{zone}-{number}");
            servers.push(start_server(&id, "ironmast-desk", zone, site.ip(6), |_, _| {}));
        }
        let (arrivals, record) = (Arc::clone(&arrivals), record.clone());
        let id = format!("i-stub-{zone}");
        let serve = move |server: Arc<Server>, stream| serve(&server, stream, &arrivals, &record);
        servers.push(start_server(&id, "paystub-api", zone, site.ip(6), serve));
    }

    let route = r#"{"name":"stub-fetch","hostname":"ficu95.example","path_prefix":"/lohu930/","type":"unsafe","timeout_ms":2500,"target_latency_ms":400,"priority":2,"backend":"paystub-api","max_attempts":1,"session_affinity":false,"resumable":false,"allowed_regions":[]}"#;
    let services = r#"{"name":"paystub-api","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0},{"name":"ironmast-desk","health_check":"/healthz","max_connections":360,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}"#;
    // 250 routes more (`big_config` of the site: 350).
    let routes = || {
        let more = (0..250).map(|n| route.replace("stub-fetch", &format!("idle-{n}")).replace("lohu930", &format!("idle{n}")));
        more.chain([route.to_string()]).collect::<Vec<_>>().join(",")
    };
    let body = configuration(2, &routes(), services);
    sleep_ms(1_500);
    let headers = [("If-Match", "0"), ("Content-Type", "application/json")];
    let answer = order(record, &coordinators, "PUT", "/api/config", &headers, body.as_bytes());
    if answer.is_none_or(|answer| answer.status() != 200) {
        could_not_run("the first configuration is not acknowledged");
    }
    for server in &servers {
        server.keep_beating(coordinators.clone());
    }
    sleep_ms(2_500);
    wait_until_served(&site, edge.number, HOST, "/lohu930/2f");

    let ended = Arc::new(AtomicBool::new(false));
    // 20 requests a second from four clients that keep their connections, and 31 clients that ask
    // for addresses whenever the last answer is over, the coordinator of their own zone first.
    for client in 0..4 {
        let (to, ended, record) = (site.frontend(edge.number), Arc::clone(&ended), record.clone());
        thread::spawn(move || send_requests(client, to, &ended, &record));
    }
    for client in 0..31_usize {
        let near = [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1][..].get(client).copied().unwrap_or(2);
        let directories: Vec<SocketAddr> =
            [near, (near + 2) % 3, (near + 1) % 3].iter().map(|n| site.directory(*n as u8 + 1)).collect();
        let ended = Arc::clone(&ended);
        thread::spawn(move || resolve(&directories, ZONES[near].0, &ended));
    }
    sleep_ms(1_000);

    // The operator asks the frozen machine first: it picks among those that serve control_plane.
    let first = |n: u8| -> Vec<SocketAddr> {
        (0..3).map(|i| site.control_plane((n - 1 + i) % 3 + 1)).collect()
    };
    let path = format!("/api/evacuate/{ZONE}");
    let status = |answer: Option<Message>| answer.map_or(0, |answer| answer.status());
    let mut broken = 0;
    for round in 1..=ROUNDS {
        if record.now() > LAST_ROUND_S {
            break;
        }
        record.say(&format!("round {round}: the zone {ZONE} is evacuated"));
        if status(order(record, &first(2), "POST", &path, &[], b"")) != 200 {
            could_not_run("the first evacuation is not acknowledged");
        }
        sleep_ms(1_500);
        if trouble {
            record.say(&format!("round {round}: coordinator {FROZEN} stands still"));
            site.signal("coordinator", FROZEN, SIGSTOP);
        }
        let frozen_at = Instant::now();
        sleep_ms(50);
        // Orders of the same hour are under way beside it: a change of the configuration and reads.
        let body = configuration(2 * u64::from(round) + 2, &routes(), services);
        let base = (2 * round).to_string();
        let beside: Vec<_> = (0..6)
            .map(|number| {
                let (record, to) = (record.clone(), first(FROZEN));
                let (body, base) = (body.clone(), base.clone());
                thread::spawn(move || {
                    let headers = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
                    match number {
                        0 => order(&record, &to, "PUT", "/api/config", &headers, body.as_bytes()),
                        _ => order(&record, &to, "GET", "/api/config", &[], b""),
                    }
                })
            })
            .collect();
        sleep_ms(20);
        let taken_back = status(order(record, &first(FROZEN), "DELETE", &path, &[], b""));
        let again = status(order(record, &first(2), "POST", &path, &[], b""));
        let acknowledged_at = Instant::now();
        record.say(&format!(
            "round {round}: taken back ({taken_back}), then evacuated again ({again})"
        ));
        thread::sleep(ms(1_250).saturating_sub(frozen_at.elapsed()));
        let mut calm_from = acknowledged_at + EVACUATION;
        if trouble {
            site.signal("coordinator", FROZEN, SIGCONT);
            record.say(&format!(
                "round {round}: coordinator {FROZEN} runs again, {:.2} s later",
                frozen_at.elapsed().as_secs_f64()
            ));
            calm_from = calm_from.max(Instant::now() + CONTACT);
        }
        if beside.into_iter().any(|order| status(order.join().unwrap()) != 200) {
            could_not_run("an order beside the evacuation is not acknowledged");
        }
        if taken_back != 200 || again != 200 {
            could_not_run("an order is not acknowledged");
        }
        let calm_from = calm_from + ms(200);
        thread::sleep(calm_from.saturating_duration_since(Instant::now()) + ms(1_000));
        let late: Vec<_> = arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|(at, zone, _)| *zone == ZONE && *at >= calm_from)
            .cloned()
            .collect();
        for (at, zone, id) in &late {
            record.line(&format!(
                "request {id} had reached the server in {zone}, {:.3} s after the evacuation was acknowledged",
                (*at - acknowledged_at).as_secs_f64()
            ));
        }
        let all = arrivals.lock().unwrap().iter().filter(|(at, _, _)| *at >= calm_from).count();
        record.say(&format!(
            "round {round}: {} of {all} requests reached servers of the evacuated zone later than 5 s after the acknowledgement (and later than 5 s after all machines ran again)",
            late.len()
        ));
        if !late.is_empty() {
            broken += 1;
            break;
        }
        if status(order(record, &first(2), "DELETE", &path, &[], b"")) != 200 {
            could_not_run("the end of the evacuation is not acknowledged");
        }
        sleep_ms(300);
    }
    ended.store(true, Ordering::SeqCst);
    if broken > 0 {
        record.say("EVAC is broken: the zone is evacuated for the operator, and in service for the gate");
        return 1;
    }
    record.say("EVAC held");
    0
}

/// A server of paystub-api: answers each request at once.
fn serve(
    server: &Server,
    mut stream: TcpStream,
    arrivals: &Mutex<Vec<(Instant, &'static str, String)>>,
    record: &Record,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        use std::io::Write as _;
        let id = request.header("x-ironmast-request-id").unwrap_or("").to_string();
        let expected = request.header("x-ironmast-expect-instance").unwrap_or(&server.id);
        let answer = if request.path() == "/healthz" {
            format!("HTTP/1.1 200 OK\r\nX-Ironmast-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", server.id)
        } else if expected != server.id {
            format!("HTTP/1.1 421 Misdirected Request\r\nX-Ironmast-Request-Id: {id}\r\nX-Ironmast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        } else {
            arrivals.lock().unwrap().push((Instant::now(), server.zone, id.clone()));
            record.line(&format!("server {} runs request {id}", server.id));
            sleep_ms(30);
            format!("HTTP/1.1 200 OK\r\nX-Ironmast-Request-Id: {id}\r\nX-Ironmast-Server-Signature: {}.1\r\nContent-Length: 4\r\n\r\nstub", server.id)
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn send_requests(client: u64, to: SocketAddr, ended: &AtomicBool, record: &Record) {
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(to) else { return };
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(ms(2_500))));
        let mut buffer = Vec::new();
        while !ended.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("{client:08x}{number:08x}");
            let headers = [
                ("Host", HOST),
                ("X-Ironmast-Request-Id", id.as_str()),
                ("X-Ironmast-Deadline-Ms", "2500"),
            ];
            record.line(&format!("client {client} sends request {id}"));
            if write_request(&mut stream, "POST", "/lohu930/2f", &headers, b"stub 1").is_err() {
                break;
            }
            let answer = read_message(&mut stream, &mut buffer);
            let status = answer.as_ref().map_or("no answer".into(), |answer| answer.status().to_string());
            record.line(&format!("client {client} gets {status} for request {id}"));
            let Some(answer) = answer else { break };
            sleep_ms(170);
            if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                break;
            }
        }
    }
}

fn resolve(directories: &[SocketAddr], zone: &str, ended: &AtomicBool) {
    sleep_ms(random() % 2_000);
    let path = format!("/api/resolve?name={HOST}&region={}&zone={zone}", region(zone));
    while !ended.load(Ordering::SeqCst) {
        let mut ttl_s = 1.0;
        for directory in directories {
            let answer = call(*directory, "GET", &path, &[], b"", ms(1_000));
            if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                let body = String::from_utf8_lossy(&answer.body).to_string();
                let ttl = body.split("\"ttl_s\":").nth(1).unwrap_or("1");
                let ttl: String = ttl.chars().take_while(|c| c.is_ascii_digit() || *c == '.').collect();
                ttl_s = ttl.parse::<f64>().unwrap_or(1.0).min(5.0);
                break;
            }
        }
        thread::sleep(Duration::from_secs_f64(ttl_s.max(0.2)));
    }
}
