//! Exchanges messages with the other processes of a hot restart, the partners of this one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd};

use ironmast_admin::handover::{self, MAX_LINE_BYTES, Message, PROTOCOL_VERSION};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use tokio::io::{
    AsyncBufRead, AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader, Interest,
};
use tokio::net::UnixStream;
use tokio::net::unix::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::predecessor::PredecessorConnection;
use super::{MAX_PASSED_SOCKETS, PARTNER_TIMEOUT};
use crate::message::HandoverState;

/// Identifies a partner: one of the two other processes of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Partner {
    /// The process before this one.
    Predecessor,
    /// The process after this one.
    Successor,
}

/// An event on the Unix sockets of a hot restart.
pub(crate) enum PartnerEvent {
    /// A successor sent its `Hello` and waits for the `Welcome`.
    SuccessorConnected(ConnectedSuccessor),
    /// A partner sent a message.
    Received(Partner, Message),
    /// A partner disconnected, or sent a malformed message.
    Disconnected(Partner),
}

/// A successor that sent its `Hello`.
pub(crate) struct ConnectedSuccessor {
    /// The connection to the successor.
    pub stream: UnixStream,
    /// Whether the successor answers claims; processes of older releases don't.
    pub answers_claims: bool,
}

/// The connections to the partners of this process, and whether this process has begun to serve.
#[derive(Default)]
pub(crate) struct Partners {
    predecessor: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    successor: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    has_begun_serving: Cell<bool>,
    successor_answers_claims: Cell<bool>,
    /// Claims that the successor has not answered yet, by the name of the request.
    pending_claims: RefCell<HashMap<String, oneshot::Sender<bool>>>,
}

impl Partners {
    /// Whether this process has begun to serve.
    pub(crate) fn has_begun_serving(&self) -> bool {
        self.has_begun_serving.get()
    }

    /// Marks that this process has begun to serve.
    pub(crate) fn begin_serving(&self) {
        self.has_begun_serving.set(true);
    }

    /// Sends a message to both partners.
    pub(crate) fn send(&self, message: Message) {
        self.send_to_predecessor(message.clone());
        self.send_to_successor(message);
    }

    /// Sends a message to the predecessor, if there is one.
    pub(crate) fn send_to_predecessor(&self, message: Message) {
        self.send_to(Partner::Predecessor, message);
    }

    /// Sends a message to the successor, if there is one.
    pub(crate) fn send_to_successor(&self, message: Message) {
        self.send_to(Partner::Successor, message);
    }

    fn send_to(&self, partner: Partner, message: Message) {
        if let Some(sender) = &*self.sender_to(partner).borrow() {
            // Fails if the partner has disconnected, which the receiving task reports.
            let _ = sender.send(message);
        }
    }

    /// Asks the successor whether a request of this name may be opened here. Returns `None` if
    /// there is no successor that answers claims, so that this process decides alone. The future
    /// yields false if no answer arrives in time: rejecting a request is better than executing it
    /// twice.
    pub(crate) fn claim(&self, request_name: &str) -> Option<impl Future<Output = bool> + use<>> {
        if !self.successor_answers_claims.get() || self.successor.borrow().is_none() {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        self.pending_claims
            .borrow_mut()
            .insert(request_name.to_string(), sender);
        self.send_to_successor(Message::Claim(request_name.to_string()));
        Some(async move {
            timeout(PARTNER_TIMEOUT, answer)
                .await
                .ok()
                .and_then(Result::ok)
                .unwrap_or(false)
        })
    }

    /// Delivers the successor's answer to a pending claim.
    pub(crate) fn resolve_claim(&self, request_name: &str, granted: bool) {
        if let Some(pending) = self.pending_claims.borrow_mut().remove(request_name) {
            // Fails if the claim has timed out.
            let _ = pending.send(granted);
        }
    }

    /// Removes a partner that has disconnected. Claims that a successor has not answered are
    /// granted, because it has no open requests any more.
    pub(crate) fn remove(&self, partner: Partner) {
        *self.sender_to(partner).borrow_mut() = None;
        if partner == Partner::Successor {
            self.successor_answers_claims.set(false);
            for pending in self.pending_claims.take().into_values() {
                // Fails if the claim has timed out.
                let _ = pending.send(true);
            }
        }
    }

    fn sender_to(&self, partner: Partner) -> &RefCell<Option<mpsc::UnboundedSender<Message>>> {
        match partner {
            Partner::Predecessor => &self.predecessor,
            Partner::Successor => &self.successor,
        }
    }

    /// Starts to exchange messages with the predecessor that passed its sockets.
    ///
    /// # Errors
    /// The error of the operating system if the connection can't be made non-blocking or
    /// registered.
    pub(crate) fn attach_predecessor(
        &self,
        connection: PredecessorConnection,
        events: &mpsc::UnboundedSender<PartnerEvent>,
    ) -> io::Result<()> {
        connection.stream.set_nonblocking(true)?;
        let stream = UnixStream::from_std(connection.stream)?;
        self.spawn_message_tasks(
            Partner::Predecessor,
            stream,
            connection.buffered,
            events.clone(),
        );
        Ok(())
    }

    /// Sends a successor the `Welcome` with the state and the sockets, and starts to exchange
    /// messages with it.
    ///
    /// # Errors
    /// The error of the operating system if the message can't be sent; the successor has usually
    /// disconnected.
    pub(crate) async fn welcome_successor(
        &self,
        successor: ConnectedSuccessor,
        state: HandoverState,
        sockets: &[BorrowedFd<'_>],
        events: &mpsc::UnboundedSender<PartnerEvent>,
    ) -> io::Result<()> {
        let ConnectedSuccessor {
            mut stream,
            answers_claims,
        } = successor;
        let line = handover::encode(&Message::Welcome {
            version: PROTOCOL_VERSION,
            overrides: state.overrides,
            endpoints: state.endpoints,
        });
        let send = || {
            let mut space =
                [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            ancillary.push(SendAncillaryMessage::ScmRights(sockets));
            let chunk = [IoSlice::new(line.as_bytes())];
            sendmsg(stream.as_fd(), &chunk, &mut ancillary, SendFlags::NOSIGNAL)
                .map_err(io::Error::from)
        };
        let sent = stream.async_io(Interest::WRITABLE, send).await?;
        stream.write_all(&line.as_bytes()[sent..]).await?;
        self.spawn_message_tasks(Partner::Successor, stream, Vec::new(), events.clone());
        self.successor_answers_claims.set(answers_claims);
        Ok(())
    }

    /// Spawns the tasks that send and receive messages; `buffered` holds bytes already read from
    /// the stream.
    fn spawn_message_tasks(
        &self,
        partner: Partner,
        stream: UnixStream,
        buffered: Vec<u8>,
        events: mpsc::UnboundedSender<PartnerEvent>,
    ) {
        let (sender, messages) = mpsc::unbounded_channel();
        *self.sender_to(partner).borrow_mut() = Some(sender);
        let (reader, writer) = stream.into_split();
        let lines = BufReader::new(io::Cursor::new(buffered).chain(reader));
        actix_rt::spawn(send_messages(messages, writer));
        actix_rt::spawn(receive_messages(partner, lines, events));
    }
}

async fn send_messages(mut messages: mpsc::UnboundedReceiver<Message>, mut writer: OwnedWriteHalf) {
    while let Some(message) = messages.recv().await {
        let line = handover::encode(&message);
        if writer.write_all(line.as_bytes()).await.is_err() {
            // The receiving task reports the disconnected partner.
            return;
        }
    }
}

/// Reports each message until the partner disconnects or sends a malformed one, then reports the
/// loss.
async fn receive_messages(
    partner: Partner,
    mut lines: impl AsyncBufRead + Unpin,
    events: mpsc::UnboundedSender<PartnerEvent>,
) {
    while let Some(message) = receive_message(&mut lines).await {
        if events
            .send(PartnerEvent::Received(partner, message))
            .is_err()
        {
            return;
        }
    }
    // Fails only while the process exits.
    let _ = events.send(PartnerEvent::Disconnected(partner));
}

async fn receive_message(lines: &mut (impl AsyncBufRead + Unpin)) -> Option<Message> {
    let mut line = Vec::new();
    let read = lines
        .take(MAX_LINE_BYTES as u64 + 1)
        .read_until(b'\n', &mut line)
        .await;
    match read {
        Ok(bytes) if bytes > 0 => handover::decode(&line).ok(),
        _ => None,
    }
}
