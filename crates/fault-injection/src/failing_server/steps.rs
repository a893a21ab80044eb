//! The steps with which a server produces a failure.

use super::Dialect;
use super::failure::{Connection, Failure};
use super::request::RequestHead;
use super::response::{LAST_CHUNK, ResponseWriter};

/// The header of a chunked body.
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// One step of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads the rest of the request.
    ReadBody {
        /// Whether the request is executed once its last byte has been read.
        runs: bool,
    },
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits until the test releases the server.
    AwaitRelease,
    /// Confirms to the test that the step after the release is done.
    ConfirmRelease,
    /// Closes the connection in an orderly way, and waits until the client has closed it too.
    Close,
    /// Closes the connection; this is an orderly close if every byte of the client has been read.
    Drop,
    /// Resets the connection.
    Reset,
    /// Does nothing until the client closes the connection.
    Stall,
}

const EXECUTE: Step = Step::ReadBody { runs: true };
const READ_WITHOUT_EXECUTION: Step = Step::ReadBody { runs: false };

fn write(text: String) -> Step {
    Step::Write(text.into_bytes())
}

/// Executes the request and writes `text`.
fn executed(text: String) -> Vec<Step> {
    vec![EXECUTE, write(text)]
}

/// Executes the request, writes `text`, then keeps, closes or resets the connection.
fn cut_short(text: String, connection: Connection) -> Vec<Step> {
    let mut steps = executed(text);
    steps.extend(end_of(connection));
    steps
}

fn end_of(connection: Connection) -> Option<Step> {
    match connection {
        Connection::Kept => None,
        Connection::Closed => Some(Step::Close),
        Connection::Reset => Some(Step::Reset),
    }
}

fn status_line(status: u16) -> String {
    format!("{status} Told")
}

fn interim(status: u16) -> String {
    format!("HTTP/1.1 {status} Interim\r\nLink: </a>\r\n\r\n")
}

/// The steps with which a server handles a request; without a failure it serves the request.
#[must_use]
pub fn steps(failure: Option<Failure>, request: &RequestHead, dialect: &Dialect) -> Vec<Step> {
    let writer = ResponseWriter { dialect, request };
    let failure = failure.unwrap_or(Failure::None);
    truncation(failure, &writer)
        .or_else(|| additional_response(failure, &writer))
        .or_else(|| early_response(failure, &writer))
        .or_else(|| malformed_response(failure, &writer))
        .unwrap_or_else(|| complete_response(failure, &writer))
}

/// The steps of a failure in which the connection ends before the response is complete, or in which
/// no response is sent.
fn truncation(failure: Failure, writer: &ResponseWriter<'_>) -> Option<Vec<Step>> {
    let steps = match failure {
        Failure::Silence => vec![EXECUTE, Step::Stall],
        Failure::NoHead(connection) => cut_short(String::new(), connection),
        Failure::InHead(connection) => {
            let mut response = writer.complete("200 OK", "");
            response.truncate(response.len() - writer.body().len() - 9);
            cut_short(response, connection)
        }
        Failure::InInterim(connection) => {
            cut_short("HTTP/1.1 103 Early Hints\r\nLink: <".into(), connection)
        }
        Failure::AfterInterim(status, connection) => cut_short(interim(status), connection),
        Failure::InBody(connection) => {
            let body = writer.body();
            let start = &body[..body.len().saturating_sub(3)];
            cut_short(writer.framed(&writer.length_header(), start), connection)
        }
        Failure::InChunks(connection) => {
            cut_short(writer.framed(CHUNKED, &writer.first_chunk()), connection)
        }
        _ => return None,
    };
    Some(steps)
}

/// The steps of a failure in which something else is sent before, after or in place of the
/// response.
fn additional_response(failure: Failure, writer: &ResponseWriter<'_>) -> Option<Vec<Step>> {
    let complete = writer.complete("200 OK", "");
    let steps = match failure {
        Failure::Interim(status) => executed(interim(status) + &complete),
        Failure::AfterResponse(connection) => {
            let end = match connection {
                Connection::Kept => None,
                Connection::Closed => Some(Step::Drop),
                Connection::Reset => Some(Step::Reset),
            };
            let mut steps = executed(complete);
            steps.push(Step::AwaitRelease);
            steps.extend(end);
            steps.push(Step::ConfirmRelease);
            steps
        }
        Failure::TrailingBytes => executed(complete + "more\r\n\r\n"),
        Failure::DuplicateResponse => executed(complete.repeat(2)),
        Failure::Foreign => executed(complete + &writer.foreign()),
        Failure::ForeignLater => vec![
            EXECUTE,
            write(complete),
            Step::AwaitRelease,
            write(writer.foreign()),
            Step::ConfirmRelease,
        ],
        Failure::ForeignFirst => executed(writer.foreign() + &complete),
        Failure::ForeignInstead => cut_short(writer.foreign(), Connection::Closed),
        Failure::ForeignAndSilence => vec![EXECUTE, write(writer.foreign()), Step::Stall],
        _ => return None,
    };
    Some(steps)
}

/// The steps of a failure in which the response is sent before the body is read. If the connection
/// is kept, the body is read afterwards.
fn early_response(failure: Failure, writer: &ResponseWriter<'_>) -> Option<Vec<Step>> {
    let (response, connection, read) = match failure {
        Failure::EarlyNotExecuted(status, connection) => {
            let response = writer.complete(&status_line(status), writer.dialect.not_executed);
            (response, connection, READ_WITHOUT_EXECUTION)
        }
        Failure::EarlyError(connection) => (writer.complete("500 Told", ""), connection, EXECUTE),
        _ => return None,
    };
    Some(vec![write(response), end_of(connection).unwrap_or(read)])
}

/// The steps of a failure in which the response breaks a rule of HTTP or of the dialect.
fn malformed_response(failure: Failure, writer: &ResponseWriter<'_>) -> Option<Vec<Step>> {
    let complete = writer.complete("200 OK", "");
    let body = writer.body();
    let length = writer.length_header();
    let response = match failure {
        Failure::MissingId => complete.replace(&writer.own_id_header(), ""),
        Failure::DuplicateId => {
            let second = format!("\r\n{}", writer.id_header("another"));
            complete.replacen("\r\n", &second, 1)
        }
        Failure::Unframed { announced, end } => {
            let framing = if announced {
                "Connection: close\r\n"
            } else {
                ""
            };
            return Some(cut_short(writer.framed(framing, &body), end));
        }
        Failure::BothFramings => writer.framed(&(length + CHUNKED), &writer.chunks()),
        Failure::TwoLengths => writer.framed(&length.repeat(2), &body),
        Failure::BadChunk => writer.framed(CHUNKED, &format!("zz\r\n{body}\r\n{LAST_CHUNK}")),
        Failure::ChunksInHttp10 => writer
            .framed(CHUNKED, &writer.chunks())
            .replacen("HTTP/1.1", "HTTP/1.0", 1),
        Failure::BodyWith204 => writer.head("204 No Content", &length) + &body,
        Failure::Unsigned => complete.replace(writer.dialect.signature, ""),
        _ => return None,
    };
    Some(executed(response))
}

/// The steps that end in a complete response.
fn complete_response(failure: Failure, writer: &ResponseWriter<'_>) -> Vec<Step> {
    match failure {
        Failure::NotExecutedStatus(status) => {
            let response = writer.complete(&status_line(status), writer.dialect.not_executed);
            vec![READ_WITHOUT_EXECUTION, write(response)]
        }
        // 421 Misdirected Request guarantees by itself that the request has not been executed.
        Failure::Status(status @ 421) => {
            vec![
                READ_WITHOUT_EXECUTION,
                write(writer.complete(&status_line(status), "")),
            ]
        }
        Failure::Status(status) => executed(writer.complete(&status_line(status), "")),
        _ => executed(writer.complete("200 OK", "")),
    }
}
