use std::sync::Arc;

use super::Router;
use crate::table::{Route, RouteKind, RouteSpec};
use crate::test_support;

fn route(host: &str, prefix: &str) -> Arc<Route> {
    let spec = RouteSpec {
        host: host.into(),
        prefix: prefix.into(),
        ..test_support::route(prefix, RouteKind::Idempotent)
    };
    let total_weight = 1;
    Arc::new(Route { spec, total_weight })
}

fn router(routes: &[(&str, &str)]) -> Router {
    Router::build(
        routes
            .iter()
            .map(|(host, prefix)| route(host, prefix))
            .collect(),
    )
    .expect("routes")
}

fn found<'a>(router: &'a Router, host: &str, path: &str) -> Option<&'a str> {
    router.route(host, path).map(|route| &*route.spec.name)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let router = router(&[
        ("a", "/x/"),
        ("a", "/x/y/"),
        ("a", "/x/yy/"),
        ("b", "/x/y/z/"),
    ]);
    assert_eq!(found(&router, "a", "/x/y/z/1"), Some("/x/y/"));
    assert_eq!(found(&router, "a", "/x/yz/1"), Some("/x/"));
    assert_eq!(found(&router, "a", "/x/"), Some("/x/"));
    assert_eq!(found(&router, "a", "/x"), None);
    assert_eq!(found(&router, "a", "/y/"), None);
    assert_eq!(found(&router, "b", "/x/y/"), None);
    assert_eq!(found(&router, "c", "/x/y/"), None);
}

#[test]
fn a_query_is_not_part_of_the_path() {
    let router = router(&[("a", "/x/"), ("a", "/x/y/")]);
    assert_eq!(found(&router, "a", "/x/1?to=/x/y/"), Some("/x/"));
    assert_eq!(found(&router, "a", "/x?/"), None);
}

#[test]
fn hosts_are_compared_without_case_and_port() {
    let router = router(&[("Desk.Example", "/x/"), ("[::1]", "/y/")]);
    for host in [
        "desk.example",
        "DESK.example",
        "desk.example:8080",
        "Desk.Example:80",
    ] {
        assert_eq!(found(&router, host, "/x/1"), Some("/x/"), "{host}");
    }
    assert_eq!(found(&router, "[::1]", "/y/1"), Some("/y/"));
    assert_eq!(found(&router, "[::1]:80", "/y/1"), Some("/y/"));
    assert_eq!(found(&router, "desk.example.org", "/x/1"), None);
}

#[test]
fn a_host_with_a_port_matches_only_requests_that_name_the_port() {
    let router = router(&[("a:80", "/x/"), ("a", "/x/"), ("a", "/"), ("b:80", "/x/")]);
    let host = |host| router.route(host, "/x/1").map(|route| &*route.spec.host);
    assert_eq!(
        [host("a:80"), host("a:81"), host("a")],
        [Some("a:80"), Some("a"), Some("a")]
    );
    assert_eq!(
        [host("B:80"), host("b"), host("b:81")],
        [Some("b:80"), None, None]
    );
    assert_eq!(
        router.route("a:80", "/y").map(|route| &*route.spec.host),
        Some("a")
    );
}

#[test]
fn the_root_prefix_matches_what_no_other_prefix_does() {
    let router = router(&[("a", "/"), ("a", "/x/")]);
    assert_eq!(found(&router, "a", "/"), Some("/"));
    assert_eq!(found(&router, "a", "/y"), Some("/"));
    assert_eq!(found(&router, "a", ""), None);
    assert_eq!(found(&router, "a", "*"), None);
}

#[test]
fn non_ascii_paths_are_matched() {
    let router = router(&[("a", "/ä/"), ("a", "/ab/")]);
    assert_eq!(found(&router, "a", "/ä/1"), Some("/ä/"));
    assert_eq!(found(&router, "a", "/aä/"), None);
}

#[test]
fn many_routes_are_all_found() {
    let names: Vec<String> = (0..700).map(|number| format!("/r{number}/")).collect();
    let routes: Vec<(&str, &str)> = names.iter().map(|name| ("a", name.as_str())).collect();
    let router = router(&routes);
    assert_eq!((router.len(), router.is_empty()), (700, false));
    assert!(
        names
            .iter()
            .all(|name| found(&router, "a", &format!("{name}x")) == Some(name))
    );
}

#[test]
fn a_duplicate_host_and_prefix_is_an_error() {
    let build = |hosts: [&str; 2]| Router::build(hosts.map(|host| route(host, "/x/")).into());
    assert!(build(["a", "A"]).is_err() && build(["a:80", "A:80"]).is_err());
    assert!(build(["a", "a:80"]).is_ok());
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..Default::default()
    })]

    /// The lookup agrees with a linear search over every prefix.
    #[test]
    fn lookup_agrees_with_a_search_over_every_prefix(
        prefixes in proptest::collection::btree_set("(/[ab]{1,2}){0,4}/", 1..12),
        path in "(/[abc]{1,2}){0,5}/?",
    ) {
        let routes: Vec<(&str, &str)> = prefixes.iter().map(|prefix| ("a", prefix.as_str())).collect();
        let longest = prefixes.iter().filter(|prefix| path.starts_with(*prefix)).max_by_key(|prefix| prefix.len());
        let router = router(&routes);
        proptest::prop_assert_eq!(found(&router, "a", &path), longest.map(String::as_str));
    }
}
