use super::*;
use crate::test_support::{self, service};

fn route() -> RouteSpec {
    RouteSpec {
        prefix: "/x/".into(),
        timeout_ms: 1,
        target_latency_ms: 1,
        ..test_support::route("r", RouteKind::Idempotent)
    }
}

fn server(instance: &str, service: &str, region: &str) -> ServerSpec {
    ServerSpec {
        instance: instance.into(),
        service: service.into(),
        ..test_support::server(1, region)
    }
}

fn error(change: impl Fn(&mut RouteSpec)) -> TableError {
    let mut route = route();
    change(&mut route);
    let spec = TableSpec {
        routes: vec![route],
        services: vec![service("desk")],
        ..TableSpec::default()
    };
    Table::build(spec).expect_err("an invalid specification")
}

#[test]
fn an_invalid_route_is_named_in_the_error() {
    let route: Arc<str> = "r".into();
    let unknown = error(|route| route.backends[0].service = "none".into());
    assert_eq!(
        unknown,
        TableError::UnknownService {
            route: route.clone(),
            service: "none".into()
        }
    );
    assert_eq!(
        error(|route| route.prefix = "/x".into()),
        TableError::InvalidPrefix {
            route: route.clone()
        }
    );
    assert_eq!(
        error(|route| route.prefix = "".into()),
        TableError::InvalidPrefix {
            route: route.clone()
        }
    );
    assert_eq!(
        error(|route| route.timeout_ms = 0),
        TableError::ZeroTimeout {
            route: route.clone()
        }
    );
    assert_eq!(
        error(|route| route.backends[0].weight = 0),
        TableError::ZeroTotalWeight { route }
    );
}

#[test]
fn a_duplicate_service_is_an_error() {
    let spec = TableSpec {
        services: vec![service("desk"), service("desk")],
        ..TableSpec::default()
    };
    let error = Table::build(spec).expect_err("an invalid specification");
    assert_eq!(
        error,
        TableError::DuplicateService {
            service: "desk".into()
        }
    );
}

#[test]
fn servers_of_unknown_services_and_duplicate_instances_are_left_out() {
    let servers = vec![
        server("i-1", "desk", "a"),
        server("i-2", "none", "a"),
        server("i-1", "desk", "b"),
    ];
    let spec = TableSpec {
        services: vec![service("desk")],
        servers,
        ..TableSpec::default()
    };
    let table = Table::build(spec).expect("a table");
    assert_eq!(
        table
            .servers()
            .iter()
            .map(|server| &*server.instance)
            .collect::<Vec<_>>(),
        ["i-1"]
    );
}

#[test]
fn replacing_the_servers_keeps_the_routes() {
    let spec = TableSpec {
        routes: vec![route()],
        services: vec![service("desk")],
        ..TableSpec::default()
    };
    let table = Table::build(spec).expect("a table");
    let next = table
        .with_servers(3, vec![server("i-1", "desk", "a")])
        .expect("a table");
    assert!(next.shares_routes(&table) && next.router().len() == 1);
    assert_eq!(
        (next.gates, next.servers().len(), next.region_count()),
        (3, 1, 1)
    );
}

#[test]
fn a_set_of_unknown_regions_is_empty_and_no_names_mean_all() {
    let spec = TableSpec {
        services: vec![service("desk")],
        servers: vec![server("i-1", "desk", "a"), server("i-2", "desk", "b")],
        ..TableSpec::default()
    };
    let table = Table::build(spec).expect("a table");
    let holds = |names: &[&str]| [0, 1].map(|region| table.region_set(names).contains(region));
    assert_eq!(holds(&[]), [true, true]);
    assert_eq!(holds(&["b"]), [false, true]);
    assert_eq!(holds(&["c"]), [false, false]);
    assert_eq!(holds(&["c", "a"]), [true, false]);
}

#[test]
fn more_regions_than_a_set_holds_are_an_error() {
    let list = |count: usize| {
        (0..count)
            .map(|at| server(&format!("i-{at}"), "desk", &format!("r-{at}")))
            .collect::<Vec<_>>()
    };
    let spec = |count| TableSpec {
        services: vec![service("desk")],
        servers: list(count),
        ..TableSpec::default()
    };
    assert!(Table::build(spec(64)).is_ok());
    assert_eq!(
        Table::build(spec(65)).expect_err("too many"),
        TableError::TooManyRegions { max: 64 }
    );
}

#[test]
fn a_route_without_an_objective_defaults_to_a_second_within_its_timeout() {
    let target = |target_latency_ms, timeout_ms| {
        let spec = RouteSpec {
            timeout_ms,
            target_latency_ms,
            ..route()
        };
        Route {
            spec,
            total_weight: 1,
        }
        .latency_objective_ms()
    };
    assert_eq!(
        [target(300, 5000), target(0, 5000), target(0, 400)],
        [300, 1000, 400]
    );
}

#[test]
fn a_service_has_the_shortest_objective_of_its_routes() {
    let spec = |prefix: &str, target_latency_ms| RouteSpec {
        prefix: prefix.into(),
        target_latency_ms,
        ..route()
    };
    let routes = vec![spec("/a/", 900), spec("/b/", 300), spec("/c/", 600)];
    let services = vec![service("desk"), service("other")];
    let table = Table::build(TableSpec {
        routes,
        services,
        ..TableSpec::default()
    })
    .expect("a table");
    assert_eq!(
        [
            table.latency_objective_ms(0),
            table.latency_objective_ms(1),
            table.latency_objective_ms(9)
        ],
        [300, 0, 0]
    );
}
