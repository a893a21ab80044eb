//! Tests of `fleet.rs`.

use super::*;
use crate::rng::Rng;

fn node(n: u64, zone: ZoneId, phase: Phase) -> Node {
    let server = Server {
        id: ServerId(n * 7919),
        zone,
        cell: 0,
        phase,
        size: n as f64,
        started: None,
    };
    Node::new(server, 0.0, 1.5 + n as f64, 1.0, 0)
}

/// Whatever changes in whatever order: the sums are those of the servers that are there.
#[test]
fn aggregates_and_orders_follow_every_change() {
    let mut rng = Rng(3);
    let mut fleet = Fleet::new(1, 2);
    for step in 0..20_000u64 {
        let mut below = |n: u64| (rng.unit() * n as f64) as u64;
        let (n, zone, phase) = (below(40), below(3) as usize, below(3));
        let id = ServerId(n * 7919);
        match below(7) {
            0 => fleet.insert(node(
                n,
                zone,
                if phase == 0 {
                    Phase::Draining
                } else {
                    Phase::Ready
                },
            )),
            1 => fleet.remove(id),
            2 => _ = fleet.change(id, |n| n.limit = (n.limit * 1.37) % 50.0),
            3 => {
                _ = fleet.change(id, |n| {
                    n.ejected = n.ejected.is_none().then_some((step, step));
                });
            }
            4 => {
                _ = fleet.change(id, |n| {
                    (n.in_flight, n.failure_rate) = (n.in_flight + 1, n.failure_rate / 2.0 + 0.3);
                });
            }
            5 => {
                let change = |m: &mut ClassEjection| {
                    (m.failure_rate, m.since) = (m.failure_rate + 0.1, phase);
                };
                _ = fleet.change_class_ejection(id, zone % 2, change);
            }
            _ => fleet.turn(step / 500),
        }
        let mut zones = [Load::default(); 3];
        fleet
            .nodes
            .values()
            .for_each(|n| zones[n.server.zone].count(n, 1));
        for (zone, wanted) in zones.iter().enumerate() {
            assert_eq!(fleet.zone(zone), *wanted, "{step}");
        }
        for own in [false, true] {
            let here = |n: &&Node| n.server.phase == Phase::Ready && (n.server.zone == 1) == own;
            let mut wanted: Vec<ServerId> = fleet
                .nodes
                .values()
                .filter(here)
                .map(|n| n.server.id)
                .collect();
            wanted.sort_unstable();
            assert!(
                fleet
                    .side(own)
                    .map(|n| n.server.id)
                    .eq(wanted.iter().copied()),
                "{step}"
            );
            let mut ring: Vec<ServerId> = fleet
                .ring(own, step as usize)
                .map(|n| n.server.id)
                .collect();
            ring.sort_unstable();
            assert_eq!(ring, wanted, "{step}");
        }
        for class in 0..2 {
            let mut class_failure_rates = Sum::default();
            let mutes = fleet
                .nodes
                .values()
                .filter_map(|n| n.class_ejections.get(&class));
            mutes.for_each(|m| class_failure_rates.add(m.failure_rate, 1));
            assert_eq!(
                fleet.class_failure_rates(class),
                class_failure_rates,
                "{step}"
            );
            let silent = fleet
                .nodes
                .values()
                .filter(|n| n.class_ejections.get(&class).is_some_and(|m| m.since > 0));
            assert_eq!(fleet.ejected_for(class).count(), silent.count(), "{step}");
        }
    }
}
