//! Resource usage of the overlay: bytes and messages a second, processor time and memory. The
//! assertions are the limits of a deployment; the printed rows are the figures in docs/CAPACITY.md.

use ironmast_overlay::Settings;

use crate::support::deployment::Deployment;
use crate::support::node::Node;
use crate::support::simulation::{Simulation, ms};

/// Length of a measurement, in seconds.
const SECONDS: u64 = 30;

/// Number of updates within [`SECONDS`]: ten times the rate of 7,400 updates a day.
const UPDATES: u64 = 26;

/// Number of entries, and their size in bytes.
const ENTRIES: u64 = 2_000;
const ENTRY_BYTES: usize = 300;

/// Traffic and handled events of one node, per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    bytes_out: u64,
    bytes_in: u64,
    messages_out: u64,
    messages_in: u64,
    events_handled: u64,
    inter_region_bytes: u64,
    inter_region_entry_bytes: u64,
}

/// The counters of a node since the start of the simulation.
fn total(node: &Node) -> Rate {
    Rate {
        bytes_out: node.sent.bytes,
        bytes_in: node.received.bytes,
        messages_out: node.sent.messages,
        messages_in: node.received.messages,
        events_handled: node.events_handled,
        inter_region_bytes: node.sent.inter_region_bytes,
        inter_region_entry_bytes: node.sent.inter_region_entry_bytes,
    }
}

impl Rate {
    fn since(&self, before: &Rate) -> Rate {
        let per_second = |now: u64, before: u64| (now - before) / SECONDS;
        Rate {
            bytes_out: per_second(self.bytes_out, before.bytes_out),
            bytes_in: per_second(self.bytes_in, before.bytes_in),
            messages_out: per_second(self.messages_out, before.messages_out),
            messages_in: per_second(self.messages_in, before.messages_in),
            events_handled: per_second(self.events_handled, before.events_handled),
            inter_region_bytes: per_second(self.inter_region_bytes, before.inter_region_bytes),
            inter_region_entry_bytes: per_second(
                self.inter_region_entry_bytes,
                before.inter_region_entry_bytes,
            ),
        }
    }

    fn total_bytes(&self) -> u64 {
        self.bytes_out + self.bytes_in
    }
}

/// Rates of all nodes over the time in which `load` runs the simulation.
fn measure(sim: &mut Simulation, load: impl Fn(&mut Simulation)) -> Vec<Rate> {
    let before: Vec<Rate> = sim.nodes.iter().map(total).collect();
    load(sim);
    sim.nodes
        .iter()
        .zip(&before)
        .map(|(node, before)| total(node).since(before))
        .collect()
}

fn publish_updates(sim: &mut Simulation) {
    for at in 0..UPDATES {
        let (key, version) = (at * 37 % ENTRIES, 2 + at / ENTRIES);
        sim.publish(
            at as usize % sim.deployment.coordinators,
            key,
            version,
            ENTRY_BYTES,
        );
        sim.run_for(ms(SECONDS * 1_000 / UPDATES));
    }
}

/// Prints the rates of a measurement and returns the bytes a second (sent and received) of the
/// busiest agent.
fn print_rates(name: &str, deployment: Deployment, rates: &[Rate]) -> u64 {
    let (coordinators, agents) = rates.split_at(deployment.coordinators);
    let mut agents = agents.to_vec();
    agents.sort_by_key(Rate::total_bytes);
    let at = |part: usize| agents[(agents.len() - 1) * part / 100];
    let busiest = coordinators
        .iter()
        .max_by_key(|rate| rate.total_bytes())
        .copied()
        .unwrap_or_default();
    let inter_region: u64 = rates.iter().map(|rate| rate.inter_region_bytes).sum();
    let entries: u64 = rates.iter().map(|rate| rate.inter_region_entry_bytes).sum();
    for (label, rate) in [
        ("agent p50", at(50)),
        ("agent p99", at(99)),
        ("agent max", at(100)),
        ("coordinator max", busiest),
    ] {
        println!(
            "{:>5} agents, {name}: {label:<15} {:>6} B/s out {:>6} B/s in {:>3} messages/s out {:>3} in {:>3} events/s",
            deployment.agents,
            rate.bytes_out,
            rate.bytes_in,
            rate.messages_out,
            rate.messages_in,
            rate.events_handled
        );
    }
    println!(
        "{:>5} agents, {name}: between regions {inter_region} B/s in all, of which entries {entries} B/s",
        deployment.agents
    );
    at(100).total_bytes()
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}

/// Processor time of this thread, in nanoseconds.
fn cpu_time_ns() -> u64 {
    let spent = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    spent
        .split_whitespace()
        .next()
        .and_then(|spent| spent.parse().ok())
        .unwrap_or(0)
}

/// Measures a deployment idle and under load; returns the bytes a second of the busiest agent under
/// load.
fn costs(deployment: Deployment) -> u64 {
    let memory = resident_bytes();
    let mut sim = Simulation::start(deployment, Settings::default(), 1);
    sim.run_for(ms(20_000));
    let idle = measure(&mut sim, |sim| sim.run_for(ms(SECONDS * 1_000)));
    print_rates("no entries, idle", deployment, &idle);
    for key in 0..ENTRIES {
        sim.publish(key as usize % deployment.coordinators, key, 1, ENTRY_BYTES);
    }
    sim.run_for(ms(20_000));
    let grown = resident_bytes().saturating_sub(memory) / sim.nodes.len() as u64;
    let before = cpu_time_ns();
    let events: u64 = sim.nodes.iter().map(|node| node.events_handled).sum();
    let loaded = measure(&mut sim, publish_updates);
    let worst = print_rates("2,000 entries, 0.85 changes/s", deployment, &loaded);
    let events = sim
        .nodes
        .iter()
        .map(|node| node.events_handled)
        .sum::<u64>()
        - events;
    let spent = (cpu_time_ns() - before) / events.max(1);
    println!(
        "{:>5} agents: {spent} ns of processor time an event and {grown} B of memory a node, both including the simulation; nodes share payloads",
        deployment.agents
    );
    assert_eq!(sim.regressions, 0);
    worst
}

#[test]
fn agent_traffic_is_below_nine_kilobytes_a_second() {
    assert!(costs(Deployment::TWENTY) < 9_000);
    assert!(costs(Deployment::HUNDRED) < 9_000);
}

#[test]
#[ignore = "prints the figures in docs/CAPACITY.md; run in release mode"]
fn costs_of_larger_deployments() {
    assert!(costs(Deployment::SMALL) < 9_000);
    assert!(costs(Deployment::FIVE_HUNDRED) < 9_000);
    assert!(costs(Deployment::TWO_THOUSAND) < 9_000);
}
