//! Scripted scenarios: three coordinators, one of which is cut off or restarted, and the delays of
//! updates to the agents.

use std::time::Duration;

use ironmast_overlay::{Descriptor, Event, Guards, Locality, Role, Settings};
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::support::cuts::CutEffect;
use crate::support::deployment::{Deployment, address};
use crate::support::simulation::{Simulation, ms};

/// Two coordinators in the first region and one in the second, each in a zone of its own.
pub(super) const COORDINATORS: Deployment = Deployment {
    coordinators: 3,
    agents: 0,
    regions: 2,
    zones: 2,
    coordinator_regions: 2,
};

/// The coordinator that is cut off, the only one of its region.
pub(super) const ISOLATED: usize = 1;

/// Number of agents in the region of the other two coordinators.
const MAJORITY_REGION_AGENTS: usize = 6;

/// Key of the published configuration, and its size in bytes.
pub(super) const KEY: u64 = 7;
pub(super) const PAYLOAD_BYTES: usize = 3_000;

/// Maximum delay of an update to an agent: half of the time within which a configuration must be
/// in force.
pub(super) const MAX_DELAY: Duration = ms(1_500);

/// Time for which an agent may catch up after a start or restart; its delays are not counted
/// meanwhile.
const CATCH_UP: Duration = ms(4_000);

/// Interval at which the coordinators' contact is checked, and the time after which they detect its
/// loss.
const CONTACT_CHECK_INTERVAL: Duration = ms(50);
pub(super) const CONTACT_TIMEOUT: Duration = ms(1_000);

/// Time for which a restarting process is down.
const RESTART_TIME: Duration = ms(300);

/// Range of the start of the cut in milliseconds, and the length of the cut.
const CUT_START_MS: std::ops::Range<u64> = 3_000..14_000;
const CUT_LENGTH: Duration = ms(20_000);

/// Length of a short cut, and the time to the next one, in milliseconds.
const SHORT_CUT_MS: std::ops::Range<u64> = 500..8_000;
const SHORT_CUT_GAP_MS: std::ops::Range<u64> = 100..4_000;

/// Updates are published from this long before the cut to this long after it.
const PUBLISH_MARGIN: Duration = ms(2_500);

/// Time between updates, in milliseconds.
const PUBLISH_GAP_MS: std::ops::Range<u64> = 150..1_500;

/// The way a coordinator is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CutKind {
    /// From the other coordinators; messages are delayed.
    Coordinators,
    /// From the other coordinators; messages are lost.
    Lossy,
    /// From the other coordinators and from all nodes of other zones.
    OtherZones,
    /// From all nodes.
    Everyone,
    /// Messages from it to the other coordinators are delayed.
    Outgoing,
    /// Messages from the other coordinators to it are delayed.
    Incoming,
    /// From the other coordinators; connections are reset.
    Reset,
    /// From the other coordinators; connections are reset and new ones refused.
    Refused,
    /// From the other coordinators; it restarts, then the other coordinators do.
    CoordinatorRestarts,
    /// From the other coordinators; new seeds have it first, and a third of the nodes restart.
    NewSeeds,
    /// No coordinator reaches another one.
    AllCoordinators,
}

pub(super) const ALL_KINDS: [CutKind; 10] = [
    CutKind::Coordinators,
    CutKind::Lossy,
    CutKind::OtherZones,
    CutKind::Everyone,
    CutKind::Outgoing,
    CutKind::Incoming,
    CutKind::Reset,
    CutKind::Refused,
    CutKind::CoordinatorRestarts,
    CutKind::NewSeeds,
];

impl CutKind {
    fn cut_effect(self) -> CutEffect {
        match self {
            CutKind::Lossy => CutEffect::Lost,
            CutKind::Reset => CutEffect::Reset,
            CutKind::Refused => CutEffect::Refused,
            _ => CutEffect::Delayed,
        }
    }

    /// Whether messages from `from` to `to` are cut.
    fn cuts(self, from: &Descriptor, to: &Descriptor) -> bool {
        let is_isolated = |node: &Descriptor| node.address == address(ISOLATED);
        if self == CutKind::AllCoordinators {
            return from.is_coordinator() && to.is_coordinator();
        }
        if is_isolated(from) == is_isolated(to) {
            return false;
        }
        let between_coordinators = from.is_coordinator() && to.is_coordinator();
        match self {
            CutKind::Everyone => true,
            CutKind::OtherZones => between_coordinators || from.locality != to.locality,
            CutKind::Outgoing => between_coordinators && is_isolated(from),
            CutKind::Incoming => between_coordinators && is_isolated(to),
            _ => between_coordinators,
        }
    }
}

/// Whether coordinators detect that they are out of contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Detection {
    Detected,
    Undetected,
}

/// A step of a script.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Start(usize),
    Kill(usize),
    Cut,
    Heal,
    NewSeeds,
    Publish,
}

/// An update that was published.
struct Published {
    version: u64,
    at: Duration,
    by: usize,
}

/// A simulated network with its script of faults and updates, and a record of both.
pub(super) struct Scenario {
    pub(super) sim: Simulation,
    kind: CutKind,
    random: Xoshiro256PlusPlus,
    pub(super) script: Vec<(Duration, Step)>,
    detection: Detection,
    out_of_contact_since: [Option<Duration>; 3],
    published: Vec<Published>,
    /// Times at which processes were started or killed.
    restarts: Vec<(usize, Duration)>,
}

impl Scenario {
    pub(super) fn new(
        kind: CutKind,
        isolated_region_agents: usize,
        guards: Guards,
        detection: Detection,
        seed: u64,
    ) -> Scenario {
        let settings = Settings {
            guards,
            ..Settings::default()
        };
        let mut sim = Simulation::new(COORDINATORS, settings, seed);
        let localities = (0..MAJORITY_REGION_AGENTS).map(|agent| Locality {
            region: 0,
            zone: agent as u32 % 2,
        });
        let localities = localities
            .chain((0..isolated_region_agents).map(|_| COORDINATORS.descriptor(ISOLATED).locality));
        for (agent, locality) in localities.enumerate() {
            let address = address(COORDINATORS.coordinators + agent);
            sim.add_stopped(Descriptor {
                address,
                locality,
                role: Role::Agent,
                incarnation: 0,
            });
        }
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (script, published, restarts) = Default::default();
        let mut scenario = Scenario {
            sim,
            kind,
            random,
            script,
            detection,
            out_of_contact_since: [None; 3],
            published,
            restarts,
        };
        scenario.write_script();
        scenario
    }

    fn write_script(&mut self) {
        for node in 0..self.sim.nodes.len() {
            let at = ms(self.random.random_range(0..300));
            self.script.push((at, Step::Start(node)));
        }
        let cut = ms(self.random.random_range(CUT_START_MS));
        if self.random.random_bool(0.5) {
            self.script
                .extend([(cut, Step::Cut), (cut + CUT_LENGTH, Step::Heal)]);
        } else {
            self.script_short_cuts(cut);
        }
        match self.kind {
            CutKind::CoordinatorRestarts => self.script_coordinator_restarts(cut),
            CutKind::NewSeeds => self.script_new_seeds(cut),
            _ => {}
        }
        let mut at = cut - PUBLISH_MARGIN;
        while at < cut + CUT_LENGTH + PUBLISH_MARGIN {
            self.script.push((at, Step::Publish));
            at += ms(self.random.random_range(PUBLISH_GAP_MS));
        }
        self.script.sort_by_key(|(at, _)| *at);
    }

    /// Adds several short cuts, which begin within [`CUT_LENGTH`], in place of a long one.
    fn script_short_cuts(&mut self, from: Duration) {
        let mut at = from;
        while at < from + CUT_LENGTH {
            let end = at + ms(self.random.random_range(SHORT_CUT_MS));
            self.script.extend([(at, Step::Cut), (end, Step::Heal)]);
            at = end + ms(self.random.random_range(SHORT_CUT_GAP_MS));
        }
    }

    fn script_restart(&mut self, at: Duration, node: usize) {
        self.script.extend([
            (at, Step::Kill(node)),
            (at + RESTART_TIME, Step::Start(node)),
        ]);
    }

    fn script_coordinator_restarts(&mut self, cut: Duration) {
        let mut at = cut + ms(self.random.random_range(200..6_000));
        for node in [ISOLATED, 0, 2] {
            self.script_restart(at, node);
            at += ms(self.random.random_range(3_000..5_000));
        }
    }

    fn script_new_seeds(&mut self, cut: Duration) {
        self.script.push((cut + ms(500), Step::NewSeeds));
        let mut nodes: Vec<usize> = (0..self.sim.nodes.len()).collect();
        nodes.shuffle(&mut self.random);
        nodes.truncate(nodes.len() / 3);
        for node in nodes {
            let at = cut + ms(self.random.random_range(600..8_000));
            self.script_restart(at, node);
        }
    }

    /// Runs the scenario and returns the delays of all updates to all agents that count, sorted.
    pub(super) fn run(mut self) -> Vec<Duration> {
        self.sim.cut_with(CutEffect::Delayed, |_, _| false);
        for (at, step) in std::mem::take(&mut self.script) {
            self.run_until(at);
            self.execute(step);
        }
        self.run_until(self.sim.now + MAX_DELAY * 4);
        let mut delays = self.delays();
        delays.sort();
        delays
    }

    pub(super) fn execute(&mut self, step: Step) {
        match step {
            Step::Start(node) => self.start_node(node),
            Step::Kill(node) => {
                self.restarts.push((node, self.sim.now));
                self.sim.kill(node);
            }
            Step::Cut => {
                let kind = self.kind;
                self.sim
                    .cut_with(kind.cut_effect(), move |from, to| kind.cuts(from, to));
            }
            Step::Heal => self.sim.cut_with(CutEffect::Delayed, |_, _| false),
            Step::NewSeeds => {
                self.sim
                    .seeds
                    .sort_by_key(|seed| *seed != address(ISOLATED));
                for node in 0..self.sim.nodes.len() {
                    let seeds = self.sim.seeds.clone();
                    self.sim.dispatch(node, Event::Seeds(seeds));
                }
            }
            Step::Publish => self.publish(),
        }
    }

    fn start_node(&mut self, node: usize) {
        self.restarts.push((node, self.sim.now));
        self.sim.start_node(node);
        if node >= COORDINATORS.coordinators {
            return;
        }
        if self.detection == Detection::Detected {
            self.sim.dispatch(node, Event::InContact(false));
        }
        self.out_of_contact_since[node] = Some(Duration::ZERO);
        // A restarted coordinator recovers its latest version from disk and publishes it again.
        let latest = self
            .published
            .iter()
            .rev()
            .find(|published| published.by == node);
        if let Some(version) = latest.map(|published| published.version) {
            self.sim.publish(node, KEY, version, PAYLOAD_BYTES);
        }
    }

    fn publish(&mut self) {
        let others: Vec<usize> = [0, 2]
            .into_iter()
            .filter(|node| self.sim.is_running(*node))
            .collect();
        let Some(by) = others
            .get(self.random.random_range(0..2) % others.len().max(1))
            .copied()
        else {
            return;
        };
        let version = self.published.len() as u64 + 1;
        let at = self.sim.publish(by, KEY, version, PAYLOAD_BYTES);
        self.published.push(Published { version, at, by });
    }

    pub(super) fn run_until(&mut self, at: Duration) {
        while self.sim.now < at {
            self.sim
                .run_for(CONTACT_CHECK_INTERVAL.min(at - self.sim.now));
            self.check_contact();
        }
    }

    /// Reports to each coordinator whether it reaches a majority; a loss of contact is reported
    /// after [`CONTACT_TIMEOUT`].
    fn check_contact(&mut self) {
        for node in (0..3).filter(|_| self.detection == Detection::Detected) {
            let reached = (0..3)
                .filter(|peer| *peer == node || self.sim.reaches(node, *peer))
                .count();
            if reached >= 2 {
                if self.out_of_contact_since[node].take().is_some() {
                    self.sim.dispatch(node, Event::InContact(true));
                }
            } else {
                let since = *self.out_of_contact_since[node].get_or_insert(self.sim.now);
                if self.sim.now >= since + CONTACT_TIMEOUT {
                    self.sim.dispatch(node, Event::InContact(false));
                }
            }
        }
    }

    /// Whether the process of `node` was started or killed between these times.
    fn restarted(&self, node: usize, from: Duration, to: Duration) -> bool {
        self.restarts
            .iter()
            .any(|(other, at)| *other == node && from <= *at && *at <= to)
    }

    /// The delays of all updates to all agents, except where the publisher or the agent restarted.
    fn delays(&self) -> Vec<Duration> {
        let mut delays = Vec::new();
        for published in &self.published {
            let end = published.at + MAX_DELAY;
            if self.restarted(published.by, published.at, end) {
                continue;
            }
            for agent in COORDINATORS.coordinators..self.sim.nodes.len() {
                if !self.restarted(agent, published.at.saturating_sub(CATCH_UP), end) {
                    delays.push(self.delay(published, agent));
                }
            }
        }
        delays
    }

    /// Time until `agent` received this version or a newer one; the rest of the run if it never
    /// did.
    fn delay(&self, published: &Published, agent: usize) -> Duration {
        let newer = self
            .published
            .iter()
            .filter(|other| other.version >= published.version);
        let arrivals =
            newer.filter_map(|other| self.sim.arrivals.get(&(KEY, other.version))?.get(&agent));
        let first = arrivals.min().copied().unwrap_or(self.sim.now);
        first.saturating_sub(published.at)
    }
}
