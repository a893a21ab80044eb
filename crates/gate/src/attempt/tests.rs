use actix_http::header::{HeaderMap, HeaderName, HeaderValue};

use super::*;

const STAMP: (&str, &str) = ("x-ironmast-server-signature", "3e");

fn headers(lines: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    headers
}

fn means(status: u16, lines: &[(&str, &str)]) -> Meaning {
    let status = StatusCode::from_u16(status).expect("a status");
    meaning(status, &headers(lines), false, "i-1")
}

#[test]
fn a_success_needs_its_stamp_and_an_untouched_body() {
    assert_eq!(means(200, &[STAMP]), Meaning::Success);
    assert_eq!(means(200, &[]), Meaning::Ended(Outcome::MalformedResponse));
    assert_eq!(
        means(200, &[STAMP, ("content-encoding", "gzip")]),
        Meaning::Ended(Outcome::MalformedResponse)
    );
}

#[test]
fn only_the_mark_says_that_a_request_has_not_run() {
    let full = |wait| Meaning::Ended(Outcome::NotExecuted { retry_after: wait });
    let mark = ("x-ironmast-not-executed", "1");
    assert_eq!(means(503, &[mark]), full(None));
    assert_eq!(
        means(429, &[mark, ("retry-after", "0.25")]),
        full(Some(250_000))
    );
    assert_eq!(means(503, &[STAMP]), Meaning::Settled(Outcome::ServerError));
    assert_eq!(means(504, &[STAMP]), Meaning::Settled(Outcome::ServerError));
    assert_eq!(means(400, &[mark]), Meaning::Settled(Outcome::ClientError));
    assert_eq!(means(400, &[STAMP]), Meaning::Settled(Outcome::ClientError));
}

#[test]
fn a_misdirected_request_has_not_run() {
    let by = |id| means(421, &[("x-ironmast-instance-id", id)]);
    assert_eq!(by("i-2"), Meaning::Ended(Outcome::WrongInstance));
    let versioned = |id| {
        let status = StatusCode::MISDIRECTED_REQUEST;
        meaning(
            status,
            &headers(&[("x-ironmast-instance-id", id)]),
            true,
            "i-1",
        )
    };
    assert_eq!(versioned("i-1"), Meaning::Ended(Outcome::WrongVersion));
    assert_eq!(versioned("i-2"), Meaning::Ended(Outcome::WrongInstance));
}

#[test]
fn statuses_that_promise_are_known() {
    let promised =
        (400..600).filter(|code| promises(StatusCode::from_u16(*code).expect("a status")));
    assert_eq!(promised.collect::<Vec<u16>>(), [408, 421, 429, 503]);
}

#[test]
fn a_load_report_has_three_numbers() {
    let report = |value| load(&HeaderValue::from_static(value));
    let slots = Some(8);
    assert_eq!(
        report("3,0,8"),
        Some(LoadReport {
            running: 3,
            waiting: 0,
            slots,
            kv_cache: None
        })
    );
    assert_eq!(report("3,0"), None);
    assert_eq!(report("a,b,c"), None);
}

#[test]
fn absurd_waits_are_bounded() {
    let wait = |value| retry_after(&headers(&[("retry-after", value)]));
    assert_eq!(wait("1e30"), Some(60_000_000));
    assert_eq!(wait("-1"), None);
    assert_eq!(wait("soon"), None);
}
