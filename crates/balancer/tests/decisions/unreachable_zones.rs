//! Unreachable zones, and zones that are only slow: where and when requests are sent, and which are
//! never retried.

use std::collections::BTreeMap;

use ironmast_balancer::*;

use crate::support::*;

/// The behaviour of a zone's servers.
#[derive(Clone, Copy, PartialEq)]
enum Zone {
    /// Responses take this long; probes are answered in [`PROBE_TIME`].
    Responds(Micros),
    /// Neither responses nor answers to probes.
    Silent,
    /// Connections are refused, as after the end of the server processes.
    Refuses,
}

const HEALTHY: Zone = Zone::Responds(40 * MS);
const REFUSAL_TIME: Micros = 2 * MS;
const PROBE_TIME: Micros = 2 * MS;
const PROBE_TIMEOUT: Micros = 250 * MS;

impl Zone {
    /// Outcome and duration of an attempt.
    fn attempt(self) -> (Outcome, Micros) {
        match self {
            Zone::Responds(latency) => (Outcome::Ok, latency),
            Zone::Refuses => (Outcome::ConnectFailed, REFUSAL_TIME),
            Zone::Silent => (Outcome::Timeout, SECOND),
        }
    }

    /// Outcome and duration of a probe.
    fn probe(self) -> (Outcome, Micros) {
        match self {
            Zone::Responds(_) => (Outcome::Ok, PROBE_TIME),
            Zone::Refuses => (Outcome::ConnectFailed, REFUSAL_TIME),
            Zone::Silent => (Outcome::Timeout, PROBE_TIMEOUT),
        }
    }
}

/// The zone of a listed server: three servers in each of three zones.
fn zone_of(server: ServerId) -> usize {
    let index = (1..=9).position(|number| id(number) == server);
    index.expect("a listed server") / 3
}

fn nine_servers() -> Vec<Server> {
    (1..=9)
        .map(|number| server(number, (number as usize - 1) / 3))
        .collect()
}

/// The settings of a balancer in zone 0 of three.
fn settings_of(effect: Effect) -> Settings {
    let class = ClassSettings {
        latency_target: 400 * MS,
        ..class(effect)
    };
    Settings {
        zones: 3,
        ..settings(vec![class])
    }
}

/// Simulates one balancer in zone 0 with three servers in each of three zones, at 50 requests per
/// second.
struct Simulation {
    driver: Driver,
    requests: RequestId,
    /// Number of sends that have been carried out.
    sends_seen: usize,
    /// Number of actions that have been carried out.
    actions_seen: usize,
    /// Scheduled events by time, then by order of scheduling.
    due: BTreeMap<(Micros, u64), Event>,
    /// Number of events scheduled so far.
    events: u64,
    /// Sends by zone in the latest run.
    sends: [usize; 3],
}

impl Simulation {
    fn new(effect: Effect) -> Self {
        let mut settings = settings_of(effect);
        settings.limits.probes = true;
        Self::with_settings(settings)
    }

    fn with_settings(settings: Settings) -> Self {
        Simulation {
            driver: Driver::with_servers(settings, nine_servers()),
            requests: 0,
            sends_seen: 0,
            actions_seen: 0,
            due: BTreeMap::new(),
            events: 0,
            sends: [0; 3],
        }
    }

    /// A simulation that has run for two seconds with healthy zones.
    fn healthy(effect: Effect) -> Self {
        let mut simulation = Self::new(effect);
        simulation.run(2 * SECOND, [HEALTHY; 3]);
        simulation
    }

    /// Runs for a time in the way of the real driver: attempts end with their response, on
    /// cancellation, or when their client gives up; probes time out after 250 ms.
    fn run(&mut self, time: Micros, zones: [Zone; 3]) {
        let end = self.driver.now + time;
        self.sends = [0; 3];
        let mut step = 0;
        while self.driver.now < end {
            if step % 4 == 0 {
                self.requests += 1;
                self.driver.request(self.requests, 0);
            }
            step += 1;
            self.carry_out_sends(zones);
            self.carry_out_actions(zones);
            self.deliver_due();
            self.driver.pass(5 * MS);
        }
    }

    /// Runs for `first`, in which the balancer detects the state of the zones, then for `time`, in which
    /// sends are counted.
    fn run_after(&mut self, first: Micros, time: Micros, zones: [Zone; 3]) {
        self.run(first, zones);
        self.run(time, zones);
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.events += 1;
        self.due
            .insert((self.driver.now + delay, self.events), event);
    }

    fn carry_out_sends(&mut self, zones: [Zone; 3]) {
        while let Some(&sent) = self.driver.sends.get(self.sends_seen) {
            self.sends_seen += 1;
            let zone = zone_of(sent.server);
            self.sends[zone] += 1;
            let (outcome, latency) = zones[zone].attempt();
            let ended = AttemptEnded {
                id: sent.request,
                server: sent.server,
                attempt: sent.attempt,
                outcome,
                latency,
                finished: outcome == Outcome::Ok,
                load: None,
            };
            let age = self.driver.now - sent.at;
            self.schedule(latency.saturating_sub(age), Event::AttemptEnded(ended));
        }
    }

    fn carry_out_actions(&mut self, zones: [Zone; 3]) {
        while let Some(action) = self.driver.actions.get(self.actions_seen).cloned() {
            self.actions_seen += 1;
            match action {
                Action::Probe { server } => {
                    let (outcome, latency) = zones[zone_of(server)].probe();
                    let ended = Event::ProbeEnded {
                        server,
                        outcome,
                        latency,
                        load: None,
                    };
                    self.schedule(latency, ended);
                }
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                _ => {}
            }
        }
    }

    /// Ends an attempt as cancelled, unless it has already ended.
    fn cancel(&mut self, id: RequestId, attempt: u32) {
        let is_this = |event: &Event| match event {
            Event::AttemptEnded(ended) => ended.id == id && ended.attempt == attempt,
            _ => false,
        };
        let mut due = self.due.iter();
        let Some(key) = due.find(|(_, event)| is_this(event)).map(|(key, _)| *key) else {
            return;
        };
        if let Some(Event::AttemptEnded(mut ended)) = self.due.remove(&key) {
            ended.outcome = Outcome::Cancelled;
            ended.finished = self.driver.is_answered(id);
            self.schedule(0, Event::AttemptEnded(ended));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.driver.now {
                break;
            }
            let event = entry.remove();
            if let Event::AttemptEnded(ended) = &event
                && ended.outcome == Outcome::Ok
            {
                self.driver.served.insert(ended.id);
            }
            self.driver.event(event);
        }
    }

    /// The number of requests from `first` on that meet a condition.
    fn count_requests(
        &self,
        first: RequestId,
        condition: impl Fn(&Driver, RequestId) -> bool,
    ) -> usize {
        let ids = first..=self.requests;
        ids.filter(|id| condition(&self.driver, *id)).count()
    }

    /// The number of log lines that contain a text.
    fn logged(&self, text: &str) -> usize {
        let contains =
            |action: &&Action| matches!(action, Action::Log(line) if line.contains(text));
        self.driver.actions.iter().filter(contains).count()
    }

    /// The number of sends to zones other than the own in the latest run.
    fn remote_sends(&self) -> usize {
        self.sends[1] + self.sends[2]
    }
}

#[test]
fn requests_leave_an_unreachable_zone_and_return_when_it_recovers() {
    let deduplicated = Effect::Deduplicated {
        group: Group::All,
        window: 4 * SECOND,
    };
    for effect in [Effect::NonIdempotent, Effect::Idempotent, deduplicated] {
        let mut simulation = Simulation::healthy(effect);
        let sends = simulation.sends;
        assert!(
            sends[0] > 90 && simulation.remote_sends() == 0,
            "all requests in the own zone: {sends:?}"
        );
        simulation.run_after(SECOND, 3 * SECOND, [Zone::Silent, HEALTHY, HEALTHY]);
        let sends = simulation.sends;
        assert!(
            simulation.remote_sends() >= 149 && sends[0] == 0,
            "{effect:?}: all requests in other zones after a second: {sends:?}"
        );
        assert_eq!(simulation.logged("zone 0 is unreachable"), 1);
        simulation.run_after(SECOND, 2 * SECOND, [HEALTHY; 3]);
        let sends = simulation.sends;
        assert!(
            sends[0] >= 95,
            "{effect:?}: requests in the own zone a second after its recovery: {sends:?}"
        );
        assert_eq!(simulation.logged("zone 0 is reachable again"), 1);
    }
}

/// Attempts in flight in an unreachable zone are retried elsewhere before the latency target if a retry
/// is safe; otherwise they are never sent again.
#[test]
fn attempts_in_an_unreachable_zone_are_retried_elsewhere_only_where_that_is_safe() {
    for (effect, is_retried) in [(Effect::Idempotent, true), (Effect::NonIdempotent, false)] {
        let mut simulation = Simulation::healthy(effect);
        let first = simulation.requests + 1;
        simulation.run(2 * SECOND, [Zone::Silent, HEALTHY, HEALTHY]);
        let retried = simulation.count_requests(first, |driver, id| driver.attempts(id) > 1);
        assert_eq!(retried > 0, is_retried, "{effect:?}: {retried} retried");
        let failed = simulation.count_requests(first, |driver, id| driver.failed.contains_key(&id));
        assert!(
            failed <= 25,
            "{effect:?}: {failed} failed, more than those of the first half second"
        );
    }
}

#[test]
fn a_slow_zone_is_not_unreachable() {
    let mut simulation = Simulation::healthy(Effect::Idempotent);
    simulation.run(4 * SECOND, [Zone::Responds(312 * MS), HEALTHY, HEALTHY]);
    assert_eq!(
        simulation.logged("is unreachable"),
        0,
        "7.8 times slower but responding"
    );
    let mut simulation = Simulation::healthy(Effect::Idempotent);
    simulation.run(4 * SECOND, [Zone::Responds(112 * MS); 3]);
    assert_eq!(
        simulation.logged("is unreachable"),
        0,
        "all 2.8 times slower"
    );
    assert_eq!(simulation.remote_sends(), 0, "{:?}", simulation.sends);
}

#[test]
fn a_zone_that_refuses_connections_is_avoided_but_not_declared_unreachable() {
    let mut simulation = Simulation::healthy(Effect::NonIdempotent);
    simulation.run_after(SECOND, 2 * SECOND, [Zone::Refuses, HEALTHY, HEALTHY]);
    assert!(simulation.remote_sends() >= 95, "{:?}", simulation.sends);
    assert_eq!(simulation.logged("is unreachable"), 0);
}

#[test]
fn two_zones_of_three_may_be_unreachable_at_once() {
    let mut simulation = Simulation::healthy(Effect::NonIdempotent);
    let zones = [Zone::Silent, Zone::Silent, HEALTHY];
    simulation.run_after(3 * SECOND / 2, 2 * SECOND, zones);
    assert!(simulation.sends[2] >= 98, "{:?}", simulation.sends);
}

#[test]
fn an_isolated_balancer_rejects_at_once_and_serves_when_it_recovers() {
    let mut simulation = Simulation::healthy(Effect::Idempotent);
    simulation.run(2 * SECOND, [Zone::Silent; 3]);
    let first = simulation.requests + 1;
    simulation.run(2 * SECOND, [Zone::Silent; 3]);
    assert_eq!(
        simulation.sends, [0; 3],
        "no attempts in any zone while isolated"
    );
    let rejected = simulation.count_requests(first, |driver, id| driver.rejected.contains_key(&id));
    assert!(rejected >= 99, "{rejected} of 100 rejected");
    let has_delay = |action: &&Action| {
        matches!(
            action,
            Action::Reject {
                retry_after: Some(1..),
                ..
            }
        )
    };
    let with_delay = simulation.driver.actions.iter().filter(has_delay).count();
    assert!(
        with_delay >= rejected,
        "rejections with a retry delay: {with_delay} of {rejected}"
    );
    simulation.run_after(SECOND, SECOND, [HEALTHY; 3]);
    assert!(simulation.sends[0] >= 48, "{:?}", simulation.sends);
}

/// A zone that repeatedly becomes unreachable is detected no later than the first time, and is used
/// again after each recovery.
#[test]
fn a_flapping_zone_is_detected_no_later_each_time() {
    let mut simulation = Simulation::healthy(Effect::NonIdempotent);
    let mut sends_to_silent_zone = Vec::new();
    for _ in 0..4 {
        simulation.run(SECOND, [Zone::Silent, HEALTHY, HEALTHY]);
        sends_to_silent_zone.push(simulation.sends[0]);
        simulation.run(3 * SECOND / 2, [HEALTHY; 3]);
    }
    assert!(
        sends_to_silent_zone
            .iter()
            .all(|count| *count <= sends_to_silent_zone[0]),
        "sent to the unreachable zone each time: {sends_to_silent_zone:?}"
    );
    simulation.run(SECOND, [HEALTHY; 3]);
    assert!(simulation.sends[0] >= 48, "{:?}", simulation.sends);
}

/// Verifies that the tests above depend on probes, which tell an unreachable zone from a slow one.
#[test]
fn without_probes_an_unreachable_zone_is_not_detected_at_once() {
    let mut simulation = Simulation::with_settings(settings_of(Effect::NonIdempotent));
    simulation.run(2 * SECOND, [HEALTHY; 3]);
    simulation.run(SECOND, [Zone::Silent, HEALTHY, HEALTHY]);
    assert_eq!(simulation.logged("is unreachable"), 0);
}
