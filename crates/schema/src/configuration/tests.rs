//! Configurations that are accepted, and at least one for each reason for rejection.

use assert_matches::assert_matches;
use serde_json::{Value, json};

use super::*;

fn valid() -> Value {
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

/// Returns the error for the valid configuration with one value replaced, and checks that its text
/// is one line.
fn rejection(pointer: &str, replacement: Value) -> ConfigurationError {
    let mut value = valid();
    *value.pointer_mut(pointer).expect("the pointer exists") = replacement;
    let error = parse(&value).expect_err("rejected");
    assert!(!error.to_string().contains('\n'), "{error}");
    error
}

#[test]
fn a_valid_configuration_is_accepted_and_unknown_keys_are_ignored() {
    let configuration = parse(&valid()).expect("valid");
    assert_eq!(configuration.generation, 7);
    let backend = |service, weight| WeightedBackend { service, weight };
    assert_eq!(
        configuration.routes[1].weighted_backends(),
        [backend("model", 90.0), backend("records", 0.0)]
    );
    assert_eq!(configuration.services[1].health_check, "/healthz");
    assert_eq!(configuration.limits.idle_timeout_ms, 15_000);
}

#[test]
fn a_truncated_configuration_is_rejected() {
    let body = valid().to_string();
    for end in 0..body.len() {
        let error = Configuration::parse(&body.as_bytes()[..end]).expect_err("truncated");
        assert_matches!(error, ConfigurationError::Malformed(_));
    }
}

#[test]
fn a_malformed_field_is_named_with_its_path() {
    let line = rejection("/routes/1/type", json!("other")).to_string();
    assert!(
        line.starts_with(
            "the configuration can't be read: routes[1].type: unknown variant `other`"
        ),
        "{line}"
    );
    let line = Configuration::parse(b"no JSON").expect_err("malformed");
    assert!(
        line.to_string()
            .starts_with("the configuration can't be read: expected"),
        "{line}"
    );
}

#[test]
fn trailing_characters_are_rejected() {
    let body = format!("{}{{", valid());
    assert_matches!(
        Configuration::parse(body.as_bytes()),
        Err(ConfigurationError::Malformed(_))
    );
}

#[test]
fn an_unknown_service_is_rejected() {
    let error = rejection("/routes/0/backend", json!("nobody"));
    assert_matches!(error, ConfigurationError::UnknownService { route, service } if route == "one" && service == "nobody");
    let error = rejection("/routes/1/traffic_split/1/backend", json!("nobody"));
    assert_matches!(error, ConfigurationError::UnknownService { route, .. } if route == "two");
}

#[test]
fn routes_with_the_same_host_and_prefix_are_rejected() {
    let error = rejection("/routes/1/path_prefix", json!("/x/"));
    assert_matches!(error, ConfigurationError::DuplicateRoute { first, second } if first == "one" && second == "two");
}

#[test]
fn hosts_are_compared_case_insensitively() {
    let mut value = valid();
    value["routes"][1]["path_prefix"] = json!("/x/");
    value["routes"][1]["hostname"] = json!("A.Example");
    assert_matches!(
        parse(&value),
        Err(ConfigurationError::DuplicateRoute { .. })
    );
}

#[test]
fn the_same_prefix_on_another_host_is_accepted() {
    let mut value = valid();
    value["routes"][1]["path_prefix"] = json!("/x/");
    value["routes"][1]["hostname"] = json!("b.example");
    assert_matches!(parse(&value), Ok(_));
}

#[test]
fn weights_that_sum_to_0_are_rejected() {
    let error = rejection("/routes/1/traffic_split/0/weight", json!(0));
    assert_matches!(error, ConfigurationError::ZeroWeightSum(route) if route == "two");
    let error = rejection("/routes/1/traffic_split", json!([]));
    assert_matches!(error, ConfigurationError::ZeroWeightSum(_));
    let error = rejection("/routes/1/traffic_split/0/weight", json!(-1));
    assert_matches!(error, ConfigurationError::OutOfRange(_));
}

#[test]
fn a_timeout_of_0_is_rejected() {
    let error = rejection("/routes/0/timeout_ms", json!(0));
    assert_matches!(error, ConfigurationError::ZeroTimeout(route) if route == "one");
}

#[test]
fn a_duplicate_service_is_rejected() {
    let error = rejection("/services/1/name", json!("model"));
    assert_matches!(error, ConfigurationError::DuplicateService(name) if name == "model");
}

#[test]
fn a_route_without_exactly_one_of_backend_and_split_is_rejected() {
    assert_matches!(
        rejection("/routes/0/backend", Value::Null),
        ConfigurationError::BackendOrSplit(_)
    );
}

#[test]
fn values_out_of_range_are_rejected() {
    assert_matches!(
        rejection("/routes/0/path_prefix", json!("x/")),
        ConfigurationError::OutOfRange(_)
    );
    assert_matches!(
        rejection("/routes/0/hostname", json!("")),
        ConfigurationError::OutOfRange(_)
    );
    assert_matches!(
        rejection("/routes/0/type", json!("other")),
        ConfigurationError::Malformed(_)
    );
    assert_matches!(
        rejection("/generation", json!(-1)),
        ConfigurationError::Malformed(_)
    );
}

/// The text is part of the response to an operator's `PUT /api/config`.
#[test]
fn each_value_out_of_range_is_named_in_one_line() {
    let mut value = valid();
    value["routes"][0]["hostname"] = json!("");
    value["routes"][0]["path_prefix"] = json!("x/");
    value["routes"][1]["traffic_split"][1]["weight"] = json!(-1);
    value["services"][1]["name"] = json!("");
    let error = parse(&value).expect_err("rejected");
    assert_eq!(
        error.to_string(),
        "the configuration is invalid: routes[0].hostname: length is lower than 1; \
         routes[0].path_prefix: begins and ends with a slash; \
         routes[1].traffic_split[1].weight: lower than 0; services[1].name: length is lower than 1"
    );
}

#[test]
fn hundreds_of_routes_are_accepted() {
    let mut value = valid();
    let routes = (0..350).map(|number| {
        let mut route = valid()["routes"][number % 2].clone();
        route["name"] = json!(format!("r{number}"));
        route["path_prefix"] = json!(format!("/r{number}/"));
        route
    });
    value["routes"] = routes.collect();
    assert_eq!(parse(&value).expect("valid").routes.len(), 350);
}
