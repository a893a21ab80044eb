//! Time that `Balancer::handle` takes on one thread, by the number of listed servers in three zones.
//!
//! `request`: a request and its response. `failure`: a request whose attempt fails, and the client's
//! disconnection. `change`: a change of one server's entry in the list. `maintenance`: the periodic
//! work of the timer. Each runs for one balancer (which uses all servers of its zone) and for one of
//! 2,000 (of which each uses a subset).

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ironmast_balancer::{
    Action, AttemptEnded, Balancer, ClassSettings, Effect, Event, Listing, Micros, Outcome, Phase,
    Request, Scope, Server, ServerId, Settings,
};

const SIZES: [u64; 4] = [10, 100, 1_000, 10_000];

/// A balancer that knows the complete list and has served 1,000 requests.
struct Fixture {
    balancer: Balancer,
    now: Micros,
    id: u64,
    actions: Vec<Action>,
    servers: Vec<Server>,
    timer: Option<(Micros, u64)>,
}

impl Fixture {
    fn new(servers: u64, balancers: u32) -> Self {
        let class = |effect| ClassSettings {
            latency_target: 400_000,
            deadline: 800_000,
            effect,
            ..ClassSettings::default()
        };
        let settings = Settings {
            balancers,
            classes: vec![class(Effect::Idempotent), class(Effect::NonIdempotent)],
            zones: 3,
            ..Settings::default()
        };
        let server = |n: u64| Server {
            id: ServerId::from_name(&format!("10.0.{}.{}:80", n / 250, n % 250)),
            zone: (n % 3) as usize,
            cell: 0,
            phase: Phase::Ready,
            size: 1.0,
            started: None,
        };
        let balancer = Balancer::new(settings, 7).expect("valid settings");
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let mut fixture = Fixture {
            balancer,
            now: 1_000_000_000,
            id: 0,
            actions: Vec::new(),
            servers,
            timer: None,
        };
        let listing = Listing {
            scope: Scope::Complete,
            servers: fixture.servers.clone(),
        };
        fixture.event(Event::Members(listing));
        for _ in 0..1_000 {
            fixture.request(Outcome::Ok);
        }
        fixture
    }

    fn event(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            if let Action::Timer { delay, token } = action {
                self.timer = Some((self.now + delay, *token));
            }
        }
    }

    /// Handles a request 500 microseconds after the last, and the end of its attempt; a timer that is
    /// due fires before.
    fn request(&mut self, outcome: Outcome) {
        self.now += 500;
        if let Some((_, token)) = self.timer.filter(|(at, _)| *at <= self.now) {
            self.event(Event::Timer { token });
        }
        self.id += 1;
        let id = self.id;
        self.event(Event::Request(Request {
            id,
            class: (id % 2) as usize,
            tenant: None,
            key: None,
            work_hint: None,
            client_retry: false,
            expires: self.now + 800_000,
        }));
        let sent = self.actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = sent {
            let finished = outcome == Outcome::Ok;
            let ended = AttemptEnded {
                id,
                server,
                attempt: 0,
                outcome,
                latency: 5_000,
                finished,
                load: None,
            };
            self.event(Event::AttemptEnded(ended));
            if !finished {
                self.event(Event::ClientDisconnected { id });
            }
        }
    }

    fn maintenance(&mut self) {
        self.now += 40_000;
        self.event(Event::Timer { token: 0 });
    }

    fn change(&mut self, n: usize) {
        let mut server = self.servers[n % self.servers.len()].clone();
        self.now += 500;
        server.phase = if (n / self.servers.len()).is_multiple_of(2) {
            Phase::Draining
        } else {
            Phase::Ready
        };
        self.event(Event::Members(Listing {
            scope: Scope::Changes,
            servers: vec![server],
        }));
    }
}

fn handle(c: &mut Criterion) {
    for balancers in [1, 2_000] {
        let mut group = c.benchmark_group(format!("balancers-{balancers}"));
        for size in SIZES {
            let mut fixture = Fixture::new(size, balancers);
            group.bench_function(BenchmarkId::new("request", size), |b| {
                b.iter(|| black_box(&mut fixture).request(Outcome::Ok));
            });
            group.bench_function(BenchmarkId::new("failure", size), |b| {
                b.iter(|| black_box(&mut fixture).request(Outcome::ServerError));
            });
            let mut fixture = Fixture::new(size, balancers);
            group.bench_function(BenchmarkId::new("maintenance", size), |b| {
                b.iter(|| black_box(&mut fixture).maintenance());
            });
            let mut n = 0;
            group.bench_function(BenchmarkId::new("change", size), |b| {
                b.iter(|| {
                    black_box(&mut fixture).change(n);
                    n += 1;
                });
            });
        }
        group.finish();
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).warm_up_time(std::time::Duration::from_millis(200))
        .measurement_time(std::time::Duration::from_millis(800)).without_plots();
    targets = handle
}
criterion_main!(benches);
