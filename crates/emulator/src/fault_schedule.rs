//! The fault schedule: the faults of a scenario as a timeline of steps.
//!
//! Each fault draws the servers and proxies that it affects from a random stream of its own, so that
//! they are the same under every policy.

use ironmast_balancer::Micros;

use crate::random::{Purpose, Stream};
use crate::scenario::{Fault, FaultKind, Scenario, seconds};

/// The degradation of one request class at a server (a grey failure).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Degradation {
    /// The index of the class.
    pub class: u8,
    /// The factor by which the work of requests of the class increases.
    pub factor: f64,
    /// Whether requests of the class are never answered.
    pub unanswered: bool,
}

/// A change of the simulated system at one time. Servers are identified by their positions, which
/// replacement servers inherit, and faults by their index in the scenario.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// The servers become slower by a factor; `None` ends the slowdown.
    Slow {
        positions: Vec<u32>,
        fault_index: usize,
        factor: Option<f64>,
    },
    /// One class is degraded at the servers; `None` ends the degradation.
    Degrade {
        positions: Vec<u32>,
        fault_index: usize,
        degradation: Option<Degradation>,
    },
    /// The servers pause.
    Pause { positions: Vec<u32> },
    /// The servers resume.
    Resume { positions: Vec<u32> },
    /// The servers' processes end; if `silent`, their machines vanish without closing connections.
    Stop { positions: Vec<u32>, silent: bool },
    /// The servers start again and warm up.
    Start { positions: Vec<u32> },
    /// The servers drain.
    Drain { positions: Vec<u32> },
    /// The servers end, and new ones start at their positions.
    Replace { positions: Vec<u32> },
    /// A zone is partitioned from the others until a given time.
    Partition { zone: usize, until: Micros },
    /// Proxies stop; with `with_clients`, their clients stop too.
    StopProxies {
        proxies: Vec<u32>,
        with_clients: bool,
    },
    /// Proxies start without any state.
    StartProxies { proxies: Vec<u32> },
    /// Clients retry without delay up to `retries` times; `None` restores the retry settings
    /// of the scenario.
    RetryStorm { retries: Option<u32> },
    /// Discovery stops answering queries.
    DiscoveryOutage,
    /// Discovery answers queries again.
    DiscoveryRecovered,
}

/// The servers and proxies that faults can affect.
pub(crate) struct FaultTargets<'a> {
    /// The zone of each server position.
    pub position_zones: &'a [usize],
    /// The zone of each proxy.
    pub proxy_zones: &'a [usize],
}

/// The period of a fault, from `begin` to `end`.
#[derive(Clone, Copy)]
struct Period {
    begin: Micros,
    end: Micros,
}

/// Proxies that stop for the period of a fault.
struct ProxyOutage {
    proxies: Vec<u32>,
    /// Whether their clients stop too.
    with_clients: bool,
}

/// Returns the steps of all faults of a scenario, ordered by time, on a clock that starts at
/// `origin`.
pub(crate) fn schedule(
    scenario: &Scenario,
    targets: &FaultTargets,
    seed: u64,
    origin: Micros,
) -> Vec<(Micros, Step)> {
    let mut schedule = Schedule {
        scenario,
        targets,
        steps: Vec::new(),
    };
    for (fault_index, fault) in scenario.faults.iter().enumerate() {
        let mut random = Stream::new(seed, Purpose::Faults, fault_index as u64);
        let begin = origin + seconds(fault.at_s);
        let end = begin + seconds(fault.for_s).max(1);
        schedule.add(fault_index, fault, Period { begin, end }, &mut random);
    }
    schedule.steps.sort_by_key(|(at, _)| *at);
    schedule.steps
}

/// The factor by which surges multiply the clients' rate at a second of the run.
pub(crate) fn surge_factor(scenario: &Scenario, at_s: f64) -> f64 {
    surges(scenario)
        .filter(|surge| surge.at_s <= at_s && at_s < surge.at_s + surge.for_s)
        .map(|surge| surge.factor)
        .product()
}

/// An upper bound of [`surge_factor`] over the whole run.
pub(crate) fn max_surge_factor(scenario: &Scenario) -> f64 {
    surges(scenario)
        .map(|surge| surge.factor.max(1.0))
        .product()
}

fn surges(scenario: &Scenario) -> impl Iterator<Item = &Fault> {
    scenario
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Surge)
}

/// The indexes of the servers or proxies in a zone; of all if `zone` is `None`.
fn in_zone(zones: &[usize], zone: Option<usize>) -> Vec<u32> {
    (0..zones.len() as u32)
        .filter(|index| zone.is_none_or(|zone| zones[*index as usize] == zone))
        .collect()
}

/// Draws a share of the servers or proxies in a zone, at least one if there are any, in random
/// order.
fn pick(random: &mut Stream, zones: &[usize], zone: Option<usize>, share: f64) -> Vec<u32> {
    let mut candidates = in_zone(zones, zone);
    random.shuffle(&mut candidates);
    let count = (candidates.len() as f64 * share).round().max(1.0) as usize;
    candidates.truncate(count);
    candidates
}

struct Schedule<'a> {
    scenario: &'a Scenario,
    targets: &'a FaultTargets<'a>,
    steps: Vec<(Micros, Step)>,
}

impl Schedule<'_> {
    fn push(&mut self, at: Micros, step: Step) {
        self.steps.push((at, step));
    }

    fn add(&mut self, fault_index: usize, fault: &Fault, period: Period, random: &mut Stream) {
        let Period { begin, end } = period;
        let zone = self
            .scenario
            .zones
            .iter()
            .position(|zone| *zone == fault.zone);
        let position_zones = self.targets.position_zones;
        // Drawn for every kind of fault, so that later draws do not depend on the kind.
        let positions = pick(random, position_zones, zone, fault.share);
        match fault.kind {
            FaultKind::Slow => self.slow(fault_index, positions, fault.factor, period),
            FaultKind::SlowDependency => {
                let all = in_zone(position_zones, None);
                self.slow(fault_index, all, fault.factor, period);
            }
            FaultKind::GreyFailure => self.degrade(fault_index, positions, fault, period),
            FaultKind::Pause => self.pause(&positions, fault, period, random),
            FaultKind::Crash => self.crash(positions, fault, period),
            FaultKind::ZoneLoss => {
                self.crash(in_zone(position_zones, zone), fault, period);
                if fault.include_proxies {
                    let proxies = in_zone(self.targets.proxy_zones, zone);
                    let with_clients = true;
                    self.restart_proxies(
                        ProxyOutage {
                            proxies,
                            with_clients,
                        },
                        period,
                    );
                }
            }
            FaultKind::ZonePartition => {
                if let Some(zone) = zone {
                    self.push(begin, Step::Partition { zone, until: end });
                }
            }
            FaultKind::Deploy => self.deploy(&positions, fault, period),
            FaultKind::ProxyRestart => {
                let proxies = pick(random, self.targets.proxy_zones, zone, fault.share);
                let with_clients = false;
                self.restart_proxies(
                    ProxyOutage {
                        proxies,
                        with_clients,
                    },
                    period,
                );
            }
            // `surge_factor` applies surges to the clients' rate.
            FaultKind::Surge => {}
            FaultKind::RetryStorm => {
                let retries = Some(fault.retries);
                self.push(begin, Step::RetryStorm { retries });
                self.push(end, Step::RetryStorm { retries: None });
            }
            FaultKind::DiscoveryOutage => {
                self.push(begin, Step::DiscoveryOutage);
                self.push(end, Step::DiscoveryRecovered);
            }
        }
    }

    fn slow(&mut self, fault_index: usize, positions: Vec<u32>, factor: f64, period: Period) {
        let step = |positions, factor| Step::Slow {
            positions,
            fault_index,
            factor,
        };
        self.push(period.begin, step(positions.clone(), Some(factor)));
        self.push(period.end, step(positions, None));
    }

    fn degrade(&mut self, fault_index: usize, positions: Vec<u32>, fault: &Fault, period: Period) {
        let class = self
            .scenario
            .classes
            .iter()
            .position(|class| class.name == fault.class)
            .unwrap_or(0);
        let degradation = Degradation {
            class: class as u8,
            factor: fault.factor,
            unanswered: fault.silent,
        };
        let step = |positions, degradation| Step::Degrade {
            positions,
            fault_index,
            degradation,
        };
        self.push(period.begin, step(positions.clone(), Some(degradation)));
        self.push(period.end, step(positions, None));
    }

    /// Pauses each server repeatedly, for a tenth of the time, with a random time of the first pause.
    fn pause(&mut self, positions: &[u32], fault: &Fault, period: Period, random: &mut Stream) {
        let length = seconds(fault.pause_s).max(1);
        for &position in positions {
            let positions = vec![position];
            let mut at = period.begin + (random.unit() * 10.0 * length as f64) as Micros;
            while at < period.end {
                self.push(
                    at,
                    Step::Pause {
                        positions: positions.clone(),
                    },
                );
                self.push(
                    at + length,
                    Step::Resume {
                        positions: positions.clone(),
                    },
                );
                at += length * 10;
            }
        }
    }

    fn crash(&mut self, positions: Vec<u32>, fault: &Fault, period: Period) {
        let stop = Step::Stop {
            positions: positions.clone(),
            silent: fault.silent,
        };
        self.push(period.begin, stop);
        self.push(period.end, Step::Start { positions });
    }

    fn deploy(&mut self, positions: &[u32], fault: &Fault, period: Period) {
        let fleet = self.targets.position_zones.len();
        let batch_size = (fleet as f64 * fault.batch).round().max(1.0) as usize;
        let batches = positions.len().div_ceil(batch_size);
        for (index, batch) in positions.chunks(batch_size).enumerate() {
            let at = period.begin + (period.end - period.begin) * index as u64 / batches as u64;
            let positions = batch.to_vec();
            self.push(
                at,
                Step::Drain {
                    positions: positions.clone(),
                },
            );
            self.push(at + seconds(fault.drain_s), Step::Replace { positions });
        }
    }

    fn restart_proxies(&mut self, outage: ProxyOutage, period: Period) {
        let ProxyOutage {
            proxies,
            with_clients,
        } = outage;
        let stop = Step::StopProxies {
            proxies: proxies.clone(),
            with_clients,
        };
        self.push(period.begin, stop);
        self.push(period.end, Step::StartProxies { proxies });
    }
}
