//! The queue of outgoing messages of one connection, bounded by their size.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use ironmast_overlay::{Entry, Message};
use tokio::sync::{mpsc, oneshot};

/// Maximum estimated bytes in a queue; the queue of a peer that reads stays below it.
pub(crate) const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;

/// Estimated bytes of a message in addition to its entries, versions and keys.
const MESSAGE_BYTES: usize = 256;

/// Estimated bytes of each version or key in a message.
const VERSION_BYTES: usize = 16;

/// The error that a queue would exceed [`MAX_QUEUED_BYTES`]: the peer does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the send queue is full")]
pub(crate) struct QueueFull;

/// The sending end, owned by the driver; the connection closes after it is dropped.
#[derive(Debug)]
pub(crate) struct SendQueue {
    messages: mpsc::UnboundedSender<Message>,
    queued_bytes: Rc<Cell<usize>>,
    /// Notifies the other end by being dropped with the queue.
    _alive: oneshot::Sender<()>,
}

/// The receiving end, owned by the connection.
#[derive(Debug)]
pub(crate) struct SendQueueReceiver {
    messages: mpsc::UnboundedReceiver<Message>,
    queued_bytes: Rc<Cell<usize>>,
}

/// Creates a queue, its receiving end, and a future that completes when the queue is dropped.
pub(crate) fn send_queue() -> (SendQueue, SendQueueReceiver, impl Future<Output = ()>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (alive, dropped) = oneshot::channel();
    let queued_bytes = Rc::new(Cell::new(0));
    let queue = SendQueue {
        messages: sender,
        queued_bytes: Rc::clone(&queued_bytes),
        _alive: alive,
    };
    let receiver = SendQueueReceiver {
        messages: receiver,
        queued_bytes,
    };
    // No value is ever sent: the receiver's error signals that the queue was dropped.
    let dropped = async move { drop(dropped.await) };
    (queue, receiver, dropped)
}

impl SendQueue {
    /// Queues a message. An empty queue accepts a message of any size.
    ///
    /// # Errors
    /// [`QueueFull`] if the queue would exceed its limit; the message is dropped.
    pub(crate) fn push(&self, message: Message) -> Result<(), QueueFull> {
        let queued_before = self.queued_bytes.get();
        let queued_after = queued_before + size(&message);
        if queued_before > 0 && queued_after > MAX_QUEUED_BYTES {
            return Err(QueueFull);
        }
        self.queued_bytes.set(queued_after);
        // Sending fails only if the connection has closed; the driver will receive its `Closed`
        // event.
        let _ = self.messages.send(message);
        Ok(())
    }
}

impl SendQueueReceiver {
    /// The next message; `None` once the queue has been dropped and is empty.
    pub(crate) async fn next(&mut self) -> Option<Message> {
        let message = self.messages.recv().await?;
        self.queued_bytes
            .set(self.queued_bytes.get() - size(&message));
        Some(message)
    }
}

/// Estimated bytes of a message.
fn size(message: &Message) -> usize {
    match message {
        Message::Entries { entries, .. } => {
            MESSAGE_BYTES + entries.iter().map(Entry::size).sum::<usize>()
        }
        Message::Announce { versions } | Message::VersionList { versions, .. } => {
            MESSAGE_BYTES + VERSION_BYTES * versions.len()
        }
        Message::Request { keys } => MESSAGE_BYTES + VERSION_BYTES * keys.len(),
        _ => MESSAGE_BYTES,
    }
}
