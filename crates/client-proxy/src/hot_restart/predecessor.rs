//! Connects to the process that this one replaces, and receives its sockets and state.

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

use super::{MAX_PASSED_SOCKETS, PARTNER_TIMEOUT};
use crate::runtime_files::RuntimeFiles;

/// The sockets and the state that a predecessor passes to this process.
pub(crate) struct InheritedState {
    /// The socket that listens for clients, which stays open throughout the restart.
    pub listener: TcpListener,
    /// The socket for the peers' datagrams, if the predecessor has one.
    pub datagrams: Option<UdpSocket>,
    /// The operators' overrides of servers.
    pub overrides: OverrideState,
    /// The last endpoint list of discovery, as its JSON.
    pub endpoints: Option<Value>,
    /// The connection to the predecessor, for further messages.
    pub connection: PredecessorConnection,
}

/// A connection to a predecessor that has sent its `Welcome`.
pub(crate) struct PredecessorConnection {
    /// The blocking stream, with the time-outs of the handshake.
    pub stream: UnixStream,
    /// Bytes already read after the `Welcome`.
    pub buffered: Vec<u8>,
}

/// Why the handover from a predecessor failed.
#[derive(Debug, thiserror::Error)]
enum HandoverError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the predecessor disconnected in the middle of its first line")]
    Disconnected,
    #[error("the predecessor's first line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    #[error("the predecessor uses protocol version {0}, this process {PROTOCOL_VERSION}")]
    OtherVersion(u32),
    /// The predecessor can't hand over now, for this reason.
    #[error("the predecessor can't hand over: {0}")]
    Busy(String),
    #[error("the predecessor answered with neither Welcome nor Busy")]
    NoWelcome,
    #[error("the predecessor passed no listening socket")]
    NoListener,
}

/// Connects to a predecessor and takes over its sockets and state. Returns `None` if there is none
/// or, after a warning in the log, if the handover fails.
pub(crate) fn take_over(files: &RuntimeFiles, log: &Logger) -> Option<InheritedState> {
    let path = files.socket()?;
    let stream = match UnixStream::connect(&path) {
        Ok(stream) => stream,
        Err(error) if has_no_listener(&error) => return None,
        Err(error) => {
            warn!(log, "can't connect to a predecessor; opening new sockets"; "error" => %error);
            return None;
        }
    };
    let inherited = request_handover(stream);
    match &inherited {
        Ok(_) => info!(log, "taking over from the predecessor"),
        Err(error) => {
            warn!(log, "handover from the predecessor failed; opening new sockets"; "error" => %error);
        }
    }
    inherited.ok()
}

/// Whether no process listens: the socket file is missing, or left over from a process that has
/// ended.
fn has_no_listener(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
    )
}

fn request_handover(mut stream: UnixStream) -> Result<InheritedState, HandoverError> {
    stream.set_read_timeout(Some(PARTNER_TIMEOUT))?;
    stream.set_write_timeout(Some(PARTNER_TIMEOUT))?;
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
        Message::Welcome { version, .. } => return Err(HandoverError::OtherVersion(version)),
        Message::Busy(reason) => return Err(HandoverError::Busy(reason)),
        _ => return Err(HandoverError::NoWelcome),
    };
    let mut sockets = sockets.into_iter();
    let listener = TcpListener::from(sockets.next().ok_or(HandoverError::NoListener)?);
    let datagrams = sockets.next().map(UdpSocket::from);
    // Fails if the descriptor is not a socket.
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    if let Some(socket) = &datagrams {
        socket.set_nonblocking(true)?;
    }
    Ok(InheritedState {
        listener,
        datagrams,
        overrides,
        endpoints,
        connection: PredecessorConnection { stream, buffered },
    })
}

/// The first message of a predecessor, not decoded yet.
struct FirstLine {
    line: Vec<u8>,
    /// Bytes already read after the line.
    buffered: Vec<u8>,
    /// The sockets passed with the line.
    sockets: Vec<OwnedFd>,
}

fn receive_first_line(stream: &mut UnixStream) -> Result<FirstLine, HandoverError> {
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
            0 => return Err(HandoverError::Disconnected),
            _ if line.len() > MAX_LINE_BYTES => return Err(HandoverError::LineTooLong),
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
