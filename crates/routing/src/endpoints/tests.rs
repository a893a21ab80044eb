use super::*;
use crate::load::TokenDemand;
use crate::table::TableSpec;
use crate::test_support::{self, service};

fn server(number: usize, service: &str, region: &str) -> ServerSpec {
    ServerSpec {
        service: service.into(),
        ..test_support::server(number, region)
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

fn names(endpoints: &Endpoints, service: u32, region: RegionId) -> Vec<&str> {
    endpoints
        .members(service, region)
        .map(|endpoint| &*endpoint.spec.instance)
        .collect()
}

#[test]
fn groups_follow_the_table() {
    let mut endpoints = Endpoints::default();
    let first = table(vec![
        server(1, "a", "x"),
        server(2, "a", "y"),
        server(3, "b", "x"),
        server(4, "a", "x"),
    ]);
    endpoints.apply_table(0, &first);
    assert_eq!(names(&endpoints, 0, 0), ["i-1", "i-4"]);
    assert_eq!(names(&endpoints, 0, 1), ["i-2"]);
    assert_eq!(names(&endpoints, 1, 0), ["i-3"]);
    assert!(names(&endpoints, 1, 1).is_empty() && names(&endpoints, 7, 7).is_empty());
    endpoints.apply_table(1, &table(vec![server(2, "a", "y"), server(4, "b", "x")]));
    assert_eq!(
        names(&endpoints, 0, 0),
        ["i-2"],
        "regions are numbered by the new table"
    );
    assert_eq!(names(&endpoints, 1, 1), ["i-4"]);
    assert_eq!(endpoints.listed().count(), 2);
}

#[test]
fn slots_are_reused_and_handles_are_not() {
    let mut endpoints = Endpoints::default();
    endpoints.apply_table(0, &table(vec![server(1, "a", "x")]));
    let first = endpoints.handle("i-1").expect("listed");
    endpoints.apply_table(1, &table(vec![server(2, "a", "x")]));
    endpoints.apply_table(2, &table(vec![server(3, "a", "x")]));
    let third = endpoints.handle("i-3").expect("listed");
    assert!(endpoints.get(first).is_none() && endpoints.get(third).is_some());
    assert!(endpoints.entries.len() <= 2, "{}", endpoints.entries.len());
}

#[test]
fn a_removed_server_stays_until_its_attempts_end_and_may_return() {
    let mut endpoints = Endpoints::default();
    endpoints.apply_table(0, &table(vec![server(1, "a", "x")]));
    let handle = endpoints.handle("i-1").expect("listed");
    endpoints
        .get_mut(handle)
        .expect("known")
        .occupancy
        .add(TokenDemand::default());
    endpoints.apply_table(1, &table(Vec::new()));
    assert!(
        endpoints
            .get(handle)
            .is_some_and(|endpoint| !endpoint.is_listed && !endpoint.is_eligible())
    );
    endpoints.remove_if_obsolete(handle);
    assert!(endpoints.get(handle).is_some(), "an attempt is in flight");
    endpoints.apply_table(2, &table(vec![server(1, "a", "x")]));
    assert!(endpoints.get(handle).is_some_and(Endpoint::is_eligible));
    endpoints
        .get_mut(handle)
        .expect("known")
        .occupancy
        .remove(TokenDemand::default());
    endpoints.remove_if_obsolete(handle);
    assert!(endpoints.get(handle).is_some(), "the server is listed");
}

#[test]
fn the_median_is_the_lower_one_and_zero_without_values() {
    assert_eq!(median([].into_iter()), 0.0);
    assert_eq!(median([3.0].into_iter()), 3.0);
    assert_eq!(median([5.0, 1.0, 3.0].into_iter()), 3.0);
    assert_eq!(median([5.0, 1.0, 3.0, 4.0].into_iter()), 3.0);
}

#[test]
fn state_of_1300_servers_takes_less_than_a_megabyte() {
    // Memory of a server besides its record: the entry by instance, the index in a group and in two
    // round robins, and the names.
    let beside = 24 + 16 + 3 * 4 + 64;
    let record = size_of::<Option<Endpoint>>() + size_of::<ServerSpec>() + beside;
    assert!(1300 * record < 1_000_000, "{record} bytes for each server");
    println!("{record} bytes for each server");
}
