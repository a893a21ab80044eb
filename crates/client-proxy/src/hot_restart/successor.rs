//! Accepts connections of processes that are to replace this one.

use std::io;
use std::os::unix::net::UnixListener as StdUnixListener;
use std::path::{Path, PathBuf};

use ironmast_admin::handover::{self, DecodeError, Message, PROTOCOL_VERSION};
use slog::{Logger, warn};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::PARTNER_TIMEOUT;
use super::partners::{ConnectedSuccessor, PartnerEvent};
use crate::runtime_files::RuntimeFiles;

/// The maximum size of a successor's `Hello`, in bytes.
const MAX_HELLO_BYTES: u64 = 256;

/// Why a successor's `Hello` could not be read.
#[derive(Debug, thiserror::Error)]
enum HelloError {
    #[error("no greeting could be read within {PARTNER_TIMEOUT:?}")]
    NoHello,
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// Accepts successors on the proxy's Unix socket, and reports each that sends a valid `Hello`. The
/// socket file of a predecessor or of a process that has ended is replaced.
pub(crate) async fn accept_successors(
    files: RuntimeFiles,
    events: mpsc::UnboundedSender<PartnerEvent>,
    log: Logger,
) {
    let Some(path) = files.socket() else {
        return;
    };
    let listener = match bind(&path, files.temporary_socket()) {
        Ok(listener) => listener,
        Err(error) => {
            warn!(log, "can't listen for a successor; hot restart is disabled"; "error" => %error);
            return;
        }
    };
    while let Ok((mut stream, _)) = listener.accept().await {
        match read_hello(&mut stream).await {
            Ok(Message::Hello {
                version: PROTOCOL_VERSION,
                answers_claims,
            }) => {
                let successor = ConnectedSuccessor {
                    stream,
                    answers_claims,
                };
                let event = PartnerEvent::SuccessorConnected(successor);
                if events.send(event).is_err() {
                    return;
                }
            }
            Ok(Message::Hello { version, .. }) => {
                warn!(log, "a successor uses another protocol version; rejected it"; "version" => version);
                reject(stream, format!("it speaks version {PROTOCOL_VERSION}")).await;
            }
            Ok(_) => warn!(log, "a successor sent no valid greeting"),
            Err(error) => warn!(log, "a successor sent no valid greeting"; "error" => %error),
        }
    }
}

async fn read_hello(stream: &mut UnixStream) -> Result<Message, HelloError> {
    let mut line = Vec::new();
    let mut reader = BufReader::new(stream.take(MAX_HELLO_BYTES));
    match timeout(PARTNER_TIMEOUT, reader.read_until(b'\n', &mut line)).await {
        Ok(Ok(_)) => Ok(handover::decode(&line)?),
        _ => Err(HelloError::NoHello),
    }
}

/// Rejects a successor and sends it the reason, which it logs.
pub(crate) async fn reject(mut stream: UnixStream, reason: String) {
    let line = handover::encode(&Message::Busy(reason));
    // A failure is ignored: the successor has disconnected or does not read.
    let _ = timeout(PARTNER_TIMEOUT, stream.write_all(line.as_bytes())).await;
}

/// Binds the socket at a temporary path and renames it over an existing file, so that `path` always
/// exists.
fn bind(path: &Path, temporary: Option<PathBuf>) -> io::Result<UnixListener> {
    let temporary = temporary.unwrap_or_else(|| path.with_extension("aside"));
    // Usually there is no such file. If it can't be removed, `bind` fails.
    let _ = std::fs::remove_file(&temporary);
    let listener = StdUnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    listener.set_nonblocking(true)?;
    UnixListener::from_std(listener)
}
