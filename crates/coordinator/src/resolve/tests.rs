//! Tests of the selection of gates for a client.

use std::time::Duration;

use ironmast_schema::control::GateRecord;

use super::*;

const ZONE: &str = "north-a";

fn gate(zone: &str, ready: bool, down: bool) -> GateRecord {
    let region = zone.split('-').next().expect("a region").to_string();
    GateRecord {
        zone: zone.to_string(),
        region,
        ready,
        down,
    }
}

fn ready(zone: &str) -> GateRecord {
    gate(zone, true, false)
}

fn not_ready(zone: &str) -> GateRecord {
    gate(zone, false, false)
}

fn shut_down(zone: &str) -> GateRecord {
    gate(zone, false, true)
}

/// A gate whose updates have stopped and whose last one reported it as ready: it has not been shut
/// down.
fn lost(zone: &str) -> GateRecord {
    gate(zone, true, true)
}

/// A configuration with one route of `a.example` for each list of allowed regions, one route of
/// `a.example` without a restriction, and a route of another host that is allowed in the east only.
fn configuration(allowed: &[&[&str]]) -> Configuration {
    let route = |number: usize, host: &str, allowed: &[&str]| {
        let route = serde_json::json!({"name": format!("r{number}"), "hostname": host,
            "path_prefix": format!("/{number}/"), "type": "safe", "timeout_ms": 1000, "backend": "x",
            "allowed_regions": allowed});
        route.to_string()
    };
    let others = [route(0, "b.example", &["east"]), route(1, "a.example", &[])];
    let routes = allowed
        .iter()
        .enumerate()
        .map(|(number, allowed)| route(number + 2, "a.example", allowed));
    let routes: Vec<String> = others.into_iter().chain(routes).collect();
    let text = format!(
        r#"{{"generation":1,"routes":[{}],"services":[{{"name":"x"}}]}}"#,
        routes.join(",")
    );
    Configuration::parse(text.as_bytes()).expect("a valid configuration")
}

/// Indices of the gates selected for a client in [`ZONE`]. Each gate has reported later than the
/// one before it.
fn resolved_with(configuration: Option<&Configuration>, gates: &[GateRecord]) -> Vec<usize> {
    let address =
        |number: usize| SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 80));
    let gates: Vec<GateView<'_>> = (0..)
        .zip(gates)
        .map(|(number, record)| GateView {
            frontend: address(number),
            record,
            last_heard: Duration::from_micros(number as u64),
            is_reachable: true,
            is_directly_reachable: false,
        })
        .collect();
    let query = Query {
        name: "A.example".to_string(),
        region: "north".to_string(),
        zone: ZONE.to_string(),
    };
    let found = addresses(&gates, configuration, &query);
    found
        .iter()
        .map(|found| {
            gates
                .iter()
                .position(|gate| gate.frontend == *found)
                .expect("known")
        })
        .collect()
}

fn resolved(allowed: &[&[&str]], gates: &[GateRecord]) -> Vec<usize> {
    resolved_with(Some(&configuration(allowed)), gates)
}

const NORTH: &[&str] = &["north"];
const SOUTH: &[&str] = &["south"];

#[test]
fn gates_of_the_clients_zone_are_preferred() {
    let gates = [ready("north-b"), ready(ZONE), ready("south-a"), ready(ZONE)];
    assert_eq!(resolved(&[], &gates), [1, 3]);
}

#[test]
fn without_a_ready_gate_in_the_zone_gates_of_the_region_are_selected() {
    let gates = [
        ready("north-b"),
        not_ready(ZONE),
        lost(ZONE),
        ready("south-a"),
        ready("north-c"),
    ];
    assert_eq!(resolved(&[], &gates), [0, 4]);
}

#[test]
fn without_allowed_regions_gates_of_all_regions_are_selected() {
    let gates = [
        shut_down("north-b"),
        not_ready(ZONE),
        ready("south-a"),
        ready("west-a"),
    ];
    assert_eq!(resolved(&[], &gates), [2, 3]);
}

#[test]
fn a_restarting_region_is_not_replaced_by_a_region_that_is_not_allowed() {
    let gates = [
        shut_down("north-b"),
        not_ready(ZONE),
        ready("south-a"),
        not_ready("north-b"),
    ];
    assert_eq!(resolved(&[NORTH], &gates), [1, 3]);
    let gates = [lost("north-b"), shut_down(ZONE), ready("south-a")];
    assert!(resolved(&[NORTH], &gates).is_empty());
}

#[test]
fn a_restarting_region_is_replaced_by_allowed_regions() {
    let gates = [
        shut_down("north-b"),
        not_ready(ZONE),
        ready("south-a"),
        ready("west-a"),
    ];
    assert_eq!(resolved(&[&["south", "north"]], &gates), [2]);
    assert_eq!(resolved(&[&["south", "west"], SOUTH], &gates), [2]);
    // No region is allowed by both routes.
    assert_eq!(resolved(&[NORTH, SOUTH], &gates), [1]);
}

#[test]
fn a_lost_region_is_replaced_by_all_regions() {
    let gates = [shut_down("north-b"), lost(ZONE), ready("south-a")];
    assert_eq!(resolved(&[NORTH], &gates), [2]);
}

/// A coordinator that has just started knows neither the gates of the region nor the allowed
/// regions, and must not take the region for lost.
#[test]
fn without_a_configuration_no_other_region_is_selected() {
    let gates = [ready("south-a")];
    assert!(resolved(&[NORTH], &gates).is_empty());
    assert!(resolved_with(None, &gates).is_empty());
    assert_eq!(
        resolved_with(None, &[ready("south-a"), ready("north-b")]),
        [1]
    );
}

#[test]
fn at_most_64_addresses_are_selected() {
    let gates = vec![ready(ZONE); 100];
    assert_eq!(resolved(&[], &gates).len(), 64);
}

#[test]
fn out_of_contact_only_direct_gates_of_the_region_are_selected() {
    let records = [
        ready("north-b"),
        ready("north-a"),
        ready("south-a"),
        not_ready("north-a"),
        ready("north-c"),
    ];
    let address = |number: usize| SocketAddr::from(([10, 0, 0, number as u8], 80));
    let resolved_by = |configuration: Option<Configuration>, direct: &[usize]| {
        let gates: Vec<GateView<'_>> = records
            .iter()
            .enumerate()
            .map(|(number, record)| GateView {
                frontend: address(number),
                record,
                last_heard: Duration::ZERO,
                is_reachable: true,
                is_directly_reachable: direct.contains(&number),
            })
            .collect();
        let name = "A.example".to_string();
        let query = Query {
            name,
            region: "north".to_string(),
            zone: ZONE.to_string(),
        };
        addresses_of_direct_gates(&gates, configuration.as_ref(), &query)
    };
    let resolved_directly = |direct: &[usize]| resolved_by(None, direct);
    assert_eq!(
        resolved_directly(&[0, 1, 2, 3]),
        [address(1)],
        "the client's zone first"
    );
    assert_eq!(
        resolved_directly(&[0, 2, 4]),
        [address(0), address(4)],
        "then its region"
    );
    assert_eq!(
        resolved_directly(&[2, 3]),
        [],
        "no other region, and no gate that is not ready"
    );
    let with_allowed_regions =
        |allowed: &[&[&str]]| resolved_by(Some(configuration(allowed)), &[1]);
    assert_eq!(
        with_allowed_regions(&[NORTH]),
        [address(1)],
        "the region is allowed"
    );
    assert_eq!(
        with_allowed_regions(&[SOUTH]),
        [],
        "the region may be partitioned from the allowed ones"
    );
}

#[test]
fn an_unreachable_gate_is_not_selected() {
    let record = ready("north-a");
    let frontend = SocketAddr::from(([10, 0, 0, 1], 80));
    let gate = GateView {
        frontend,
        record: &record,
        last_heard: Duration::ZERO,
        is_reachable: false,
        is_directly_reachable: false,
    };
    let query = Query {
        name: String::new(),
        region: "north".to_string(),
        zone: ZONE.to_string(),
    };
    assert_eq!(addresses(&[gate], None, &query), []);
    assert_eq!(
        addresses(
            &[GateView {
                is_reachable: true,
                ..gate
            }],
            None,
            &query
        ),
        [frontend]
    );
}
