use super::*;
use crate::test_support::header_map;

const SIGNATURE: (&str, &str) = ("x-ironmast-server-signature", "3e");
const NOT_EXECUTED: (&str, &str) = ("x-ironmast-not-executed", "1");

fn class_of(status: u16, lines: &[(&str, &str)]) -> ResponseClass {
    let status = StatusCode::from_u16(status).expect("a status");
    classify(status, &header_map(lines), false, "i-1")
}

#[test]
fn success_must_be_signed_and_not_encoded() {
    assert_eq!(class_of(200, &[SIGNATURE]), ResponseClass::Success);
    assert_eq!(
        class_of(200, &[]),
        ResponseClass::Discarded(Outcome::MalformedResponse)
    );
    for signatures in [
        &[("x-ironmast-server-signature", "")][..],
        &[("x-ironmast-server-signature", " ")][..],
        &[SIGNATURE, SIGNATURE][..],
        &[SIGNATURE, ("x-ironmast-server-signature", "4f")][..],
    ] {
        assert_eq!(
            class_of(200, signatures),
            ResponseClass::Discarded(Outcome::MalformedResponse),
            "{signatures:?}"
        );
    }
    assert_eq!(
        class_of(200, &[SIGNATURE, ("content-encoding", "gzip")]),
        ResponseClass::Discarded(Outcome::MalformedResponse)
    );
}

#[test]
fn only_the_not_executed_header_says_that_a_request_was_not_executed() {
    let not_executed = |retry_after| ResponseClass::Discarded(Outcome::NotExecuted { retry_after });
    let server_error = ResponseClass::Forwardable(Outcome::ServerError);
    let rejected = ResponseClass::Forwardable(Outcome::ClientError);
    assert_eq!(class_of(503, &[NOT_EXECUTED]), not_executed(None));
    assert_eq!(
        class_of(429, &[NOT_EXECUTED, ("retry-after", "0.25")]),
        not_executed(Some(250_000))
    );
    assert_eq!(class_of(503, &[SIGNATURE]), server_error);
    assert_eq!(class_of(504, &[SIGNATURE]), server_error);
    assert_eq!(class_of(400, &[NOT_EXECUTED]), rejected);
    assert_eq!(class_of(400, &[SIGNATURE]), rejected);
}

#[test]
fn misdirected_request_was_not_executed() {
    let by_instance = |id| class_of(421, &[("x-ironmast-instance-id", id)]);
    assert_eq!(
        by_instance("i-2"),
        ResponseClass::Discarded(Outcome::WrongInstance)
    );
    let with_version = |id| {
        let headers = header_map(&[("x-ironmast-instance-id", id)]);
        classify(StatusCode::MISDIRECTED_REQUEST, &headers, true, "i-1")
    };
    assert_eq!(
        with_version("i-1"),
        ResponseClass::Discarded(Outcome::WrongVersion)
    );
    assert_eq!(
        with_version("i-2"),
        ResponseClass::Discarded(Outcome::WrongInstance)
    );
}

#[test]
fn statuses_that_imply_not_executed_are_408_421_429_and_503() {
    let implying = (400..600)
        .filter(|code| implies_not_executed(StatusCode::from_u16(*code).expect("a status")));
    assert_eq!(implying.collect::<Vec<u16>>(), [408, 421, 429, 503]);
}

#[test]
fn excessive_or_invalid_retry_after_is_bounded_or_ignored() {
    let parsed = |value| parse_retry_after(&header_map(&[("retry-after", value)]));
    assert_eq!(parsed("1e30"), Some(60_000_000));
    assert_eq!(parsed("-1"), None);
    assert_eq!(parsed("soon"), None);
}
