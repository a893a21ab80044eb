//! Simulates the gates of one region over model servers: for several load bounds of the prefix
//! affinity, and with a faulty server. Run it in the release profile.

#[path = "../tests/model/mod.rs"]
mod model;

use model::{Fault, Plan};

fn main() {
    let policies = [
        None,
        Some((0.25, 0.1)),
        Some((0.25, 0.15)),
        Some((0.5, 0.15)),
        Some((0.5, 0.25)),
        Some((0.5, 0.4)),
        Some((1.0, 0.25)),
        Some((10.0, 1.0)),
    ];
    for load_factor in [1.0, 4.0, 8.0, 12.0, 16.0, 24.0] {
        for prefixes in [6, 30, 150] {
            for policy in policies {
                let results = model::simulate(policy, prefixes, load_factor, 120);
                let shares = [0, 1, 2]
                    .map(|kind| results.accepted[kind] as f64 / results.requests[kind] as f64);
                let name = policy.map_or("round robin".into(), |(excess, floor)| {
                    format!("excess {excess} floor {floor}")
                });
                println!(
                    "load factor {load_factor} prefixes {prefixes:3} {name:22} \
                     prefilled again {:.3} first byte ms p50 {:4} p90 {:4} p99 {:4} \
                     max running {:3} rejected {} ejected {} early rejections {} accepted {:.2?}",
                    results.prefilled_again(),
                    results.first_byte_ms(0.5),
                    results.first_byte_ms(0.9),
                    results.first_byte_ms(0.99),
                    results.max_running,
                    results.rejected,
                    results.ejected,
                    results.early_rejections,
                    shares,
                );
            }
        }
    }
    for fault in [
        Fault::None,
        Fault::Silent,
        Fault::Crashed,
        Fault::Partial,
        Fault::Slow,
    ] {
        for load_factor in [1.0, 4.0] {
            let plan = Plan {
                affinity: Some((0.5, 0.4)),
                prefixes: 30,
                load_factor,
                seconds: 60,
                fault,
            };
            let results = model::simulate_plan(&plan);
            println!(
                "{fault:?} load factor {load_factor}: lost {} late {} of {} rejected {} ejected {} \
                 health checks {} prefilled again {:.3} first byte ms \
                 p99 {}",
                results.lost,
                results.late,
                results.requests.iter().sum::<usize>(),
                results.rejected,
                results.ejected,
                results.health_checks,
                results.prefilled_again(),
                results.first_byte_ms(0.99),
            );
        }
    }
}
