use super::*;
use crate::test_support::header_map;

fn sorted_names(headers: &[(HeaderName, HeaderValue)]) -> Vec<&str> {
    let mut names: Vec<&str> = headers.iter().map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    names
}

#[test]
fn hop_by_hop_headers_and_those_named_by_connection_are_not_forwarded() {
    let forwarded = forwarded_headers(&header_map(&[
        ("Host", "a"),
        ("Connection", "keep-alive, X-Mine"),
        ("X-Mine", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "5"),
        ("Expect", "100-continue"),
        ("Priority", "3"),
        ("Last-Event-Id", "4"),
        ("X-Ironmast-Deadline-Ms", "5"),
        ("X-Ironmast-Expect-Instance", "i-1"),
        ("X-Ironmast-Request-Id", "9c"),
        ("X-Other", "1"),
    ]));
    assert_eq!(
        sorted_names(&forwarded),
        ["host", "x-ironmast-request-id", "x-other"]
    );
}

#[test]
fn signature_and_request_id_of_a_response_are_returned() {
    let returned = returned_headers(&header_map(&[
        ("Connection", "close"),
        ("Keep-Alive", "timeout=5"),
        ("Content-Length", "5"),
        ("X-Ironmast-Request-Id", "9c"),
        ("X-Ironmast-Server-Signature", "3e"),
        ("Priority", "3"),
    ]));
    assert_eq!(
        sorted_names(&returned),
        [
            "priority",
            "x-ironmast-request-id",
            "x-ironmast-server-signature"
        ]
    );
}
