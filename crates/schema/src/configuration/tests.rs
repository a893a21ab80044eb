//! Configurations: what is taken, and each kind that is refused.

use assert_matches::assert_matches;
use serde_json::{Value, json};

use super::*;

fn sound() -> Value {
    json!({
        "generation": 7,
        "routes": [
            {"name": "one", "hostname": "a.example", "path_prefix": "/x/", "type": "streaming",
             "timeout_ms": 12000, "backend": "model", "session_affinity": true, "gap_aim_ms": 600},
            {"name": "two", "hostname": "a.example", "path_prefix": "/y/", "type": "unsafe", "timeout_ms": 2500,
             "traffic_split": [{"backend": "model", "weight": 90}, {"backend": "records", "weight": 0}]}
        ],
        "services": [
            {"name": "model", "health_check": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
             "runtime": {"capacity": 64, "stride": 7, "models": [{"name": "m"}]}},
            {"name": "records"}
        ],
        "limits": {"max_header_bytes": 16384}
    })
}

fn parse(value: &Value) -> Result<Configuration, ConfigurationError> {
    Configuration::parse(value.to_string().as_bytes())
}

/// The refusal of the sound configuration with one value exchanged; it is one line.
fn refusal(pointer: &str, instead: Value) -> ConfigurationError {
    let mut value = sound();
    *value.pointer_mut(pointer).expect("there") = instead;
    let error = parse(&value).expect_err("refused");
    assert!(!error.to_string().contains('\n'), "{error}");
    error
}

#[test]
fn a_sound_one_is_taken_and_unknown_keys_are_ignored() {
    let configuration = parse(&sound()).expect("sound");
    assert_eq!(configuration.generation, 7);
    assert_eq!(
        configuration.routes[1].splits(),
        [("model", 90.0), ("records", 0.0)]
    );
    assert_eq!(configuration.services[1].health_check, "/healthz");
    assert_eq!(configuration.limits.idle_timeout_ms, 15_000);
}

#[test]
fn one_cut_short_anywhere_is_refused() {
    let body = sound().to_string();
    for end in 0..body.len() {
        let error = Configuration::parse(&body.as_bytes()[..end]).expect_err("cut short");
        assert_matches!(error, ConfigurationError::Unreadable(_));
    }
}

#[test]
fn more_behind_the_end_is_refused() {
    let body = format!("{}{{", sound());
    assert_matches!(
        Configuration::parse(body.as_bytes()),
        Err(ConfigurationError::Unreadable(_))
    );
}

#[test]
fn an_unknown_service_is_refused() {
    let error = refusal("/routes/0/backend", json!("nobody"));
    assert_matches!(error, ConfigurationError::UnknownService { route, service } if route == "one" && service == "nobody");
    let error = refusal("/routes/1/traffic_split/1/backend", json!("nobody"));
    assert_matches!(error, ConfigurationError::UnknownService { route, .. } if route == "two");
}

#[test]
fn the_same_host_and_prefix_are_refused() {
    let error = refusal("/routes/1/path_prefix", json!("/x/"));
    assert_matches!(error, ConfigurationError::SamePlace { first, second } if first == "one" && second == "two");
}

#[test]
fn hosts_are_the_same_in_either_case() {
    let mut value = sound();
    value["routes"][1]["path_prefix"] = json!("/x/");
    value["routes"][1]["hostname"] = json!("A.Example");
    assert_matches!(parse(&value), Err(ConfigurationError::SamePlace { .. }));
}

#[test]
fn the_same_prefix_on_another_host_is_taken() {
    let mut value = sound();
    value["routes"][1]["path_prefix"] = json!("/x/");
    value["routes"][1]["hostname"] = json!("b.example");
    assert_matches!(parse(&value), Ok(_));
}

#[test]
fn weights_that_sum_to_0_are_refused() {
    let error = refusal("/routes/1/traffic_split/0/weight", json!(0));
    assert_matches!(error, ConfigurationError::NoWeight(route) if route == "two");
    let error = refusal("/routes/1/traffic_split", json!([]));
    assert_matches!(error, ConfigurationError::NoWeight(_));
    let error = refusal("/routes/1/traffic_split/0/weight", json!(-1));
    assert_matches!(error, ConfigurationError::OutOfRange(_));
}

#[test]
fn a_timeout_of_0_is_refused() {
    let error = refusal("/routes/0/timeout_ms", json!(0));
    assert_matches!(error, ConfigurationError::NoTimeout(route) if route == "one");
}

#[test]
fn a_service_named_twice_is_refused() {
    let error = refusal("/services/1/name", json!("model"));
    assert_matches!(error, ConfigurationError::ServiceTwice(name) if name == "model");
}

#[test]
fn a_route_needs_one_place_to_go_to() {
    assert_matches!(
        refusal("/routes/0/backend", Value::Null),
        ConfigurationError::NoBackend(_)
    );
}

#[test]
fn values_out_of_range_are_refused() {
    assert_matches!(
        refusal("/routes/0/path_prefix", json!("x/")),
        ConfigurationError::OutOfRange(_)
    );
    assert_matches!(
        refusal("/routes/0/hostname", json!("")),
        ConfigurationError::OutOfRange(_)
    );
    assert_matches!(
        refusal("/routes/0/type", json!("other")),
        ConfigurationError::Unreadable(_)
    );
    assert_matches!(
        refusal("/generation", json!(-1)),
        ConfigurationError::Unreadable(_)
    );
}

#[test]
fn hundreds_of_routes_are_taken() {
    let mut value = sound();
    let routes = (0..350).map(|number| {
        let mut route = sound()["routes"][number % 2].clone();
        route["name"] = json!(format!("r{number}"));
        route["path_prefix"] = json!(format!("/r{number}/"));
        route
    });
    value["routes"] = routes.collect();
    assert_eq!(parse(&value).expect("sound").routes.len(), 350);
}
