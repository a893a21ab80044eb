//! Measures the waiting time and the messages that permits cost, compared with an ideal limiter
//! that knows the requests of all gates without delay. With `split`, compares percentages of the
//! bound that are divided among the gates. With `hunt N`, instead searches N seeds per size for
//! runs under faults that exceed a bound.
//!
//! `cargo run --release -p ironmast-keyed-ownership --example permit_study`
//! `cargo run --release -p ironmast-keyed-ownership --example permit_study -- split`
//! `cargo run --release -p ironmast-keyed-ownership --example permit_study -- hunt 1000`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use simulation::checks::{
    exceeds_bound, ideal_waits, max_arrivals_per_second, quantile, waits_from,
};
use simulation::run::run;
use simulation::scenario::{Limit, Scenario};
use simulation::trace::Trace;
use simulation::{MS, Micros};

/// The numbers of gates that are compared.
const SIZES: [usize; 4] = [5, 30, 300, 2000];

/// The start of the measurement, by which all owners have completed their first takeover delay.
const MEASURED_FROM: Micros = 5_000 * MS;

/// The number of runs of each size and rate.
const RUNS: u64 = 10;

/// The simulated time of each run.
const LENGTH: Micros = 60_000 * MS;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["hunt", seeds] => search_for_violations(
            seeds
                .parse()
                .expect("the argument of `hunt` is a number of seeds"),
        ),
        ["split"] => compare_splits(),
        _ => compare_sizes(),
    }
}

/// Totals over the runs of one size and rate.
#[derive(Default)]
struct Totals {
    waits: Vec<Micros>,
    ideal: Vec<Micros>,
    messages: u64,
    /// The messages of the owner with the most messages in each run.
    owner_messages: u64,
    epoch_queries: u64,
    max_arrivals_per_second: usize,
}

/// Compares all sizes, by rate and by the fraction of requests that arrive in the server's region.
fn compare_sizes() {
    for gates in SIZES {
        for rate in [10.0, 15.0] {
            for local_fraction in [0.3, 0.95] {
                let mut totals = Totals::default();
                for seed in 1..=RUNS {
                    let scenario = Scenario {
                        keys: 1,
                        length: LENGTH,
                        local_fraction,
                        ..Scenario::without_faults(seed, gates, rate)
                    };
                    totals.add(&scenario, &run(&scenario));
                }
                print!("local fraction {local_fraction:4}: ");
                totals.report(gates, rate);
            }
        }
    }
}

/// The gates among which the reserved part of the bound is divided.
#[derive(Clone, Copy, PartialEq)]
enum Quotas {
    AllGates,
    GatesOfTheRegion,
}

/// The divisions of the bound that are compared: the percentage that is reserved for quotas, and
/// the gates that have a quota.
const DIVISIONS: [(u32, Quotas); 7] = [
    (0, Quotas::AllGates),
    (40, Quotas::AllGates),
    (80, Quotas::AllGates),
    (100, Quotas::AllGates),
    (20, Quotas::GatesOfTheRegion),
    (50, Quotas::GatesOfTheRegion),
    (80, Quotas::GatesOfTheRegion),
];

/// The number of gates in the comparison of the divisions.
const SMALL_DEPLOYMENT: usize = 8;

/// Compares the divisions of the bound for a small number of gates.
fn compare_splits() {
    for (reserved_percent, quotas) in DIVISIONS {
        for rate in [10.0, 15.0] {
            let mut totals = Totals::default();
            for seed in 1..=RUNS {
                let scenario = Scenario {
                    keys: 1,
                    length: LENGTH,
                    local_fraction: 0.95,
                    reserved_percent,
                    regional_quotas: quotas == Quotas::GatesOfTheRegion,
                    ..Scenario::without_faults(seed, SMALL_DEPLOYMENT, rate)
                };
                totals.add(&scenario, &run(&scenario));
            }
            let place = match quotas {
                Quotas::AllGates => "",
                Quotas::GatesOfTheRegion => " in the region",
            };
            print!("{reserved_percent:3} % reserved{place}: ");
            totals.report(SMALL_DEPLOYMENT, rate);
        }
    }
}

impl Totals {
    fn add(&mut self, scenario: &Scenario, trace: &Trace) {
        let window = scenario.owner_timing.charge_after_use().as_micros() as Micros;
        self.waits.extend(waits_from(&trace.waits, MEASURED_FROM));
        self.ideal.extend(waits_from(
            &ideal_waits(trace, 0, scenario.bound as usize, window),
            MEASURED_FROM,
        ));
        self.messages += trace.messages;
        self.owner_messages += trace.owner_messages.iter().max().copied().unwrap_or(0);
        self.epoch_queries += trace.epoch_queries;
        self.max_arrivals_per_second = self
            .max_arrivals_per_second
            .max(max_arrivals_per_second(trace, scenario.keys));
    }

    fn report(&mut self, gates: usize, rate: f64) {
        self.waits.sort_unstable();
        self.ideal.sort_unstable();
        let seconds = LENGTH as f64 / 1e6 * RUNS as f64;
        let millis = |sorted: &[Micros], fraction| quantile(sorted, fraction) as f64 / 1e3;
        println!(
            "gates {gates:4} rate {rate:2}/s: wait p50 {:6.1} p99 {:6.1} ms, ideal p50 {:4.1} p99 {:5.1} ms; \
             messages/s: a gate {:6.3}, owner {:5.1}, to acceptors {:4.1}; worst second {}",
            millis(&self.waits, 0.5),
            millis(&self.waits, 0.99),
            millis(&self.ideal, 0.5),
            millis(&self.ideal, 0.99),
            self.messages as f64 / seconds / gates as f64,
            self.owner_messages as f64 / seconds,
            self.epoch_queries as f64 / seconds,
            self.max_arrivals_per_second,
        );
    }
}

/// Searches for runs under faults that exceed a bound. The largest size uses a twentieth of the
/// seeds, because its runs take long.
fn search_for_violations(seeds: u64) {
    for gates in [2, 3, 5, 8, 30, 300, 2000] {
        let seeds = if gates >= 2000 { seeds / 20 } else { seeds };
        let exceeding = (0..seeds)
            .flat_map(|seed| {
                [
                    Scenario::slow_start(seed, gates),
                    Scenario::retry(seed, gates),
                ]
            })
            .filter(|scenario| report_if_exceeded(&varied(scenario)))
            .count();
        println!(
            "gates {gates:4}: {exceeding} of {} runs exceed a bound",
            seeds * 2
        );
    }
}

/// The scenario with its load, its number of keys and its division of the bound varied by the seed.
fn varied(scenario: &Scenario) -> Scenario {
    let choice = |salt: u64, count: usize| {
        (scenario.seed.wrapping_mul(0x9e37_79b9).wrapping_add(salt) >> 7) as usize % count
    };
    let rate = scenario.rate * [1.0, 0.3, 2.5][choice(1, 3)];
    let reserved_percent = [50, 0, 100, 30][choice(77_777, 4)];
    let keys = if scenario.limit == Limit::SlowStart {
        1 + choice(333_333, 3)
    } else {
        scenario.keys
    };
    let regional_quotas = scenario.limit == Limit::SlowStart && choice(55_555, 2) == 1;
    Scenario {
        keys,
        rate,
        reserved_percent,
        regional_quotas,
        ..*scenario
    }
}

/// Whether the run exceeds its bound; if so, the scenario is printed.
fn report_if_exceeded(scenario: &Scenario) -> bool {
    let exceeds = exceeds_bound(scenario, &run(scenario));
    if exceeds {
        println!("bound exceeded: {scenario:?}");
    }
    exceeds
}
