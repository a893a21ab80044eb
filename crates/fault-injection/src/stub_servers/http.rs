//! As much of HTTP/1.1 as the stub servers need.

use std::io::{self, BufRead, Read as _};

/// Reads the next request and returns its head; `None` at the end of the connection. The body is
/// discarded as it is read, however long it is.
pub(super) fn read_request(connection: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if connection.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header(&head, "content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0u64);
    let read = io::copy(&mut connection.take(length), &mut io::sink()).ok()?;
    (read == length).then_some(head)
}

/// The value of a header in a head, whatever the case of its name.
#[must_use]
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (candidate, value) = line.split_once(':')?;
        candidate.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

#[cfg(test)]
mod tests;
