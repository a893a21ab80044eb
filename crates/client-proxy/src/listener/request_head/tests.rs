//! Tests of `request_head.rs`.

use std::collections::BTreeMap;

use actix_http::Method;
use actix_http::header::{HeaderName, HeaderValue};

use super::*;
use crate::testing::deployment;

/// Deadline of the class `balance` in the test deployment, in µs.
const CLIENT_DEADLINE: Micros = 9_000_000;

fn parse(
    method: Method,
    target: &str,
    headers: &[(&'static str, &'static str)],
) -> Result<RequestHead, RequestError> {
    let mut request = Request::new();
    request.head_mut().method = method;
    request.head_mut().uri = target.parse().expect("a target");
    let headers: BTreeMap<_, _> = headers.iter().copied().collect();
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        let headers = request.headers_mut();
        headers.insert(name, HeaderValue::from_static(value));
    }
    RequestHead::parse(&request, &deployment())
}

fn balance(headers: &[(&'static str, &'static str)]) -> Result<RequestHead, RequestError> {
    let name = [("x-txn", "t1")];
    let headers: Vec<_> = name.iter().chain(headers).copied().collect();
    parse(Method::GET, "/balance?x=1&k=7", &headers)
}

#[test]
fn the_first_fault_in_the_order_of_the_protocol_is_reported() {
    let not_allowed = |allowed| RequestError::MethodNotAllowed { allowed };
    let named = [("x-txn", "t1")];
    let malformed = [
        ("x-txn", "t1"),
        ("x-remaining", "5"),
        ("content-length", "99999999"),
    ];
    let too_long = [("x-txn", "t1"), ("content-length", "99999999")];
    for (method, target, headers, expected) in [
        (Method::PUT, "/other", &[][..], RequestError::UnknownClass),
        (Method::POST, "/balance", &[], not_allowed("GET")),
        (Method::GET, "/timesheet-post", &[], not_allowed("POST")),
        (Method::GET, "/balance", &[], RequestError::MissingTxn),
        (
            Method::GET,
            "/balance",
            &[("x-txn", "")],
            RequestError::MissingTxn,
        ),
        (
            Method::POST,
            "/timesheet-post",
            &named,
            RequestError::MissingIdempotencyKey,
        ),
        (
            Method::POST,
            "/deposit-order",
            &malformed,
            RequestError::MalformedRemaining,
        ),
        (
            Method::POST,
            "/deposit-order",
            &too_long,
            RequestError::BodyTooLong,
        ),
    ] {
        let error = parse(method, target, headers).err();
        assert_eq!(error, Some(expected), "{target} {headers:?}");
    }
}

#[test]
fn a_valid_head_is_read_with_its_target_unchanged() {
    let headers = [("x-resent", "1"), ("content-length", "12")];
    let head = balance(&headers).expect("valid");
    assert_eq!((head.class, head.is_safe), (2, true));
    assert_eq!(head.target, "/balance?x=1&k=7");
    assert_eq!((head.txn.as_slice(), head.subject), (&b"t1"[..], Some(7)));
    assert_eq!(head.client_timeout, CLIENT_DEADLINE);
    assert!(head.is_client_retry);
    assert_eq!(head.content_length, Some(12));
    assert_eq!((head.tenant, head.idempotency_key), (None, None));
}

#[test]
fn the_remaining_time_has_digits_and_a_unit_and_is_bounded() {
    for (value, expected) in [
        ("480m", Some(480_000)),
        ("480000u", Some(480_000)),
        ("999999999m", Some(999_999_999_000)),
        ("1000000000m", None),
        ("1000000000000u", None),
        ("18446744073709551615m", None),
        ("99999999999999999999u", None),
        ("+5m", None),
        ("5s", None),
        ("5", None),
        ("m", None),
        ("", None),
    ] {
        let head = balance(&[("x-remaining", value)]);
        let remaining = head.ok().map(|head| head.client_timeout);
        assert_eq!(remaining, expected, "{value}");
    }
}
