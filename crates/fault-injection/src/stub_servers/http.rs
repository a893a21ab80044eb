//! As much of HTTP/1.1 as the stub servers need.

use std::io::BufRead;

/// The most bytes of a body that are read.
const MAX_BODY: usize = 1 << 20;

/// Reads the next request and returns its head; `None` at the end of the connection.
pub(super) fn read_request(connection: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if connection.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header(&head, "content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0usize);
    let mut body = vec![0; length.min(MAX_BODY)];
    connection.read_exact(&mut body).ok()?;
    Some(head)
}

/// The value of a header in a head, whatever the case of its name.
#[must_use]
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (candidate, value) = line.split_once(':')?;
        candidate.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
