//! The balancer's state and event handler. All decisions are made here and in the submodules, except
//! the ejection of a server for one class (`class_ejection`) and the detection of unreachable zones
//! (`failure_detector`).
//!
//! A request passes through `accept_request` and `send_or_queue` (`requests`), `candidates` and `pick`
//! (`selection`, within the limits of `capacity`) and `send` (`attempts`). Each attempt ends in
//! `attempt_ended`, which passes its outcome to `health`.

mod attempts;
mod capacity;
mod health;
mod probing;
mod requests;
mod selection;

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{
    Action, ClassSettings, Discovery, Event, Listing, MAX_DISCOVERY_DELAY, Micros, Phase,
    RequestId, Scope, Settings, SettingsError,
};
use crate::failure_detector::FailureDetector;
use crate::fleet::Fleet;
use crate::latency::LatencyQuantiles;
use crate::locality::ByLocality;
use crate::node::Node;
use crate::open_request::{OpenRequest, QueuePosition};
use crate::peer_load::PeerLoad;
use crate::rng::{Rng, mix};

/// Maintenance runs (decay of measurements, grants to warming servers) per shortest latency target.
const MAINTENANCE_RUNS_PER_TARGET: u64 = 10;
/// Upper bound of the maintenance interval, in microseconds.
const MAX_MAINTENANCE_INTERVAL: Micros = 1_000_000;
/// Time after which one of many balancers changes its subset of servers, in microseconds, so that each
/// balancer uses all servers evenly in the long run.
const SUBSET_ROTATION: Micros = 60_000_000;
/// The first backoff after a failed discovery call is `discovery_interval` divided by this.
const FIRST_BACKOFF_DIVISOR: u64 = 16;
/// The longest backoff is `discovery_interval` divided by this, at most `MAX_DISCOVERY_DELAY` / 4.
const MAX_BACKOFF_DIVISOR: u64 = 2;
/// Initial in-flight limit of a server, summed over all balancers; each starts with its share.
const INITIAL_LIMIT: f64 = 12.0;
/// Time constant of measured rates and idle timeout of connections, in microseconds.
const RATE_DECAY_TIME: f64 = 2_000_000.0;
/// Hedge win rate assumed before any hedged request has ended.
const INITIAL_HEDGE_WIN_RATE: f64 = 0.4;

/// The load balancer of one client proxy: decides where requests are sent, and whether they are
/// retried, hedged, queued or rejected.
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    now: Micros,
    fleet: Fleet,
    failure_detector: FailureDetector,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// Times at which open requests are processed again.
    due_requests: BTreeSet<(Micros, RequestId)>,
    /// Due time of the timer that was requested last.
    armed_timer: Option<Micros>,
    /// Time until which nothing is sent to a locality. Set while its limits sum to less than one, so
    /// that many balancers do not overload it.
    paused_until: ByLocality<Micros>,
    latencies: Vec<LatencyQuantiles>,
    mean_size: f64,
    /// Request rates of this balancer and its peers.
    peer_load: PeerLoad,
    maintenance_interval: Micros,
    next_maintenance: Micros,
    /// The salt of this balancer's subset.
    subset_salt: u64,
    round_robin_position: usize,
    /// Requests that wait for capacity, the most valuable first, then the newest.
    queue: BTreeSet<QueuePosition>,
    /// Number of retries and hedged requests that may be sent now.
    retry_budget: f64,
    /// Moving average of how often the hedging attempt was answered first, 0 to 1.
    hedge_win_rate: f64,
    /// When discovery is called next; `None` if no call is needed.
    subscribe_at: Option<Micros>,
    /// Backoff after the next failed discovery call, in microseconds.
    subscribe_backoff: Micros,
}

impl Balancer {
    /// Builds a balancer that knows no server yet.
    ///
    /// # Errors
    /// [`SettingsError`] for the first setting that is out of range or contradicts another.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let targets = settings.classes.iter().map(|class| class.latency_target);
        let shortest_target = targets.min().unwrap_or(1);
        let latencies = |class: &ClassSettings| LatencyQuantiles::new(class.latency_target);
        let are_many = f64::from(settings.balancers) > INITIAL_LIMIT;
        Ok(Balancer {
            rng: Rng(seed),
            now: 0,
            fleet: Fleet::new(settings.zone, settings.classes.len()),
            failure_detector: FailureDetector::default(),
            open_requests: BTreeMap::new(),
            due_requests: BTreeSet::new(),
            armed_timer: None,
            paused_until: ByLocality::both(0),
            latencies: settings.classes.iter().map(latencies).collect(),
            mean_size: 1.0,
            maintenance_interval: (shortest_target / MAINTENANCE_RUNS_PER_TARGET)
                .min(MAX_MAINTENANCE_INTERVAL)
                .max(settings.tick),
            peer_load: PeerLoad::new(&settings, are_many, seed),
            next_maintenance: 0,
            subset_salt: mix(seed),
            round_robin_position: 0,
            queue: BTreeSet::new(),
            retry_budget: 0.0,
            hedge_win_rate: INITIAL_HEDGE_WIN_RATE,
            subscribe_at: (settings.discovery == Discovery::Subscribed).then_some(0),
            subscribe_backoff: settings.safety.discovery_interval / FIRST_BACKOFF_DIVISOR,
            settings,
        })
    }

    /// Handles one event at clock reading `now` and appends the actions to carry out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now.min(Micros::MAX / 4));
        let rotation = (self.now + self.subset_salt % SUBSET_ROTATION) / SUBSET_ROTATION;
        self.fleet.rotate(self.subset_salt ^ mix(rotation));
        match event {
            Event::Request(request) => self.accept_request(request, actions),
            Event::AttemptEnded(ended) => self.attempt_ended(&ended, actions),
            Event::ResponseStarted { id, .. } => {
                if let Some(open) = self.open_requests.get_mut(&id) {
                    open.streaming = true;
                }
            }
            Event::RequestComplete { id, expires } => {
                if let Some(open) = self.open_requests.get_mut(&id) {
                    open.complete(self.now, expires);
                    self.due_requests.insert((open.end_at, id));
                }
            }
            Event::ClientDisconnected { id } => self.close(id, actions),
            Event::Timer { token } => self.armed_timer = self.armed_timer.filter(|at| *at != token),
            Event::Members(listing) => self.update_servers(listing, actions),
            Event::ProbeEnded {
                server,
                outcome,
                latency,
                ..
            } => self.probe_ended(server, outcome, latency, actions),
            Event::PeerMessage { from, data } => self.peer_load.receive(self.now, from, &data),
        }
        self.run_due(actions);
    }

    /// Processes all that is due, then requests a timer for the next due time.
    fn run_due(&mut self, actions: &mut Vec<Action>) {
        if self.subscribe_at.is_some_and(|at| at <= self.now) {
            // Scheduled again until a list arrives, because the response to a call may be lost.
            self.subscribe_at =
                Some(self.now + self.settings.safety.discovery_interval / MAX_BACKOFF_DIVISOR);
            actions.push(Action::Subscribe);
        }
        if self.next_maintenance <= self.now {
            self.next_maintenance = self.now + self.maintenance_interval;
            self.maintain(actions);
        }
        while let Some(&(at, id)) = self.due_requests.first() {
            if at > self.now {
                break;
            }
            self.due_requests.remove(&(at, id));
            self.request_due(id, actions);
        }
        // Two passes: requests that may spill over must not wait behind newer ones that may not yet.
        for only_spilling in [false, true] {
            while let Some(id) = self.first_queued(only_spilling) {
                if !self.send_or_queue(id, actions) {
                    break;
                }
            }
        }
        self.ask_for_timer(actions);
    }

    /// Runs once per maintenance interval: maintains and probes servers, and reports load to peers.
    fn maintain(&mut self, actions: &mut Vec<Action>) {
        self.maintain_servers(actions);
        self.probe_silent_zones(actions);
        self.grant_warm_up();
        // With even shares, the busiest of many balancers would lack capacity that others leave unused.
        self.fleet.scale(self.peer_load.update_shares(self.now));
        let message = self.peer_load.due_message(self.now);
        actions.extend(message.map(|data| Action::SendToPeers { to: None, data }));
    }

    /// The first queued request or, with `only_spilling`, the first that may go to other zones.
    fn first_queued(&self, only_spilling: bool) -> Option<RequestId> {
        let may_spill = |id: &RequestId| {
            let open = self.open_requests.get(id);
            open.is_some_and(|open| open.spill_at <= self.now)
        };
        let mut ids = self.queue.iter().map(|position| position.id);
        ids.find(|id| !only_spilling || may_spill(id))
    }

    /// Requests a timer for the next due time, unless the last one is due earlier.
    fn ask_for_timer(&mut self, actions: &mut Vec<Action>) {
        let first_due = self.due_requests.first().map(|due| due.0);
        let others = [first_due, self.subscribe_at].into_iter().flatten();
        let next = others
            .fold(self.next_maintenance, Micros::min)
            .max(self.now + 1);
        if self.armed_timer.is_none_or(|at| next < at || at < self.now) {
            self.armed_timer = Some(next);
            actions.push(Action::Timer {
                delay: next - self.now,
                token: next,
            });
        }
    }

    /// Applies an update from discovery, or schedules a retry with jittered exponential backoff after a
    /// failure. Backoff and call time together stay within `MAX_DISCOVERY_DELAY`.
    fn update_servers(&mut self, listing: Listing, actions: &mut Vec<Action>) {
        let longest = (self.settings.safety.discovery_interval / MAX_BACKOFF_DIVISOR)
            .min(MAX_DISCOVERY_DELAY / 4);
        if listing.scope == Scope::Failed {
            let wait = self.subscribe_backoff.min(longest) as f64 * (0.5 + self.rng.unit());
            self.subscribe_at = Some(self.now + wait as Micros);
            self.subscribe_backoff = longest.min(self.subscribe_backoff * 2);
            return;
        }
        if listing.scope != Scope::Cached {
            self.subscribe_at = None;
            self.subscribe_backoff =
                self.settings.safety.discovery_interval / FIRST_BACKOFF_DIVISOR;
        }
        self.fleet.remove_missing(&listing);
        for server in listing.servers {
            match self.fleet.get(server.id) {
                // Rule 3: removed servers are dropped here, and draining ones are never candidates.
                _ if server.phase == Phase::Gone => self.fleet.remove(server.id),
                // The same incarnation keeps its state; a restarted server starts without history.
                Some(node) if node.server.started == server.started => self.fleet.update(server),
                _ => {
                    let share = self.peer_load.shares[self.fleet.locality(server.zone)];
                    let credit = self.rng.unit();
                    let node = Node::new(server, credit, INITIAL_LIMIT, share, self.now);
                    self.fleet.insert(node);
                }
            }
        }
        self.mean_size = self.fleet.mean_size();
        let text = "discovery lists no server; requests are rejected unless one is listed in time";
        actions.extend((self.fleet.len() == 0).then(|| Action::Log(text.into())));
    }
}
