use std::io::Cursor;

use super::*;

fn request(path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Unread bytes of a body would be parsed as the next request.
#[test]
fn a_long_body_is_read_to_its_end() {
    let long = vec![b'x'; (1 << 20) + 17];
    let bytes = [request("/first", &long), request("/second", b"y")].concat();
    let mut connection = Cursor::new(bytes);
    for path in ["/first", "/second"] {
        let head = read_request(&mut connection).expect("a request");
        assert!(head.starts_with(&format!("POST {path} ")), "{head}");
    }
    assert_eq!(read_request(&mut connection), None);
}

#[test]
fn a_request_with_a_truncated_body_is_not_returned() {
    let bytes = request("/first", b"0123456789");
    let mut connection = Cursor::new(&bytes[..bytes.len() - 1]);
    assert_eq!(read_request(&mut connection), None);
}
