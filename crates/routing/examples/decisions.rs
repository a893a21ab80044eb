//! Measures the time of decisions and of table updates at and around the planned size: 1,300
//! servers in ten regions, 360 routes. Run it in the release profile.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ironmast_routing::{
    Decider, Decision, LoadReport, Micros, Outcome, PromptPart, Request, RouteKind, RouteSpec,
    ServerSpec, ServerState, ServiceSpec, Settings, Table, TableSpec, Unlimited, WeightedBackend,
};

const REGIONS: usize = 10;
const ROUTES: usize = 360;
const REQUESTS: usize = 200_000;
/// Number of requests in a batch. The times printed are those of the median batch, because other
/// work on the machine affects a few batches.
const BATCH: usize = 500;

fn route(number: usize, services: usize) -> RouteSpec {
    RouteSpec {
        name: format!("route-{number}").into(),
        host: "desk.example".into(),
        prefix: format!("/p{number}/").into(),
        kind: RouteKind::Stream {
            resumable: number.is_multiple_of(2),
        },
        backends: vec![WeightedBackend {
            service: format!("service-{}", number % services).into(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout_ms: 15_000,
        target_latency_ms: 1200,
        max_event_gap_ms: Some(600),
        priority: 1,
        affinity: number % 10 < 8,
        allowed_regions: Vec::new(),
    }
}

fn service(number: usize) -> ServiceSpec {
    ServiceSpec {
        name: format!("service-{number}").into(),
        health_check: "/healthz".into(),
        slots: 64,
        kv_cache_tokens: 400_000,
        max_connections: 400,
        warmup_per_s: 10.0,
    }
}

fn server(number: usize, services: usize) -> ServerSpec {
    let region = number / services % REGIONS;
    ServerSpec {
        instance: format!("i-{number:08x}").into(),
        service: format!("service-{}", number % services).into(),
        address: format!("10.{}.{}.1:8080", number / 200, number % 200)
            .parse()
            .expect("an address"),
        zone: format!("zone-{region}-{}", number % 4).into(),
        region: format!("region-{region}").into(),
        capacity: 64,
        state: ServerState::Ready,
        evacuated: false,
        warming_up: false,
        heartbeats_missing_since: None,
        models: vec!["model".into()],
        sequence: 1,
    }
}

fn table(servers: usize, services: usize) -> Table {
    let spec = TableSpec {
        gates: 360,
        routes: (0..ROUTES).map(|number| route(number, services)).collect(),
        services: (0..services).map(service).collect(),
        servers: (0..servers)
            .map(|number| server(number, services))
            .collect(),
    };
    Table::build(spec).expect("a valid table")
}

fn request(decider: &Decider, number: usize, now: Micros) -> Request {
    let path = format!("/p{}/x", number % ROUTES);
    let route = decider
        .table()
        .router()
        .route("Desk.example:8080", &path)
        .expect("a route")
        .clone();
    let part = |id: usize, tokens| PromptPart {
        id: id as u64,
        tokens,
    };
    let mut request = Request::new(route);
    request.model = "model".into();
    request.parts.extend([
        part(number % 7, 800),
        part(number % 500, 4500),
        part(number + 1000, 6000),
    ]);
    (request.prompt_tokens, request.max_output_tokens) = (11_300, 400);
    request.deadline = Some(now + 15_000_000);
    request
}

/// Runs [`REQUESTS`] requests, `in_flight` of them at a time. Returns the time spent in `begin` and
/// in all calls, by batch, and the number of rejected requests.
fn run(decider: &mut Decider, in_flight: usize) -> (Vec<Duration>, Vec<Duration>, usize) {
    let batches = vec![Duration::ZERO; REQUESTS / BATCH];
    let (mut begin, mut all, mut rejected) = (batches.clone(), batches, 0);
    let mut in_progress = std::collections::VecDeque::new();
    let mut now = 1_000_000;
    for number in 0..REQUESTS {
        now += 1000;
        let request = request(decider, number, now);
        let start = Instant::now();
        let (mut call, decision) = decider.begin(now, request, &mut Unlimited);
        begin[number / BATCH] += start.elapsed();
        match black_box(decision) {
            Decision::Send(dispatch) => {
                decider.first_byte_received(now, &mut call);
                let load = LoadReport {
                    running: 3,
                    waiting: 0,
                    slots: Some(64),
                    kv_cache: None,
                };
                decider.apply_load_report(now, dispatch.server, load);
                in_progress.push_back(call);
            }
            _ => rejected += 1,
        }
        if in_progress.len() > in_flight {
            let mut call = in_progress.pop_front().expect("a call");
            black_box(decider.attempt_finished(now, &mut call, Outcome::Success, &mut Unlimited));
        }
        all[number / BATCH] += start.elapsed();
    }
    (begin, all, rejected)
}

fn main() {
    for (servers, services) in [(10, 1), (130, 1), (1300, 4), (1300, 1), (10_000, 4)] {
        let settings = Settings::new("region-0", "zone-0-0");
        let mut decider = Decider::new(settings, 1).expect("valid settings");
        let first = Arc::new(table(servers, services));
        decider.update_table(0, first.clone());
        let (begin, all, rejected) = run(&mut decider, 200);
        let list: Vec<ServerSpec> = first
            .servers()
            .iter()
            .map(|server| (**server).clone())
            .collect();
        let start = Instant::now();
        let next = Arc::new(first.with_servers(360, list).expect("a valid table"));
        let build_time = start.elapsed();
        let start = Instant::now();
        decider.update_table(1, next);
        let replace_time = start.elapsed();
        let per_request_us = |mut times: Vec<Duration>| {
            times.sort_unstable();
            times[times.len() / 2].as_secs_f64() * 1e6 / BATCH as f64
        };
        println!(
            "{servers:6} servers, {services} services: begin {:.2} us, \
             whole request {:.2} us, rejected {rejected}, \
             table built in {build_time:.0?}, replaced in {replace_time:.0?}",
            per_request_us(begin),
            per_request_us(all),
        );
    }
}
