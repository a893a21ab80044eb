//! Pieces of HTTP messages.

/// A server-sent event.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// A chunk of a body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The last chunk of a body.
pub(crate) const END_OF_CHUNKS: &str = "0\r\n\r\n";

/// The length of the body that a head in lower case announces.
pub(crate) fn content_length(head: &str) -> Option<usize> {
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    Some(length.parse().expect("a length"))
}
