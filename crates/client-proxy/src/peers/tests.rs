//! Tests of `peers.rs`.

use super::*;

/// Guards against classifying a short datagram by bytes that an earlier one left in the buffer.
#[test]
fn only_datagrams_with_the_full_protocol_tag_are_membership_datagrams() {
    let from = SocketAddr::from(([127, 0, 0, 1], 9));
    let is_membership = |data: &[u8]| Datagram { data, from }.is_membership();
    for length in 0..PROTOCOL_TAG.len() {
        assert!(!is_membership(&PROTOCOL_TAG[..length]), "{length} bytes");
    }
    assert!(is_membership(&PROTOCOL_TAG));
    let tagged = [&PROTOCOL_TAG[..], b"ping"].concat();
    assert!(is_membership(&tagged));
}
