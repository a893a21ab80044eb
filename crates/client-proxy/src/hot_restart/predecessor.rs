//! Connects to the process before this one and receives its sockets and state.

use std::io::{self, IoSliceMut, Read as _, Write as _};
use std::mem::MaybeUninit;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use ironmast_admin::handover::{self, DecodeError, MAX_LINE_BYTES, Message, PROTOCOL_VERSION};
use ironmast_admin::overrides::OverrideState;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use serde_json::Value;
use slog::{Logger, info, warn};

use super::{MAX_PASSED_SOCKETS, STEP_TIMEOUT};
use crate::runtime_files::RuntimeFiles;

/// What a predecessor passes to this process.
pub(crate) struct Inherited {
    /// The socket at which clients connect, still open.
    pub listener: TcpListener,
    /// The socket of the peers' datagrams.
    pub datagrams: Option<UdpSocket>,
    /// The operators' overrides.
    pub overrides: OverrideState,
    /// The last endpoint list of discovery.
    pub endpoints: Option<Value>,
    /// The connection to the predecessor.
    pub link: Link,
}

/// A connection to a predecessor after its welcome.
pub(crate) struct Link {
    /// The connection.
    pub stream: UnixStream,
    /// What was read beyond the welcome.
    pub buffered: Vec<u8>,
}

/// Why a predecessor passes nothing.
#[derive(Debug, thiserror::Error)]
enum GreetingError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("it disconnected in the middle of a line")]
    Disconnected,
    #[error("its first line is too long")]
    LineTooLong,
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    #[error("it uses protocol version {0}, this process {PROTOCOL_VERSION}")]
    OtherVersion(u32),
    /// The reason that the predecessor gives.
    #[error("{0}")]
    Busy(String),
    #[error("it did not answer with a welcome")]
    NoWelcome,
    #[error("it passed no listening socket")]
    NoListener,
}

/// Connects to a predecessor and greets it. Returns `None` if there is none, and also, after a
/// line in the log, if it passes nothing.
pub(crate) fn greet(files: &RuntimeFiles, log: &Logger) -> Option<Inherited> {
    let path = files.socket()?;
    let stream = match UnixStream::connect(&path) {
        Ok(stream) => stream,
        Err(error) if is_nobody_there(&error) => return None,
        Err(error) => {
            warn!(log, "can't connect to a predecessor"; "error" => %error);
            return None;
        }
    };
    let inherited = exchange_greetings(stream);
    match &inherited {
        Ok(_) => info!(log, "taking over from the predecessor"),
        Err(error) => warn!(log, "handover from the predecessor failed"; "error" => %error),
    }
    inherited.ok()
}

/// Whether no process listens: there is no socket, or only the file of one whose process has ended.
fn is_nobody_there(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
    )
}

fn exchange_greetings(mut stream: UnixStream) -> Result<Inherited, GreetingError> {
    stream.set_read_timeout(Some(STEP_TIMEOUT))?;
    stream.set_write_timeout(Some(STEP_TIMEOUT))?;
    let hello = Message::Hello {
        version: PROTOCOL_VERSION,
        answers_claims: true,
    };
    stream.write_all(handover::encode(&hello).as_bytes())?;
    let FirstLine {
        line,
        buffered,
        sockets,
    } = receive_first_line(&mut stream)?;
    let (overrides, endpoints) = match handover::decode(&line)? {
        Message::Welcome {
            version: PROTOCOL_VERSION,
            overrides,
            endpoints,
        } => (overrides, endpoints),
        Message::Welcome { version, .. } => return Err(GreetingError::OtherVersion(version)),
        Message::Busy(reason) => return Err(GreetingError::Busy(reason)),
        _ => return Err(GreetingError::NoWelcome),
    };
    let mut sockets = sockets.into_iter();
    let listener = TcpListener::from(sockets.next().ok_or(GreetingError::NoListener)?);
    let datagrams = sockets.next().map(UdpSocket::from);
    // Fails for a descriptor that is not a socket.
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    if let Some(socket) = &datagrams {
        socket.set_nonblocking(true)?;
    }
    Ok(Inherited {
        listener,
        datagrams,
        overrides,
        endpoints,
        link: Link { stream, buffered },
    })
}

/// The first that a predecessor sends.
struct FirstLine {
    line: Vec<u8>,
    /// What was read beyond the line.
    buffered: Vec<u8>,
    /// The sockets that came with it.
    sockets: Vec<OwnedFd>,
}

fn receive_first_line(stream: &mut UnixStream) -> Result<FirstLine, GreetingError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut chunk = vec![0; 64 * 1024];
    let received = recvmsg(
        &*stream,
        &mut [IoSliceMut::new(&mut chunk)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )
    .map_err(io::Error::from)?;
    let mut line = chunk[..received.bytes].to_vec();
    let mut sockets = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            sockets.extend(passed);
        }
    }
    let end = loop {
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            break end;
        }
        match stream.read(&mut chunk)? {
            0 => return Err(GreetingError::Disconnected),
            _ if line.len() > MAX_LINE_BYTES => return Err(GreetingError::LineTooLong),
            bytes => line.extend_from_slice(&chunk[..bytes]),
        }
    };
    let buffered = line.split_off(end + 1);
    Ok(FirstLine {
        line,
        buffered,
        sockets,
    })
}
