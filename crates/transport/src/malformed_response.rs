//! Why a server's response is rejected before a client sees any of it, or the rest of it.

/// What is wrong with the bytes that a server sent for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedResponse {
    /// The head is not HTTP/1.x.
    #[error("its head can't be read")]
    Head,
    /// The head is longer than the limit.
    #[error("its head does not end")]
    HeadTooLong,
    /// The interim (1xx) heads together are longer than the limit.
    #[error("its interim heads do not end")]
    InterimHeadsTooLong,
    /// The server switches to another protocol.
    #[error("it changes the protocol")]
    ProtocolSwitch,
    /// `Content-Length`, `Transfer-Encoding`, `Connection` and the version contradict each other.
    #[error("its framing is not sound")]
    Framing,
    /// The announced length is longer than the limit.
    #[error("its length does not fit")]
    ContentLength,
    /// The status permits no body, and one is announced.
    #[error("it has a body where there can be none")]
    UnexpectedBody,
    /// The body is longer than the limit.
    #[error("its body is too long")]
    BodyTooLong,
    /// The line in front of a chunk is malformed.
    #[error("a chunk can't be read")]
    ChunkSize,
    /// The line in front of a chunk is longer than the limit.
    #[error("a chunk's size does not end")]
    ChunkSizeTooLong,
    /// A chunk is not followed by the end of its line.
    #[error("a chunk does not end")]
    ChunkEnd,
    /// The trailers are longer than the limit.
    #[error("its trailers do not end")]
    TrailersTooLong,
    /// The header that identifies the request is missing.
    #[error("it does not say whose answer it is")]
    MissingExpectedHeader,
    /// The header that identifies the request occurs several times.
    #[error("it names several requests")]
    RepeatedExpectedHeader,
    /// The client library reads on behind the end that the framing gives.
    #[error("it is read past its end")]
    ReadPastEnd,
}
