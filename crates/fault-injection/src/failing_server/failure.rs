//! The failures of an exchange that a server can produce.

/// How a server leaves a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The connection stays open.
    Kept,
    /// The connection is closed in an orderly way (FIN).
    Closed,
    /// The connection is reset (RST).
    Reset,
}

/// Where and how an exchange fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No failure: the response is complete and well framed.
    None,
    /// The request is read and no response is sent.
    Silence,
    /// The connection ends before the head.
    NoHead(Connection),
    /// The connection ends within the head.
    InHead(Connection),
    /// The connection ends within the head of an interim response.
    InInterim(Connection),
    /// The connection ends after an interim response with this status.
    AfterInterim(u16, Connection),
    /// An interim response with this status precedes the complete response.
    Interim(u16),
    /// The connection ends within a body with `Content-Length`.
    InBody(Connection),
    /// The connection ends within a chunked body.
    InChunks(Connection),
    /// The response is complete; the connection ends once the test calls
    /// [`super::FailingServer::release`].
    AfterResponse(Connection),
    /// Bytes that are not a response follow the complete response.
    TrailingBytes,
    /// The complete response is sent twice.
    DuplicateResponse,
    /// A response to another request follows the complete response.
    Foreign,
    /// The response is complete; a response to another request follows once the test calls
    /// [`super::FailingServer::release`].
    ForeignLater,
    /// A response to another request precedes the response.
    ForeignFirst,
    /// A response to another request is sent in place of the response, and the connection ends.
    ForeignInstead,
    /// A response to another request is sent in place of the response, and the connection stays
    /// open.
    ForeignAndSilence,
    /// The response does not carry the id of a request.
    MissingId,
    /// The response carries the ids of two requests.
    DuplicateId,
    /// The request is rejected with this status and the header that guarantees that it has not been
    /// executed, before its body is read. A server that keeps the connection reads the body
    /// afterwards.
    EarlyNotExecuted(u16, Connection),
    /// The request fails with status 500 before its body is read.
    EarlyError(Connection),
    /// The body has no length and ends with the connection.
    Unframed {
        /// Whether the head contains `Connection: close`.
        announced: bool,
        /// How the connection ends.
        end: Connection,
    },
    /// The head has both `Content-Length` and `Transfer-Encoding`.
    BothFramings,
    /// The head has two `Content-Length` headers.
    TwoLengths,
    /// The size of a chunk is not a number.
    BadChunk,
    /// The body of an HTTP/1.0 response is chunked.
    ChunksInHttp10,
    /// A response with status 204 has a body.
    BodyWith204,
    /// A complete response with this status and the header that guarantees that the request has not
    /// been executed.
    NotExecutedStatus(u16),
    /// A complete response with this status, without that header.
    Status(u16),
    /// A response with status 200 without the server's signature.
    Unsigned,
}

impl Failure {
    /// Whether the server ends the connection of its own accord although the client has received a
    /// complete response that does not announce it.
    #[must_use]
    pub fn ends_connection_after_response(self) -> bool {
        let end = match self {
            Failure::EarlyNotExecuted(_, end) | Failure::EarlyError(end) => end,
            _ => Connection::Kept,
        };
        end != Connection::Kept
    }
}
