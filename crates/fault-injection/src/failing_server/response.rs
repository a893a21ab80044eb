//! Writes complete and incomplete responses to a request.

use super::Dialect;
use super::request::RequestHead;

/// The number of events of a stream.
const EVENTS: u64 = 2;

/// The events of the stream made for a request, from the one with the number `first` on.
#[must_use]
pub fn events(id: &str, first: u64) -> String {
    (first..=EVENTS).fold(String::new(), |stream, event| {
        stream + &format!("id: {event}\ndata: {id}\n\n")
    })
}

/// Writes the responses to one request.
pub(super) struct ResponseWriter<'a> {
    pub(super) dialect: &'a Dialect,
    pub(super) request: &'a RequestHead,
}

impl ResponseWriter<'_> {
    /// The header that names a request, in the dialects that have one.
    pub(super) fn id_header(&self, id: &str) -> String {
        if self.dialect.echoes_id {
            format!("{}: {id}\r\n", self.dialect.id_header)
        } else {
            String::new()
        }
    }

    /// The header that names the request of the response.
    pub(super) fn own_id_header(&self) -> String {
        self.id_header(self.request.id.as_deref().unwrap_or(""))
    }

    fn content_type(&self) -> &'static str {
        if self.request.is_stream {
            "Content-Type: text/event-stream\r\n"
        } else {
            ""
        }
    }

    /// A head that names its request and is signed.
    pub(super) fn head(&self, status: &str, framing: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\n{}{}{}{framing}\r\n",
            self.own_id_header(),
            self.dialect.signature,
            self.content_type()
        )
    }

    /// The body of a complete response to a GET request.
    fn content(&self) -> String {
        let id = self.request.id.as_deref().unwrap_or("");
        if self.request.is_stream {
            events(id, self.request.last_event + 1)
        } else {
            format!("answer to {id}")
        }
    }

    /// The header with the length of the body.
    pub(super) fn length_header(&self) -> String {
        format!("Content-Length: {}\r\n", self.content().len())
    }

    /// The body of a complete response to this request; a HEAD request has none.
    pub(super) fn body(&self) -> String {
        if self.request.is_head {
            String::new()
        } else {
            self.content()
        }
    }

    /// A complete response with further headers.
    pub(super) fn complete(&self, status: &str, headers: &str) -> String {
        let framing = self.length_header() + headers;
        self.head(status, &framing) + &self.body()
    }

    /// A complete response to another request.
    pub(super) fn foreign(&self) -> String {
        let body = "answer to another";
        format!(
            "HTTP/1.1 200 OK\r\n{}{}Content-Length: {}\r\n\r\n{body}",
            self.id_header("another"),
            self.dialect.signature,
            body.len()
        )
    }

    /// A head with these framing headers, followed by a body.
    pub(super) fn framed(&self, framing: &str, body: &str) -> String {
        self.head("200 OK", framing) + body
    }

    /// The body as one chunk, without the last chunk.
    pub(super) fn first_chunk(&self) -> String {
        let body = self.body();
        format!("{:x}\r\n{body}\r\n", body.len())
    }

    /// The body in chunks.
    pub(super) fn chunks(&self) -> String {
        self.first_chunk() + LAST_CHUNK
    }
}

/// The end of a chunked body.
pub(super) const LAST_CHUNK: &str = "0\r\n\r\n";
