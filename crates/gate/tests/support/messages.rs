//! Parts of HTTP messages, for the clients and servers of a test.

/// A server-sent event with this id.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// A chunk of a body in chunked transfer encoding.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The last chunk of a chunked body and its empty trailer.
pub(crate) const END_OF_CHUNKS: &str = "0\r\n\r\n";

/// The value of `Content-Length` in a head in lower case.
pub(crate) fn content_length(head: &str) -> Option<usize> {
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    Some(length.parse().expect("a content length"))
}
