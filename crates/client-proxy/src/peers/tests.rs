use super::*;

/// The second byte of the buffer may be left of an earlier datagram.
#[test]
fn only_a_datagram_with_the_whole_tag_is_of_membership() {
    let from = SocketAddr::from(([127, 0, 0, 1], 9));
    let is_of_membership = |data: &[u8]| Datagram { data, from }.is_of_membership();
    for length in 0..PROTOCOL_TAG.len() {
        assert!(!is_of_membership(&PROTOCOL_TAG[..length]), "{length} bytes");
    }
    assert!(is_of_membership(&PROTOCOL_TAG));
    let tagged = [&PROTOCOL_TAG[..], b"ping"].concat();
    assert!(is_of_membership(&tagged));
}
