//! The balancer's state and its event handler. The decisions are here and below, but for ejections of
//! a class (`class_ejection`) and unreachable zones (`failure_detector`). `api` is the interface,
//! `node` and `open_request` are records, and `fleet` has the aggregates over all servers.
//!
//! A request runs through `accept_request` and `send_or_queue` (`requests`), `candidates` and `pick`
//! (`selection`, within the limits of `capacity`) and `send` (`attempts`); its attempts end in
//! `attempt_ended`, from which `health` learns.

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

/// Maintenance runs in the shortest latency target: how often measurements decay and warming
/// servers are granted requests.
const MAINTENANCE_RUNS_PER_TARGET: u64 = 10;
/// The longest maintenance interval.
const MAX_MAINTENANCE_INTERVAL: Micros = 1_000_000;
/// The servers that one of many balancers uses change after this, so that each balancer, too, uses
/// all evenly in the long run.
const SUBSET_ROTATION: Micros = 60_000_000;
/// After a failure discovery is asked again after `discovery_interval` over this, at first.
const FIRST_BACKOFF_DIVISOR: u64 = 16;
/// The longest backoff is `discovery_interval` over this, and at most `MAX_DISCOVERY_DELAY` over 4.
const MAX_BACKOFF_DIVISOR: u64 = 2;
/// Initial in-flight limit of a server over all balancers; each takes its share of it.
const INITIAL_LIMIT: f64 = 12.0;
/// Time constant of measured rates, and the time for which idle connections stay open.
const RATE_DECAY_TIME: f64 = 2_000_000.0;
/// The rate of wins of hedged requests that is assumed at the start.
const INITIAL_HEDGE_WIN_RATE: f64 = 0.4;

/// The decisions of one client proxy.
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    now: Micros,
    fleet: Fleet,
    failure_detector: FailureDetector,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// When requests are due.
    due_requests: BTreeSet<(Micros, RequestId)>,
    /// When the timer is due that was asked for last.
    armed_timer: Option<Micros>,
    /// While the limits of a locality sum to less than one, nothing is sent there before this time, so that
    /// many balancers do not overload it.
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
    /// Retries and hedged requests saved up.
    retry_budget: f64,
    /// How often hedged requests won recently, 0 to 1.
    hedge_win_rate: f64,
    /// When discovery must be asked.
    subscribe_at: Option<Micros>,
    /// The backoff after the next failure of discovery.
    subscribe_backoff: Micros,
}

impl Balancer {
    /// Builds a balancer that knows no server yet.
    ///
    /// # Errors
    /// [`SettingsError`] for the first setting that makes no sense with the others.
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

    /// Does what is due, then asks for one timer at the next due time.
    fn run_due(&mut self, actions: &mut Vec<Action>) {
        if self.subscribe_at.is_some_and(|at| at <= self.now) {
            // Repeated unless a list arrives: a response that never arrives must not end it.
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
        // Otherwise requests that may spill over would wait behind newer ones that may not yet.
        for only_spilling in [false, true] {
            while let Some(id) = self.first_queued(only_spilling) {
                if !self.send_or_queue(id, actions) {
                    break;
                }
            }
        }
        self.ask_for_timer(actions);
    }

    /// Runs periodically: maintains servers, probes, and grants warming servers their requests.
    fn maintain(&mut self, actions: &mut Vec<Action>) {
        self.maintain_servers(actions);
        self.probe_silent_zones(actions);
        self.grant_warm_up();
        // Guards the busiest of many balancers against an even share of limits, most of which the
        // others do not use.
        self.fleet.scale(self.peer_load.update_shares(self.now));
        let message = self.peer_load.due(self.now);
        actions.extend(message.map(|data| Action::SendToPeers { to: None, data }));
    }

    /// The first queued request, or the first that may spill over to other zones.
    fn first_queued(&self, only_spilling: bool) -> Option<RequestId> {
        let may_spill = |id: &RequestId| {
            let open = self.open_requests.get(id);
            open.is_some_and(|open| open.spill_at <= self.now)
        };
        let mut ids = self.queue.iter().map(|position| position.id);
        ids.find(|id| !only_spilling || may_spill(id))
    }

    /// Asks for a timer at the next due time, unless the last one comes first.
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

    /// Discovery answered: takes over its list, or retries with a jittered backoff where it failed.
    /// Backoff and the time of a call together fit `MAX_DISCOVERY_DELAY`.
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
                // Guards rule 3: removed servers are forgotten; draining ones are no candidates.
                _ if server.phase == Phase::Gone => self.fleet.remove(server.id),
                // The same incarnation keeps its state; a restarted server starts anew.
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
        actions.extend((self.fleet.len() == 0).then(|| Action::Log("no server is listed".into())));
    }
}
