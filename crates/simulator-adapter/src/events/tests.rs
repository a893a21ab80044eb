use super::*;

#[test]
fn hex_digits_are_decoded_as_bytes() {
    assert_eq!(decode_hex("0aff").expect("hex"), [0x0a, 0xff]);
}
