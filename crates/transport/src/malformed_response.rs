//! The reasons for which a server's response is rejected before it is delivered to a client, or in
//! the middle of its delivery.

/// What is wrong with a response that a server sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedResponse {
    /// The head is not valid HTTP/1.x, or has more than 64 headers.
    #[error("response head is not valid HTTP/1.x or has too many headers")]
    Head,
    /// The head is longer than 16 KiB, or has no end within that length.
    #[error("response head exceeds the size limit")]
    HeadTooLong,
    /// The interim (1xx) heads together are longer than 16 KiB.
    #[error("interim (1xx) response heads exceed the size limit")]
    InterimHeadsTooLong,
    /// The server switches to another protocol (status 101, or `Upgrade: websocket`).
    #[error("response switches to another protocol")]
    ProtocolSwitch,
    /// `Content-Length`, `Transfer-Encoding`, `Connection` and the HTTP version are invalid,
    /// contradict each other, or leave the end of the body open.
    #[error("response framing headers are invalid, contradictory or do not delimit the body")]
    Framing,
    /// The announced length exceeds [`MAX_BODY_BYTES`](crate::body::MAX_BODY_BYTES).
    #[error("announced Content-Length exceeds the limit")]
    ContentLength,
    /// A body is announced, but the status permits none.
    #[error("response announces a body that its status does not permit")]
    UnexpectedBody,
    /// The body is longer than the limit, framing included, or one of its chunks is announced to
    /// be.
    #[error("response body exceeds the size limit")]
    BodyTooLong,
    /// A chunk-size line is malformed.
    #[error("chunk-size line of the response is malformed")]
    ChunkSize,
    /// A chunk-size line is longer than 8 KiB.
    #[error("chunk-size line of the response exceeds the size limit")]
    ChunkSizeTooLong,
    /// The data of a chunk is not followed by CRLF.
    #[error("chunk of the response is not followed by CRLF")]
    ChunkEnd,
    /// The trailers together are longer than 8 KiB.
    #[error("response trailers exceed the size limit")]
    TrailersTooLong,
    /// The header that identifies the request is missing.
    #[error("response lacks the header that identifies its request")]
    MissingExpectedHeader,
    /// The header that identifies the request occurs several times.
    #[error("response repeats the header that identifies its request")]
    RepeatedExpectedHeader,
    /// The HTTP client library reads past the end that the framing gives.
    #[error("HTTP client read past the end of the response")]
    ReadPastEnd,
}
