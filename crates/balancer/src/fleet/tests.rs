//! Tests of `fleet.rs`.

use super::*;
use crate::node::Ejection;
use crate::rng::Rng;

const OWN_ZONE: ZoneId = 1;
const CLASSES: usize = 2;

fn id(number: u64) -> ServerId {
    ServerId(number * 7919)
}

fn node(number: u64, zone: ZoneId, phase: Phase) -> Node {
    let server = Server {
        id: id(number),
        zone,
        cell: 0,
        phase,
        size: number as f64,
        started: None,
    };
    Node::new(server, 0.0, 1.5 + number as f64, 1.0, 0)
}

fn toggle_ejection(node: &mut Node, now: Micros) {
    let ejection = Ejection {
        since: now,
        until: now,
    };
    node.ejected = match node.ejected {
        Some(_) => None,
        None => Some(ejection),
    };
}

/// Applies one change of a random kind to a random server, or to the rotation.
fn change_at_random(fleet: &mut Fleet, rng: &mut Rng, step: u64) {
    let mut below = |n: u64| (rng.unit() * n as f64) as u64;
    let (number, zone, choice) = (below(40), below(3) as usize, below(3));
    let id = id(number);
    match below(7) {
        0 => {
            let phase = match choice {
                0 => Phase::Draining,
                _ => Phase::Ready,
            };
            fleet.insert(node(number, zone, phase));
        }
        1 => fleet.remove(id),
        2 => _ = fleet.change(id, |node| node.limit = (node.limit * 1.37) % 50.0),
        3 => _ = fleet.change(id, |node| toggle_ejection(node, step)),
        4 => {
            fleet.change(id, |node| {
                node.in_flight += 1;
                node.failure_rate = node.failure_rate / 2.0 + 0.3;
            });
        }
        5 => {
            fleet.change_class_ejection(id, zone % CLASSES, |ejection| {
                ejection.failure_rate += 0.1;
                ejection.since = choice;
            });
        }
        _ => fleet.rotate(step / 500),
    }
}

fn assert_loads_are_sums(fleet: &Fleet, step: u64) {
    let mut zones = [Load::default(); 3];
    for node in fleet.nodes.values() {
        zones[node.server.zone].add(node);
    }
    for (zone, expected) in zones.iter().enumerate() {
        assert_eq!(fleet.zone(zone), *expected, "{step}");
    }
}

fn assert_orders_are_complete(fleet: &Fleet, locality: Locality, step: u64) {
    let is_here = |node: &&Node| {
        let is_local = node.server.zone == OWN_ZONE;
        node.server.phase == Phase::Ready && is_local == (locality == Locality::Local)
    };
    let here = fleet.nodes.values().filter(is_here);
    let mut expected: Vec<ServerId> = here.map(|node| node.server.id).collect();
    expected.sort_unstable();
    let by_id = fleet.ready_in(locality).map(|node| node.server.id);
    assert!(by_id.eq(expected.iter().copied()), "{step}");
    let ring = fleet.ring(locality, step as usize);
    let mut ring: Vec<ServerId> = ring.map(|node| node.server.id).collect();
    ring.sort_unstable();
    assert_eq!(ring, expected, "{step}");
}

fn assert_class_index_is_complete(fleet: &Fleet, class: ClassId, step: u64) {
    let nodes = || fleet.nodes.values();
    let ejections = || nodes().filter_map(|node| node.class_ejections.get(&class));
    let mut sum = Sum::default();
    for ejection in ejections() {
        sum.add(ejection.failure_rate);
    }
    assert_eq!(fleet.class_failure_rate(class), sum, "{step}");
    let ejected = ejections().filter(|ejection| ejection.since > 0).count();
    assert_eq!(fleet.ejected_for(class).count(), ejected, "{step}");
}

/// Guards against aggregates and orders that differ from the listed servers after a sequence of
/// changes: after each of 20,000 random ones, all are compared with what the servers give.
#[test]
fn aggregates_and_orders_follow_every_change() {
    let mut rng = Rng(3);
    let mut fleet = Fleet::new(OWN_ZONE, CLASSES);
    for step in 0..20_000u64 {
        change_at_random(&mut fleet, &mut rng, step);
        assert_loads_are_sums(&fleet, step);
        for locality in Locality::ALL {
            assert_orders_are_complete(&fleet, locality, step);
        }
        for class in 0..CLASSES {
            assert_class_index_is_complete(&fleet, class, step);
        }
    }
}
