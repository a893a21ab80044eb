//! Fixtures of the unit tests: routes, services and servers, limits that count their calls, and a
//! gate around a decider.

use std::sync::Arc;

use smallvec::smallvec;

use crate::*;

pub(crate) const MS: Micros = 1000;
pub(crate) const SECOND: Micros = 1_000_000;

/// A route of the service `desk` with default values, for tests to change.
pub(crate) fn route(name: &str, kind: RouteKind) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        kind,
        backends: vec![WeightedBackend {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout_ms: 10_000,
        target_latency_ms: 1000,
        max_event_gap_ms: Some(600),
        priority: 0,
        affinity: matches!(kind, RouteKind::Stream { .. }),
        allowed_regions: Vec::new(),
    }
}

/// A service with eight slots and no other limit.
pub(crate) fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        health_check: "/healthz".into(),
        slots: 8,
        kv_cache_tokens: 0,
        max_connections: 0,
        warmup_per_s: 0.0,
    }
}

/// A ready server of the service `desk`.
pub(crate) fn server(number: usize, region: &str) -> ServerSpec {
    ServerSpec {
        instance: format!("i-{number}").into(),
        service: "desk".into(),
        address: format!("10.0.0.{}:{}", number % 250 + 1, 8000 + number)
            .parse()
            .expect("an address"),
        zone: format!("{region}-{}", number % 2).into(),
        region: region.into(),
        capacity: 0,
        state: ServerState::Ready,
        evacuated: false,
        warming_up: false,
        heartbeats_missing_since: None,
        models: Vec::new(),
        sequence: 1,
    }
}

/// `count` ready servers of a region, numbered from `first` on.
pub(crate) fn servers(first: usize, count: usize, region: &str) -> Vec<ServerSpec> {
    (first..first + count)
        .map(|number| server(number, region))
        .collect()
}

/// A table of the services `desk` and `other`.
pub(crate) fn spec(routes: Vec<RouteSpec>, servers: Vec<ServerSpec>) -> TableSpec {
    TableSpec {
        gates: 1,
        routes,
        services: vec![service("desk"), service("other")],
        servers,
    }
}

/// Permits and a retry budget of fixed size, with counts of the calls.
#[derive(Clone, Debug)]
pub(crate) struct CountingLimits {
    pub(crate) permits: u32,
    pub(crate) retry_after: Micros,
    pub(crate) retries: u32,
    pub(crate) deposits: u32,
    pub(crate) withdrawals: u32,
}

impl Default for CountingLimits {
    fn default() -> Self {
        CountingLimits {
            permits: 0,
            retry_after: 100 * MS,
            retries: u32::MAX,
            deposits: 0,
            withdrawals: 0,
        }
    }
}

impl Permits for CountingLimits {
    fn try_acquire(&mut self, _now: Micros, _server: &ServerSpec) -> Result<(), RetryAfter> {
        self.permits = self
            .permits
            .checked_sub(1)
            .ok_or(RetryAfter(self.retry_after))?;
        Ok(())
    }
}

impl RetryBudget for CountingLimits {
    fn deposit(&mut self, _now: Micros, _service: &ServiceSpec) {
        self.deposits += 1;
    }

    fn withdraw(&mut self, _now: Micros, _service: &ServiceSpec) -> bool {
        self.withdrawals += u32::from(self.retries > 0);
        let has_retry = self.retries > 0;
        self.retries = self.retries.saturating_sub(1);
        has_retry
    }
}

/// A gate in region `north`, zone `north-0`, whose clock is advanced by the test.
pub(crate) struct Gate {
    pub(crate) decider: Decider,
    pub(crate) limits: CountingLimits,
    pub(crate) now: Micros,
}

impl Gate {
    pub(crate) fn new(table: TableSpec) -> Self {
        Gate::with_settings(table, Settings::new("north", "north-0"), 1)
    }

    pub(crate) fn with_settings(table: TableSpec, settings: Settings, seed: u64) -> Self {
        let mut decider = Decider::new(settings, seed).expect("valid settings");
        decider.update_table(
            SECOND,
            Arc::new(Table::build(table).expect("a valid table")),
        );
        Gate {
            decider,
            limits: CountingLimits::default(),
            now: SECOND,
        }
    }

    pub(crate) fn update_table(&mut self, table: TableSpec) {
        self.decider.update_table(
            self.now,
            Arc::new(Table::build(table).expect("a valid table")),
        );
    }

    pub(crate) fn request(&self, name: &str) -> Request {
        let path = format!("/{name}/x");
        let route = self
            .decider
            .table()
            .router()
            .route("desk.example", &path)
            .expect("a route");
        Request::new(route.clone())
    }

    /// A request with three prompt parts, of which `key` is the last shared one.
    pub(crate) fn prompt(&self, name: &str, key: u64) -> Request {
        let part = |id, tokens| PromptPart { id, tokens };
        let parts = smallvec![part(7, 100), part(key, 400), part(u64::MAX - key, 50)];
        Request {
            parts,
            prompt_tokens: 550,
            max_output_tokens: 80,
            model: "m".into(),
            ..self.request(name)
        }
    }

    pub(crate) fn begin(&mut self, request: Request) -> (Call, Decision) {
        self.decider.begin(self.now, request, &mut self.limits)
    }

    pub(crate) fn check_progress(&mut self, call: &mut Call) -> ProgressCheck {
        self.decider
            .check_progress(self.now, call, &mut self.limits)
    }

    pub(crate) fn finish_attempt(&mut self, call: &mut Call, outcome: Outcome) -> Decision {
        self.decider
            .attempt_finished(self.now, call, outcome, &mut self.limits)
    }

    /// Runs a request to success, and returns the instance that served it.
    pub(crate) fn serve(&mut self, request: Request) -> Arc<str> {
        let (mut call, decision) = self.begin(request);
        let instance = dispatch_of(&decision).expect_instance.clone();
        assert_eq!(
            self.finish_attempt(&mut call, Outcome::Success),
            Decision::Finished
        );
        instance
    }

    /// Runs a request whose attempts all end with the same outcome. Returns the instances that were
    /// tried and the last decision.
    pub(crate) fn fail_all_attempts(
        &mut self,
        request: Request,
        outcome: &Outcome,
    ) -> (Vec<Arc<str>>, Decision) {
        let (mut call, mut decision) = self.begin(request);
        let mut instances = Vec::new();
        while let Decision::Send(dispatch) = &decision {
            instances.push(dispatch.expect_instance.clone());
            assert!(instances.len() < 20, "20 attempts without a final decision");
            decision = self.finish_attempt(&mut call, outcome.clone());
        }
        (instances, decision)
    }
}

/// The dispatch of a decision that must be [`Decision::Send`].
pub(crate) fn dispatch_of(decision: &Decision) -> &Dispatch {
    match decision {
        Decision::Send(dispatch) => dispatch,
        other => panic!("expected Decision::Send, got {other:?}"),
    }
}

/// Asserts that a check holds with a protection and fails without it.
pub(crate) fn assert_guarded(guard: crate::guards::Guard, check: impl Fn() -> bool) {
    assert!(check(), "the check fails while {guard:?} is on");
    assert!(
        !crate::guards::without(guard, &check),
        "the check passes while {guard:?} is off"
    );
}
