//! The hunt: random scenarios, each with some troubles turned on and others off (swarm testing,
//! Groce et al. 2012), played under a policy; what goes wrong is shrunk to the shortest scenario
//! that still shows it.

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ironmast_emulator::{
    Arrivals, Class, Clients, DiscoverySpec, EffectSpec, GroupSpec, Law, Network, PolicyName, Pool,
    Proxies, Purpose, RetryWait, Rule, Rules, Scenario, Stream, Trouble, TroubleKind, World,
};
use rayon::prelude::*;

use crate::files;
use crate::play::Jobs;

/// A run that plays more events than this for each request asked has got stuck in a circle.
const EVENTS_MOST: u64 = 100;
/// Tries at making a finding smaller.
const SHRINKS_MOST: usize = 300;

/// Seeds from one up to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seeds(pub u64, pub u64);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let ends = text
            .split_once("..")
            .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        let (from, to) = ends
            .filter(|(a, b)| a < b)
            .ok_or_else(|| format!("`{text}`: expected FROM..TO"))?;
        Ok(Seeds(from, to))
    }
}

/// What is hunted, and how.
pub(crate) struct Hunt {
    /// Troubles are drawn for it; whole scenarios are drawn where there is none.
    pub base: Option<Scenario>,
    /// The seeds, each a scenario of its own.
    pub seeds: Seeds,
    /// The time it may take.
    pub minutes: Option<f64>,
    /// The policy hunted.
    pub policy: PolicyName,
    /// The policy whose service is the reference.
    pub reference: PolicyName,
    /// How far under the reference service is a finding.
    pub gap: f64,
    /// Where findings go.
    pub out: PathBuf,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq)]
enum Finding {
    Broken(Rule, String),
    Panicked(String),
    Circle,
    Poor(f64, f64),
}

impl Finding {
    /// Whether another run shows the same.
    fn same(&self, other: &Finding) -> bool {
        match (self, other) {
            (Finding::Broken(a, _), Finding::Broken(b, _)) => a == b,
            (a, b) => std::mem::discriminant(a) == std::mem::discriminant(b),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Broken(rule, what) => write!(f, "{rule:?} broken: {what}"),
            Finding::Panicked(what) => write!(f, "panic: {what}"),
            Finding::Circle => write!(f, "events without end"),
            Finding::Poor(service, reference) => {
                write!(f, "service {service:.3}, the reference has {reference:.3}")
            }
        }
    }
}

/// Plays a run; its service, or what went wrong.
fn service(scenario: &Scenario, policy: PolicyName, seed: u64) -> Result<f64, Finding> {
    let play = || {
        let mut world = World::new(scenario, policy, seed);
        let most = (scenario.clients.rate * scenario.length_s * 5.0) as u64 + 10_000;
        let most = most.saturating_mul(EVENTS_MOST);
        let mut second = 0.0;
        loop {
            second += 0.25;
            if world.run_to(if second > scenario.length_s {
                f64::from(u32::MAX)
            } else {
                second
            }) {
                return Ok(world.report());
            }
            if world.events() > most {
                return Err(Finding::Circle);
            }
        }
    };
    let report = catch_unwind(AssertUnwindSafe(play)).map_err(|e| {
        let text = e.downcast_ref::<String>().cloned();
        Finding::Panicked(
            text.or_else(|| {
                e.downcast_ref::<&str>()
                    .map(std::string::ToString::to_string)
            })
            .unwrap_or_default(),
        )
    })??;
    match report.rules_broken.first() {
        Some(b) => Err(Finding::Broken(
            b.rule,
            format!("{} (at {:.3} s, proxy {})", b.what, b.at_s, b.proxy),
        )),
        None => Ok(report.service),
    }
}

impl Hunt {
    fn look(&self, scenario: &Scenario, seed: u64) -> Option<Finding> {
        let service = match service(scenario, self.policy, seed) {
            Ok(service) => service,
            Err(finding) => return Some(finding),
        };
        // A reference that breaks a rule or panics is a fault of this program's own, and told as
        // such.
        match self::service(scenario, self.reference, seed) {
            Ok(reference) => {
                (service < reference - self.gap).then_some(Finding::Poor(service, reference))
            }
            Err(finding) => {
                let what = format!("the reference {}: {finding}", self.reference.name());
                Some(Finding::Panicked(what))
            }
        }
    }

    /// The smallest scenario met that still shows the finding.
    fn shrink(&self, mut scenario: Scenario, seed: u64, finding: Finding) -> (Scenario, Finding) {
        let (mut found, mut tries) = (finding, 0);
        loop {
            let smaller = smaller(&scenario)
                .into_iter()
                .filter(|s| s.check().is_ok() && *s != scenario);
            let mut better = None;
            for candidate in smaller {
                tries += 1;
                if tries > SHRINKS_MOST {
                    break;
                }
                if let Some(finding) = self.look(&candidate, seed).filter(|f| f.same(&found)) {
                    better = Some((candidate, finding));
                    break;
                }
            }
            match better {
                Some((candidate, finding)) => (scenario, found) = (candidate, finding),
                None => return (scenario, found),
            }
        }
    }
}

/// Scenarios that are a little simpler, the largest steps first.
fn smaller(s: &Scenario) -> Vec<Scenario> {
    let with = |change: &dyn Fn(&mut Scenario)| {
        let mut copy = s.clone();
        change(&mut copy);
        copy
    };
    let mut all: Vec<Scenario> = (0..s.trouble.len())
        .map(|i| with(&|s| drop(s.trouble.remove(i))))
        .collect();
    all.push(with(&|s| {
        s.length_s = (s.length_s / 2.0).max(1.0);
        s.warmup_s = s.warmup_s.min(s.length_s / 2.0);
    }));
    // Ends after the last trouble.
    let last = s
        .trouble
        .iter()
        .map(|t| t.at_s + t.for_s)
        .fold(1.0, f64::max);
    all.push(with(&|s| s.length_s = s.length_s.min(last + 3.0)));
    if s.class.len() > 1 {
        all.extend((0..s.class.len()).map(|i| with(&|s| drop(s.class.remove(i)))));
    }
    if s.pool.len() > 1 {
        all.extend((0..s.pool.len()).map(|i| with(&|s| drop(s.pool.remove(i)))));
    }
    all.push(with(&|s| {
        s.pool
            .iter_mut()
            .for_each(|p| p.servers = p.servers.div_ceil(2));
    }));
    all.push(with(&|s| s.clients.rate /= 2.0));
    all.push(with(&|s| s.proxies.count = s.proxies.count.div_ceil(2)));
    if s.zones.len() > 1 {
        all.push(with(&|s| {
            s.zones.pop();
            s.proxies.zone_weights.truncate(s.zones.len());
        }));
    }
    all.push(with(&|s| {
        s.clients = Clients {
            rate: s.clients.rate,
            ..plain_clients()
        }
    }));
    all.push(with(&|s| {
        s.network = Network {
            between_ms: s.network.between_ms,
            ..Network::default()
        }
    }));
    all.push(with(&|s| s.discovery = DiscoverySpec::default()));
    all.push(with(&|s| s.proxies.zone_weights.clear()));
    for i in 0..s.trouble.len() {
        all.push(with(&|s| s.trouble[i].for_s /= 2.0));
        all.push(with(&|s| {
            s.trouble[i].share = (s.trouble[i].share / 2.0).max(0.01);
        }));
        all.push(with(&|s| {
            s.trouble[i].at_s = (s.trouble[i].at_s / 2.0).floor();
        }));
    }
    all
}

fn plain_clients() -> Clients {
    Clients {
        rate: 1.0,
        arrivals: Arrivals::Poisson,
        burst_s: 1.0,
        rest_s: 1.0,
        burst_factor: 2.0,
        curve: Vec::new(),
        busiest: 1.0,
        retries: 0,
        retry_wait: RetryWait::Fixed,
        retry_ms: 100.0,
        patience: (1.0, 1.0),
        walk_away: 0.0,
    }
}

/// Draws a scenario of its own.
fn draw(seed: u64) -> Scenario {
    let r = &mut Stream::new(seed, Purpose::GeneratedScenarios, 0);
    let zones: Vec<String> = (0..=r.below(4)).map(|z| format!("z{z}")).collect();
    let length_s = r.uniform((10.0, 30.0)).round();
    let classes = 1 + r.below(3);
    let class = (0..classes).map(|i| draw_class(r, i)).collect();
    let pools = 1 + r.below(3);
    let pool = (0..pools).map(|i| draw_pool(r, i, &zones)).collect();
    let mut scenario = Scenario {
        name: format!("hunt-{seed}"),
        about: String::new(),
        length_s,
        warmup_s: 0.0,
        window_s: 5.0,
        zones,
        clients: draw_clients(r),
        proxies: draw_proxies(r),
        network: Network {
            inside_ms: r.uniform((0.0, 2.0)),
            between_ms: r.uniform((1.0, 40.0)),
            jitter: r.unit(),
            datagram_loss: r.unit() * 0.2,
            connect_timeout_ms: r.uniform((50.0, 400.0)),
            idle_close_s: r.uniform((1.0, 60.0)),
        },
        discovery: DiscoverySpec {
            watch: r.unit() < 0.8,
            start_s: r.uniform((0.0, 3.0)),
            drain_s: r.uniform((0.0, 1.5)),
            gone_s: r.uniform((0.0, 4.0)),
            spread_s: r.uniform((0.0, 0.5)),
            calls_per_s: r.uniform((2.0, 500.0)),
            most_wait_s: r.uniform((0.2, 3.0)),
        },
        rules: Rules::default(),
        class,
        pool,
        trouble: Vec::new(),
    };
    if scenario.zones.len() > 1 && r.unit() < 0.4 {
        scenario.proxies.zone_weights = scenario.zones.iter().map(|_| r.unit() + 0.01).collect();
    }
    // From half idle to beyond what the fleet can do.
    scenario.clients.rate = (scenario.capacity() * r.uniform((0.15, 1.3))).clamp(1.0, 3_000.0);
    scenario
}

fn draw_class(r: &mut Stream, number: usize) -> Class {
    let work_ms = r.uniform((2.0, 120.0));
    let aim_ms = work_ms * r.uniform((3.0, 12.0));
    Class {
        name: format!("c{number}"),
        share: r.unit() + 0.05,
        effect: [EffectSpec::Free, EffectSpec::Keyed, EffectSpec::Once][r.below(3)],
        group: [GroupSpec::All, GroupSpec::Zone][r.below(2)],
        dedup_s: r.uniform((0.05, 8.0)),
        law: [Law::Fixed, Law::Exponential, Law::Lognormal][r.below(3)],
        work_ms,
        cv: r.uniform((0.1, 2.0)),
        aim_ms,
        deadline_ms: aim_ms * r.uniform((1.0, 5.0)),
        worth: r.uniform((0.5, 10.0)),
    }
}

fn draw_pool(r: &mut Stream, number: usize, zones: &[String]) -> Pool {
    let cores = 1 + r.below(6) as u32;
    let least = r.uniform((0.4, 1.0));
    Pool {
        kind: format!("p{number}"),
        zone: if r.unit() < 0.7 {
            "*".into()
        } else {
            zones[r.below(zones.len())].clone()
        },
        servers: 1 + r.below(8) as u32,
        cores,
        slots: if r.unit() < 0.7 {
            0
        } else {
            cores * (1 + r.below(4) as u32)
        },
        queue: r.below(80) as u32,
        speed: (least, least * r.uniform((1.0, 2.0))),
        connections: if r.unit() < 0.6 {
            0
        } else {
            20 + r.below(200) as u32
        },
        handshake_work_ms: r.unit() * 2.0,
        probe_work_ms: r.unit() * 0.5,
        cold_share: r.uniform((0.2, 1.0)),
        cold_s: r.uniform((1.0, 12.0)),
        cold_work_s: if r.unit() < 0.7 {
            0.0
        } else {
            r.uniform((1.0, 20.0))
        },
        overdrive_ratio: if r.unit() < 0.5 {
            0.0
        } else {
            r.uniform((2.0, 10.0))
        },
        overdrive_s: r.uniform((0.5, 3.0)),
        overdrive_factor: r.uniform((1.2, 4.0)),
        recover_s: r.uniform((1.0, 20.0)),
        drops_cancelled: r.unit() < 0.7,
        drops_overdue: r.unit() < 0.7,
    }
}

fn draw_clients(r: &mut Stream) -> Clients {
    Clients {
        rate: 1.0,
        arrivals: [Arrivals::Poisson, Arrivals::Even, Arrivals::Bursty][r.below(3)],
        burst_s: r.uniform((0.1, 3.0)),
        rest_s: r.uniform((0.1, 6.0)),
        burst_factor: r.uniform((1.5, 8.0)),
        curve: if r.unit() < 0.7 {
            Vec::new()
        } else {
            vec![(2.0, r.unit()), (8.0, 1.0 + r.unit())]
        },
        busiest: if r.unit() < 0.6 {
            1.0
        } else {
            r.uniform((1.0, 30.0))
        },
        retries: r.below(5) as u32,
        retry_wait: [
            RetryWait::AtOnce,
            RetryWait::Fixed,
            RetryWait::Exponential,
            RetryWait::RetryAfter,
        ][r.below(4)],
        retry_ms: r.uniform((0.0, 400.0)),
        patience: (r.uniform((0.3, 0.9)), 1.0),
        walk_away: if r.unit() < 0.5 { 0.0 } else { r.unit() * 0.2 },
    }
}

fn draw_proxies(r: &mut Stream) -> Proxies {
    Proxies {
        count: 1 + if r.unit() < 0.7 {
            r.below(8)
        } else {
            r.below(120)
        } as u32,
        zone_weights: Vec::new(),
        most_tries: 1 + r.below(3) as u32,
        may_duplicate: r.unit() < 0.2,
        cancel: r.unit() < 0.9,
        probes: r.unit() < 0.7,
        peers: false,
        load_reports: r.unit() < 0.7,
        max_retry_after_s: r.uniform((0.1, 3.0)),
        cross_zone: r.unit() * 0.3,
        sizes: r.unit() < 0.5,
    }
}

/// Draws troubles for a scenario: each kind is on or off.
fn trouble(scenario: &mut Scenario, seed: u64) {
    use TroubleKind as K;
    let r = &mut Stream::new(seed, Purpose::GeneratedScenarios, 1);
    for kind in [
        K::Slow,
        K::SharedSlow,
        K::Grey,
        K::Pause,
        K::Crash,
        K::ZoneLost,
        K::ZoneCut,
        K::Deploy,
        K::Restart,
        K::Surge,
        K::RetryStorm,
        K::DiscoveryOutage,
    ] {
        if r.unit() >= 0.3 {
            continue;
        }
        let zone = scenario.zones[r.below(scenario.zones.len())].clone();
        let zoned = matches!(kind, K::ZoneLost | K::ZoneCut) || r.unit() < 0.2;
        let class = scenario.class[r.below(scenario.class.len())].name.clone();
        let at_s = (r.unit() * scenario.length_s * 0.7 * 10.0).round() / 10.0;
        let drawn = Trouble {
            kind,
            at_s,
            for_s: (r.uniform((0.2, (scenario.length_s - at_s).max(0.4))) * 10.0).round() / 10.0,
            share: r.uniform((0.05, 1.0)),
            zone: if zoned { zone } else { String::new() },
            class: if kind == K::Grey {
                class
            } else {
                String::new()
            },
            factor: r.uniform((1.2, 8.0)),
            silent: r.unit() < 0.5,
            proxies: r.unit() < 0.5,
            batch: r.uniform((0.05, 0.6)),
            drain_s: r.uniform((0.2, 5.0)),
            pause_s: r.uniform((0.02, 1.0)),
            retries: 1 + r.below(5) as u32,
        };
        scenario.trouble.push(drawn);
        // A zone without servers has none to lose.
        if scenario.check().is_err() {
            scenario.trouble.pop();
        }
    }
}

/// Hunts; prints and writes what it finds.
pub(crate) fn run(hunt: &Hunt) -> Result<ExitCode, String> {
    files::folder(&hunt.out)?;
    if !(hunt.gap > 0.0 && hunt.gap <= 1.0) {
        return Err(format!(
            "--gap is {}, expected more than 0 and at most 1",
            hunt.gap
        ));
    }
    let limit = match hunt.minutes {
        Some(m) if !(m > 0.0 && m <= 1e6) => {
            return Err(format!("--minutes is {m}, expected more than 0"));
        }
        minutes => minutes.map(|m| Duration::from_secs_f64(m * 60.0)),
    };
    let Seeds(from, to) = hunt.seeds;
    let jobs = Jobs::begin(to - from)?;
    let (began, found, played) = (Instant::now(), Mutex::new(Vec::new()), Mutex::new(0u64));
    // A panic is a finding, told in its own line; its trace would only hide the others.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    (from..to).into_par_iter().try_for_each(|seed| {
        if jobs.stopped() || limit.is_some_and(|l| began.elapsed() >= l) {
            return None;
        }
        let mut scenario = hunt.base.clone().unwrap_or_else(|| draw(seed));
        trouble(&mut scenario, seed);
        if let Some(finding) = hunt.look(&scenario, seed) {
            jobs.say(&format!("seed {seed}: {finding}; shrinking"));
            let (mut scenario, finding) = hunt.shrink(scenario, seed, finding);
            scenario.name = format!("found-{seed}");
            scenario.about = format!("Seed {seed} under {}: {finding}.", hunt.policy.name());
            found
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .push((seed, scenario, finding));
        }
        *played
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) += 1;
        jobs.step();
        Some(())
    });
    std::panic::set_hook(hook);
    jobs.end();
    let mut found = found
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let played = played
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    found.sort_by_key(|f| f.0);
    for (seed, scenario, finding) in &found {
        let path = hunt.out.join(format!("found-{seed}.toml"));
        let command = format!(
            "ironmast-testbed emulate FILE --seed {seed} --policy {}",
            hunt.policy.name()
        );
        files::write(
            &path,
            &format!("# {finding}\n# {command}\n{}", scenario.write()),
        )?;
        println!("seed {seed}: {finding}: {}", path.display());
    }
    println!(
        "{played} of {} seeds played in {:.0} s, {} findings",
        to - from,
        began.elapsed().as_secs_f64(),
        found.len()
    );
    Ok(match () {
        () if !found.is_empty() => ExitCode::from(1),
        () if jobs.stopped() => ExitCode::from(130),
        () => ExitCode::SUCCESS,
    })
}

#[cfg(test)]
mod tests;
