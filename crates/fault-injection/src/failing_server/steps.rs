//! The steps at which an exchange can fail, and what a server writes at each.

use std::io::{self, Read as _};
use std::net::TcpStream;

use super::{Dialect, body_of};
use crate::stub_servers::http::header;

/// Requests with such a path are answered by a stream of events.
const STREAMS: [&str; 2] = ["/stream/", "/once/"];
/// How many events a stream has.
const EVENTS: u64 = 2;

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// It stays open.
    Kept,
    /// It is closed in an orderly way.
    Closed,
    /// It is reset.
    Reset,
}

/// Where and how an exchange fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It does not: the answer is whole and well-framed.
    None,
    /// The request is read and nothing comes.
    Silence,
    /// The connection ends before the head.
    NoHead(Connection),
    /// It ends within the head.
    InHead(Connection),
    /// It ends within the head of an interim answer.
    InInterim(Connection),
    /// It ends behind an interim answer with that status.
    AfterInterim(u16, Connection),
    /// An interim answer with that status comes before the whole answer.
    Interim(u16),
    /// It ends within a body that tells its length.
    InBody(Connection),
    /// It ends within a body in chunks.
    InChunks(Connection),
    /// The whole answer is given; once the test goes on, the connection ends.
    AfterAnswer(Connection),
    /// Bytes that are not a response follow the complete response.
    Noise,
    /// Behind the whole answer comes the same once more.
    Twice,
    /// Behind the whole answer comes one to another request.
    Foreign,
    /// The whole answer is given; once the test goes on, one to another request comes.
    ForeignLater,
    /// One to another request comes first, then the answer.
    ForeignFirst,
    /// Only one to another request comes, and the connection ends.
    ForeignInstead,
    /// Only one to another request comes, which takes the whole body's place, and nothing more.
    ForeignAndSilence,
    /// The answer names no request.
    Nameless,
    /// The answer names two requests.
    TwoNames,
    /// The request is turned away with that status and a promise, before its body is read. A server
    /// that keeps the connection reads on.
    EarlyPromise(u16, Connection),
    /// It fails with 500 before its body is read.
    EarlyError(Connection),
    /// The body has no length and ends with the connection, as it should or not; the head may say
    /// so.
    Unframed {
        /// `Connection: close` is said.
        announced: bool,
        /// How the connection ends.
        end: Connection,
    },
    /// `Content-Length` and `Transfer-Encoding` both.
    BothFramings,
    /// Two lengths.
    TwoLengths,
    /// A chunk's size can't be read.
    BadChunk,
    /// Chunks in an HTTP/1.0 answer.
    OldChunks,
    /// 204 with a body.
    BodyWithout204,
    /// That status, whole, with a promise.
    Promise(u16),
    /// That status, whole, without a promise.
    Status(u16),
    /// 200 without its stamp.
    Unstamped,
}

/// One step of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reads the rest of the request.
    ReadBody {
        /// It runs with its last byte.
        runs: bool,
    },
    /// Writes.
    Write(Vec<u8>),
    /// Waits until the test goes on.
    AwaitRelease,
    /// Tells the test that it has gone on.
    ConfirmRelease,
    /// Ends the connection in an orderly way, and waits until the other side has.
    Close,
    /// Ends it in an orderly way, if nothing is unread.
    Drop,
    /// Resets it.
    Reset,
    /// Does nothing until the other side ends it.
    Stall,
}

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Its id, where it has one.
    pub id: Option<String>,
    is_head: bool,
    is_stream: bool,
    /// The event behind which a stream is taken up.
    last_event: u64,
    /// The length of its body, where that is told.
    pub length: Option<usize>,
    chunked: bool,
}

impl RequestHead {
    /// Reads a head; none where the connection ends.
    pub(super) fn read(
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        id: &str,
    ) -> Option<RequestHead> {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            more(stream, buffer).ok()?;
        };
        let head: Vec<u8> = buffer.drain(..end).collect();
        Some(RequestHead::parse(&String::from_utf8_lossy(&head), id))
    }

    /// Takes a head apart; the header of that name holds its id.
    #[must_use]
    pub fn parse(text: &str, id: &str) -> RequestHead {
        let header = |name: &str| header(text, name).map(str::to_string);
        RequestHead {
            id: header(&id.to_ascii_lowercase()),
            is_head: text.starts_with("HEAD "),
            is_stream: text
                .split(' ')
                .nth(1)
                .is_some_and(|path| STREAMS.iter().any(|of| path.starts_with(of))),
            last_event: header("last-event-id")
                .and_then(|event| event.parse().ok())
                .unwrap_or(0),
            length: header("content-length").and_then(|length| length.parse().ok()),
            chunked: header("transfer-encoding").is_some(),
        }
    }

    /// Reads the body; whether it is the one made for this request.
    pub(super) fn read_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> io::Result<bool> {
        let body = if self.chunked {
            chunks(stream, buffer)?
        } else {
            take(stream, buffer, self.length.unwrap_or(0))?
        };
        Ok(body == body_of(self.id.as_deref().unwrap_or(""), body.len()))
    }
}

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut part = [0; 16 * 1024];
    match stream.read(&mut part)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        bytes => {
            buffer.extend_from_slice(&part[..bytes]);
            Ok(())
        }
    }
}

fn take(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> io::Result<Vec<u8>> {
    while buffer.len() < count {
        more(stream, buffer)?;
    }
    Ok(buffer.drain(..count).collect())
}

fn chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = loop {
            if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                break buffer.drain(..at + 2).collect::<Vec<u8>>();
            }
            more(stream, buffer)?;
        };
        let size = String::from_utf8_lossy(&line).trim().to_string();
        let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
        body.extend(take(stream, buffer, size)?);
        take(stream, buffer, 2)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// What a server answers to a request that it serves.
fn content(asked: &RequestHead) -> String {
    let id = asked.id.as_deref().unwrap_or("");
    if asked.is_stream {
        events(id, asked.last_event + 1)
    } else {
        format!("answer to {id}")
    }
}

/// The events of the stream made for a request, from that one on.
#[must_use]
pub fn events(id: &str, from: u64) -> String {
    (from..=EVENTS).fold(String::new(), |stream, event| {
        stream + &format!("id: {event}\ndata: {id}\n\n")
    })
}

struct Writer<'a> {
    dialect: &'a Dialect,
    asked: &'a RequestHead,
}

impl Writer<'_> {
    fn name(&self, id: &str) -> String {
        if self.dialect.answers_name_it {
            format!("{}: {id}\r\n", self.dialect.id)
        } else {
            String::new()
        }
    }

    fn kind(&self) -> &'static str {
        if self.asked.is_stream {
            "Content-Type: text/event-stream\r\n"
        } else {
            ""
        }
    }

    fn own_name(&self) -> String {
        self.name(self.asked.id.as_deref().unwrap_or(""))
    }

    /// A head that names its request and counts.
    fn head(&self, status: &str, framing: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\n{}{}{}{framing}\r\n",
            self.own_name(),
            self.dialect.stamp,
            self.kind()
        )
    }

    fn body(&self) -> String {
        if self.asked.is_head {
            String::new()
        } else {
            content(self.asked)
        }
    }

    /// A whole answer.
    fn whole(&self, status: &str, more: &str) -> String {
        let framing = format!("Content-Length: {}\r\n{more}", content(self.asked).len());
        self.head(status, &framing) + &self.body()
    }

    /// A whole answer to another request.
    fn foreign(&self) -> String {
        let body = "answer to another";
        let name = self.name("another");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{name}{}Content-Length: {}\r\n\r\n",
            self.dialect.stamp,
            body.len()
        );
        head + body
    }

    /// A head with these headers and the whole body behind it.
    fn framed(&self, framing: &str, body: &str) -> String {
        self.head("200 OK", framing) + body
    }
}

fn end(connection: Connection) -> Vec<Step> {
    match connection {
        Connection::Kept => Vec::new(),
        Connection::Closed => vec![Step::Close],
        Connection::Reset => vec![Step::Reset],
    }
}

fn interim(status: u16) -> String {
    format!("HTTP/1.1 {status} Interim\r\nLink: </a>\r\n\r\n")
}

/// What a server does with a request.
#[must_use]
#[expect(clippy::too_many_lines, reason = "one arm for each kind of failure")]
pub fn steps(failure: Option<Failure>, asked: &RequestHead, dialect: &Dialect) -> Vec<Step> {
    use Failure::{
        AfterAnswer, AfterInterim, BadChunk, BodyWithout204, BothFramings, EarlyError,
        EarlyPromise, Foreign, ForeignAndSilence, ForeignFirst, ForeignInstead, ForeignLater,
        InBody, InChunks, InHead, InInterim, Interim, Nameless, NoHead, Noise, None, OldChunks,
        Promise, Silence, Status, Twice, TwoLengths, TwoNames, Unframed, Unstamped,
    };
    let writer = Writer { dialect, asked };
    let whole = writer.whole("200 OK", "");
    let body = writer.body();
    let length = format!("Content-Length: {}\r\n", content(asked).len());
    let status_line = |status: u16| format!("{status} Told");
    let read = || Step::ReadBody { runs: true };
    let write = |text: String| Step::Write(text.into_bytes());
    let ran = |text: String| vec![read(), write(text)];
    let ran_until = |text: String, connection| [ran(text), end(connection)].concat_steps();
    match failure.unwrap_or(None) {
        None => ran(whole),
        Silence => vec![read(), Step::Stall],
        NoHead(connection) => ran_until(String::new(), connection),
        InHead(connection) => ran_until(
            whole[..whole.len() - body.len() - 9].to_string(),
            connection,
        ),
        InInterim(connection) => {
            ran_until("HTTP/1.1 103 Early Hints\r\nLink: <".into(), connection)
        }
        AfterInterim(status, connection) => ran_until(interim(status), connection),
        Interim(status) => ran(interim(status) + &whole),
        InBody(connection) => {
            let cut = writer.framed(&length, &body[..body.len().saturating_sub(3)]);
            ran_until(cut, connection)
        }
        InChunks(connection) => {
            let chunk = format!("{:x}\r\n{body}\r\n", body.len());
            ran_until(
                writer.framed("Transfer-Encoding: chunked\r\n", &chunk),
                connection,
            )
        }
        AfterAnswer(connection) => {
            let after = vec![Step::AwaitRelease];
            let last = match connection {
                Connection::Kept => vec![Step::ConfirmRelease],
                Connection::Closed => vec![Step::Drop, Step::ConfirmRelease],
                Connection::Reset => vec![Step::Reset, Step::ConfirmRelease],
            };
            [ran(whole), after, last].concat_steps()
        }
        Noise => ran(whole + "more\r\n\r\n"),
        Twice => ran(whole.clone() + &whole),
        Foreign => ran(whole + &writer.foreign()),
        ForeignLater => {
            let later = vec![
                Step::AwaitRelease,
                write(writer.foreign()),
                Step::ConfirmRelease,
            ];
            [ran(whole), later].concat_steps()
        }
        ForeignFirst => ran(writer.foreign() + &whole),
        ForeignInstead => ran_until(writer.foreign(), Connection::Closed),
        ForeignAndSilence => [ran(writer.foreign()), vec![Step::Stall]].concat_steps(),
        Nameless => ran(whole.replace(&writer.own_name(), "")),
        TwoNames => ran(whole.replacen("\r\n", &format!("\r\n{}", writer.name("another")), 1)),
        EarlyPromise(status, connection) => early(
            &writer,
            &status_line(status),
            dialect.promise,
            connection,
            false,
        ),
        EarlyError(connection) => early(&writer, "500 Told", "", connection, true),
        Unframed { announced, end } => {
            let framing = if announced {
                "Connection: close\r\n"
            } else {
                ""
            };
            ran_until(writer.framed(framing, &body), end)
        }
        BothFramings => {
            let framing = format!("{length}Transfer-Encoding: chunked\r\n");
            ran(writer.framed(
                &framing,
                &format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
            ))
        }
        TwoLengths => ran(writer.framed(&format!("{length}{length}"), &body)),
        BadChunk => ran(writer.framed(
            "Transfer-Encoding: chunked\r\n",
            &format!("zz\r\n{body}\r\n0\r\n\r\n"),
        )),
        OldChunks => {
            let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            ran(writer
                .framed("Transfer-Encoding: chunked\r\n", &chunk)
                .replacen("HTTP/1.1", "HTTP/1.0", 1))
        }
        BodyWithout204 => ran(writer.head("204 No Content", &length) + &body),
        Promise(status) => {
            let told = writer.whole(&status_line(status), dialect.promise);
            vec![Step::ReadBody { runs: false }, write(told)]
        }
        // Misdirected: it has not run, whatever else is said.
        Status(status @ 421) => {
            vec![
                Step::ReadBody { runs: false },
                write(writer.whole(&status_line(status), "")),
            ]
        }
        Status(status) => ran(writer.whole(&status_line(status), "")),
        Unstamped => ran(whole.replace(dialect.stamp, "")),
    }
}

/// An answer before the body is read; where the connection is kept, the body is read behind it.
fn early(
    writer: &Writer<'_>,
    status: &str,
    more: &str,
    connection: Connection,
    runs: bool,
) -> Vec<Step> {
    let told = vec![Step::Write(writer.whole(status, more).into_bytes())];
    let rest = match connection {
        Connection::Kept => vec![Step::ReadBody { runs }],
        Connection::Closed => vec![Step::Close],
        Connection::Reset => vec![Step::Reset],
    };
    [told, rest].concat_steps()
}

/// Acts one after another.
trait ConcatSteps {
    fn concat_steps(self) -> Vec<Step>;
}

impl<const N: usize> ConcatSteps for [Vec<Step>; N] {
    fn concat_steps(self) -> Vec<Step> {
        self.into_iter().flatten().collect()
    }
}
