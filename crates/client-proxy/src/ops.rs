//! The listener for operator commands: each connection carries one command line and one reply line.
//! `ironmast_admin::command` parses the commands and formats the replies.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ironmast_admin::command::{self, CommandError, MAX_LINE_BYTES, Reply};
use slog::{Logger, debug, warn};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::message::PriorityMessage;

/// The maximum number of operator connections. Their descriptors are reserved apart from those of
/// clients and servers.
pub(crate) const MAX_CONNECTIONS: usize = 8;

/// The time-out of receiving the command line, and of sending the reply.
const LINE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The delay between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts operator connections until the process exits.
pub(crate) async fn accept(
    listener: TcpListener,
    to_driver: mpsc::UnboundedSender<PriorityMessage>,
    log: Logger,
) {
    let connections = Connections::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accepting an operator connection failed; retrying"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (connection, evicted) = connections.open();
        let (to_driver, log) = (to_driver.clone(), log.clone());
        actix_rt::spawn(async move {
            tokio::select! {
                () = serve(stream, to_driver) => {}
                _ = evicted => debug!(log, "oldest operator connection closed for a new one"),
            }
            drop(connection);
        });
    }
}

/// The open operator connections. Clones share one list.
#[derive(Clone, Default)]
struct Connections(Rc<RefCell<ConnectionList>>);

#[derive(Default)]
struct ConnectionList {
    last_number: u64,
    /// The number of each connection, oldest first, and a sender that closes it when dropped.
    open: VecDeque<(u64, oneshot::Sender<()>)>,
}

/// An entry in [`Connections`], removed when dropped.
struct OpenConnection {
    number: u64,
    connections: Connections,
}

impl Connections {
    /// Adds a connection; the receiver completes when the connection must be closed. At
    /// [`MAX_CONNECTIONS`] the oldest one is closed, so that clients that connect and send nothing
    /// can't lock operators out.
    fn open(&self) -> (OpenConnection, oneshot::Receiver<()>) {
        let (evict, evicted) = oneshot::channel();
        let mut list = self.0.borrow_mut();
        list.last_number += 1;
        let number = list.last_number;
        if list.open.len() >= MAX_CONNECTIONS {
            list.open.pop_front();
        }
        list.open.push_back((number, evict));
        let connection = OpenConnection {
            number,
            connections: self.clone(),
        };
        (connection, evicted)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut list = self.connections.0.borrow_mut();
        list.open.retain(|&(number, _)| number != self.number);
    }
}

/// Reads one command from a connection, executes it and sends the reply.
async fn serve(mut stream: TcpStream, to_driver: mpsc::UnboundedSender<PriorityMessage>) {
    let reply = match timeout(LINE_TIMEOUT, read_line(&mut stream)).await {
        Ok(Some(line)) => execute(&line, to_driver).await,
        Ok(None) => return,
        Err(_) => Err(CommandError::LineTimeout(LINE_TIMEOUT)),
    };
    let reply = command::format_reply(&reply);
    // A time-out is ignored: the operator has disconnected or does not read.
    let _ = timeout(LINE_TIMEOUT, send_reply(&mut stream, &reply)).await;
}

/// Reads the first line, at most a chunk beyond [`MAX_LINE_BYTES`]; the parser rejects a longer
/// one. Returns `None` if the operator disconnects without sending a byte or the read fails.
async fn read_line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    let mut chunk = [0; MAX_LINE_BYTES];
    loop {
        let bytes = stream.read(&mut chunk).await.ok()?;
        line.extend_from_slice(&chunk[..bytes]);
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            line.truncate(end + 1);
            return Some(line);
        }
        if line.len() > MAX_LINE_BYTES || bytes == 0 {
            return Some(line).filter(|line| !line.is_empty());
        }
    }
}

async fn execute(line: &[u8], to_driver: mpsc::UnboundedSender<PriorityMessage>) -> Reply {
    let command = command::parse(line)?;
    let (sender, reply) = oneshot::channel();
    // If the driver has ended, the reply channel is dropped, which the next line reports.
    let _ = to_driver.send(PriorityMessage::Command(command, sender));
    reply.await.unwrap_or(Err(CommandError::ShuttingDown))
}

/// Sends the reply, and reads until the operator disconnects: closing a connection with unread
/// bytes sends a TCP reset, which could discard the reply.
async fn send_reply(stream: &mut TcpStream, reply: &str) {
    // If the operator has disconnected, the read below ends at once.
    let _ = stream.write_all(reply.as_bytes()).await;
    let _ = stream.shutdown().await;
    let mut rest = [0; MAX_LINE_BYTES];
    while stream.read(&mut rest).await.is_ok_and(|bytes| bytes > 0) {}
}
