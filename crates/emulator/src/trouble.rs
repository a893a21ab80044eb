//! Troubles as steps on a timeline. Whom a trouble meets is drawn from a stream of its own, so that
//! it is the same for every policy.

use ironmast_balancer::Micros;

use crate::random::{Concern, Stream};
use crate::scenario::{Scenario, Trouble, TroubleKind, seconds};

/// One thing that begins or ends. Servers are named by their places, which outlive them.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// The servers at these places are slower by a factor, or no longer; the number tells troubles
    /// apart.
    Slow(Vec<u32>, usize, Option<f64>),
    /// One class is slow or unanswered there, or no longer.
    Grey(Vec<u32>, usize, Option<(u8, f64, bool)>),
    /// They stand still, or go on.
    Stop(Vec<u32>, bool),
    /// Their processes end, or their machines vanish.
    End(Vec<u32>, bool),
    /// They come back, cold.
    Start(Vec<u32>),
    /// They drain.
    Drain(Vec<u32>),
    /// They end, and new servers start at their places.
    Replace(Vec<u32>),
    /// A zone's links are cut until then.
    Cut(usize, Micros),
    /// Proxies end; with their clients or not.
    ProxiesEnd(Vec<u32>, bool),
    /// Proxies begin from nothing.
    ProxiesStart(Vec<u32>),
    /// Clients try again at once, so often; or by their own rule again.
    Storm(Option<u32>),
    /// Discovery is out, or back.
    Outage(bool),
}

/// What troubles may meet: the zone of each place and of each proxy.
pub(crate) struct Ground<'a> {
    /// The places' zones.
    pub places: &'a [usize],
    /// The proxies' zones.
    pub proxies: &'a [usize],
}

/// All steps of a scenario's troubles, from a clock that starts at `origin`.
pub(crate) fn steps(
    scenario: &Scenario,
    ground: &Ground,
    seed: u64,
    origin: Micros,
) -> Vec<(Micros, Step)> {
    let mut steps = Vec::new();
    for (number, trouble) in scenario.trouble.iter().enumerate() {
        let mut draw = Stream::new(seed, Concern::Trouble, number as u64);
        let begin = origin + seconds(trouble.at_s);
        let end = begin + seconds(trouble.for_s).max(1);
        expand(
            scenario,
            ground,
            (number, trouble),
            (begin, end),
            &mut draw,
            &mut steps,
        );
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// How many times the clients' rate is raised at a second, by surges.
pub(crate) fn surge(scenario: &Scenario, at_s: f64) -> f64 {
    let now =
        |t: &&Trouble| t.kind == TroubleKind::Surge && t.at_s <= at_s && at_s < t.at_s + t.for_s;
    scenario
        .trouble
        .iter()
        .filter(now)
        .map(|t| t.factor)
        .product()
}

/// No surge is ever higher than this.
pub(crate) fn surge_most(scenario: &Scenario) -> f64 {
    let surges = scenario
        .trouble
        .iter()
        .filter(|t| t.kind == TroubleKind::Surge);
    surges.map(|t| t.factor.max(1.0)).product()
}

/// A share of those in a zone, at least one; in random order.
fn pick(draw: &mut Stream, zones: &[usize], zone: Option<usize>, share: f64) -> Vec<u32> {
    let here = |i: &u32| zone.is_none_or(|z| zones[*i as usize] == z);
    let mut all: Vec<u32> = (0..zones.len() as u32).filter(here).collect();
    draw.shuffle(&mut all);
    let count = (all.len() as f64 * share).round().max(1.0) as usize;
    all.truncate(count);
    all
}

fn expand(
    scenario: &Scenario,
    ground: &Ground,
    (number, trouble): (usize, &Trouble),
    (begin, end): (Micros, Micros),
    draw: &mut Stream,
    steps: &mut Vec<(Micros, Step)>,
) {
    let zone = scenario.zones.iter().position(|z| *z == trouble.zone);
    let servers = pick(draw, ground.places, zone, trouble.share);
    match trouble.kind {
        TroubleKind::Slow | TroubleKind::SharedSlow => {
            let all = (0..ground.places.len() as u32).collect();
            let servers = if trouble.kind == TroubleKind::Slow {
                servers
            } else {
                all
            };
            steps.push((
                begin,
                Step::Slow(servers.clone(), number, Some(trouble.factor)),
            ));
            steps.push((end, Step::Slow(servers, number, None)));
        }
        TroubleKind::Grey => {
            let class = scenario
                .class
                .iter()
                .position(|c| c.name == trouble.class)
                .unwrap_or(0) as u8;
            let what = (class, trouble.factor, trouble.silent);
            steps.push((begin, Step::Grey(servers.clone(), number, Some(what))));
            steps.push((end, Step::Grey(servers, number, None)));
        }
        TroubleKind::Pause => {
            let length = seconds(trouble.pause_s).max(1);
            for server in servers {
                let mut at = begin + (draw.unit() * 10.0 * length as f64) as Micros;
                while at < end {
                    steps.push((at, Step::Stop(vec![server], true)));
                    steps.push((at + length, Step::Stop(vec![server], false)));
                    at += length * 10;
                }
            }
        }
        TroubleKind::Crash | TroubleKind::ZoneLost => {
            let all = |i: &u32| zone.is_none_or(|z| ground.places[*i as usize] == z);
            let servers = match trouble.kind {
                TroubleKind::Crash => servers,
                _ => (0..ground.places.len() as u32).filter(all).collect(),
            };
            steps.push((begin, Step::End(servers.clone(), trouble.silent)));
            steps.push((end, Step::Start(servers)));
            if trouble.kind == TroubleKind::ZoneLost && trouble.proxies {
                let here = |i: &u32| zone.is_none_or(|z| ground.proxies[*i as usize] == z);
                let proxies: Vec<u32> = (0..ground.proxies.len() as u32).filter(here).collect();
                steps.push((begin, Step::ProxiesEnd(proxies.clone(), true)));
                steps.push((end, Step::ProxiesStart(proxies)));
            }
        }
        TroubleKind::ZoneCut => {
            steps.extend(zone.map(|zone| (begin, Step::Cut(zone, end))));
        }
        TroubleKind::Deploy => {
            let batch = (ground.places.len() as f64 * trouble.batch)
                .round()
                .max(1.0) as usize;
            let batches = servers.len().div_ceil(batch);
            for (i, batch) in servers.chunks(batch).enumerate() {
                let at = begin + (end - begin) * i as u64 / batches as u64;
                steps.push((at, Step::Drain(batch.to_vec())));
                steps.push((at + seconds(trouble.drain_s), Step::Replace(batch.to_vec())));
            }
        }
        TroubleKind::Restart => {
            let proxies = pick(draw, ground.proxies, zone, trouble.share);
            steps.push((begin, Step::ProxiesEnd(proxies.clone(), false)));
            steps.push((end, Step::ProxiesStart(proxies)));
        }
        TroubleKind::Surge => {}
        TroubleKind::RetryStorm => {
            steps.push((begin, Step::Storm(Some(trouble.retries))));
            steps.push((end, Step::Storm(None)));
        }
        TroubleKind::DiscoveryOutage => {
            steps.push((begin, Step::Outage(true)));
            steps.push((end, Step::Outage(false)));
        }
    }
}
