use super::*;
use crate::table::{ServiceSpec, TableSpec};

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        health_check: "/healthz".into(),
        slots: 8,
        kv_cache_tokens: 0,
        max_connections: 0,
        warmup_per_s: 0.0,
    }
}

fn server(number: usize, service: &str, region: &str) -> ServerSpec {
    ServerSpec {
        instance: format!("i-{number}").into(),
        service: service.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        region: region.into(),
        capacity: 0,
        state: ServerState::Ready,
        evacuated: false,
        warming_up: false,
        heartbeats_missing_since: None,
        models: Vec::new(),
        sequence: 0,
    }
}

fn table(servers: Vec<ServerSpec>) -> Table {
    let services = vec![service("a"), service("b")];
    Table::build(TableSpec {
        services,
        servers,
        ..TableSpec::default()
    })
    .expect("a table")
}

fn names(fleet: &Endpoints, service: u32, region: RegionId) -> Vec<&str> {
    fleet
        .members(service, region)
        .map(|node| &*node.spec.instance)
        .collect()
}

#[test]
fn groups_follow_the_table() {
    let mut fleet = Endpoints::default();
    let first = table(vec![
        server(1, "a", "x"),
        server(2, "a", "y"),
        server(3, "b", "x"),
        server(4, "a", "x"),
    ]);
    fleet.apply_table(0, &first);
    assert_eq!(names(&fleet, 0, 0), ["i-1", "i-4"]);
    assert_eq!(names(&fleet, 0, 1), ["i-2"]);
    assert_eq!(names(&fleet, 1, 0), ["i-3"]);
    assert!(names(&fleet, 1, 1).is_empty() && names(&fleet, 7, 7).is_empty());
    fleet.apply_table(1, &table(vec![server(2, "a", "y"), server(4, "b", "x")]));
    assert_eq!(names(&fleet, 0, 0), ["i-2"], "regions are numbered anew");
    assert_eq!(names(&fleet, 1, 1), ["i-4"]);
    assert_eq!(fleet.listed().count(), 2);
}

#[test]
fn slots_are_used_again_and_handles_are_not() {
    let mut fleet = Endpoints::default();
    fleet.apply_table(0, &table(vec![server(1, "a", "x")]));
    let first = fleet.handle("i-1").expect("listed");
    fleet.apply_table(1, &table(vec![server(2, "a", "x")]));
    fleet.apply_table(2, &table(vec![server(3, "a", "x")]));
    let third = fleet.handle("i-3").expect("listed");
    assert!(fleet.get(first).is_none() && fleet.get(third).is_some());
    assert!(fleet.nodes.len() <= 2, "{}", fleet.nodes.len());
}

#[test]
fn a_server_that_left_stays_until_its_attempts_end_and_may_come_back() {
    let mut fleet = Endpoints::default();
    fleet.apply_table(0, &table(vec![server(1, "a", "x")]));
    let handle = fleet.handle("i-1").expect("listed");
    fleet
        .get_mut(handle)
        .expect("there")
        .occupancy
        .take(Default::default());
    fleet.apply_table(1, &table(Vec::new()));
    assert!(
        fleet
            .get(handle)
            .is_some_and(|node| !node.in_table && !node.is_eligible())
    );
    fleet.release(handle);
    assert!(fleet.get(handle).is_some(), "an attempt is out");
    fleet.apply_table(2, &table(vec![server(1, "a", "x")]));
    assert!(fleet.get(handle).is_some_and(Endpoint::is_eligible));
    fleet
        .get_mut(handle)
        .expect("there")
        .occupancy
        .release(Default::default());
    fleet.release(handle);
    assert!(fleet.get(handle).is_some(), "it is listed");
}

#[test]
fn the_median_is_of_the_others() {
    assert_eq!(median([].into_iter()), 0.0);
    assert_eq!(median([3.0].into_iter()), 3.0);
    assert_eq!(median([5.0, 1.0, 3.0].into_iter()), 3.0);
    assert_eq!(median([5.0, 1.0, 3.0, 4.0].into_iter()), 3.0);
}

#[test]
fn what_is_kept_of_1300_servers_is_under_a_megabyte() {
    // Beside each record: its entry by instance, its place in a group and in two round_robins, the names
    // themselves.
    let beside = 24 + 16 + 3 * 4 + 64;
    let record = size_of::<Option<Endpoint>>() + size_of::<ServerSpec>() + beside;
    assert!(1300 * record < 1_000_000, "{record} bytes each");
    println!("{record} bytes each");
}
