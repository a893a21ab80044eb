//! Plays one region's gates over model servers for some bounds of the affinity, and with an ill
//! server. Run in release.

#[path = "../tests/model/mod.rs"]
mod model;

use model::{Fate, Plan};

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
    for press in [1.0, 4.0, 8.0, 12.0, 16.0, 24.0] {
        for subjects in [6, 30, 150] {
            for policy in policies {
                let played = model::play(policy, subjects, press, 120);
                let shares =
                    [0, 1, 2].map(|kind| played.taken[kind] as f64 / played.asked[kind] as f64);
                let name =
                    policy.map_or("even draw".into(), |(e, f)| format!("excess {e} floor {f}"));
                println!(
                    "press {press} subjects {subjects:3} {name:22} read again {:.3} first ms p50 {:4} p90 {:4} p99 {:4} \
                     most {:3} refused {} ejected {} early {} taken {:.2?}",
                    played.again(),
                    played.first_ms(0.5),
                    played.first_ms(0.9),
                    played.first_ms(0.99),
                    played.most,
                    played.refused,
                    played.ejected,
                    played.early,
                    shares,
                );
            }
        }
    }
    for fate in [Fate::Well, Fate::Dark, Fate::Down, Fate::Grey, Fate::Slow] {
        for press in [1.0, 4.0] {
            let plan = Plan {
                affinity: Some((0.5, 0.4)),
                subjects: 30,
                press,
                seconds: 60,
                fate,
            };
            let played = model::play_plan(&plan);
            println!(
                "{fate:?} press {press}: lost {} late {} of {} refused {} ejected {} probes {} read again {:.3} first ms \
                 p99 {}",
                played.lost,
                played.late,
                played.asked.iter().sum::<usize>(),
                played.refused,
                played.ejected,
                played.probes,
                played.again(),
                played.first_ms(0.99),
            );
        }
    }
}
