//! What waits to be sent on one connection, bounded by its size.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use ironmast_overlay::{Entry, Message};
use tokio::sync::{mpsc, oneshot};

/// Bytes that may wait for a peer, estimated: more than a peer that reads ever leaves waiting.
pub(crate) const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;

/// Bytes that a message without entries counts as, and that each version listed in it adds.
const MESSAGE_BYTES: usize = 256;
const VERSION_BYTES: usize = 16;

/// The sending end, held by the driver; the connection ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Queue {
    messages: mpsc::UnboundedSender<Message>,
    waiting_bytes: Rc<Cell<usize>>,
    /// Dropped with the queue, which tells the other end.
    _open: oneshot::Sender<()>,
}

/// The receiving end, held by the connection.
#[derive(Debug)]
pub(crate) struct QueueReceiver {
    messages: mpsc::UnboundedReceiver<Message>,
    waiting_bytes: Rc<Cell<usize>>,
}

/// A queue, its other end, and a future that ends when the queue is dropped.
pub(crate) fn queue() -> (Queue, QueueReceiver, impl Future<Output = ()>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (open, dropped) = oneshot::channel();
    let waiting_bytes = Rc::new(Cell::new(0));
    let queue = Queue {
        messages: sender,
        waiting_bytes: Rc::clone(&waiting_bytes),
        _open: open,
    };
    let closed = async move { drop(dropped.await) };
    (
        queue,
        QueueReceiver {
            messages: receiver,
            waiting_bytes,
        },
        closed,
    )
}

impl Queue {
    /// Adds a message unless too much waits already; whether it was added. One message alone may be
    /// of any size.
    #[must_use]
    pub(crate) fn push(&self, message: Message) -> bool {
        let waiting = self.waiting_bytes.get();
        let with_it = waiting + size(&message);
        if waiting > 0 && with_it > MAX_QUEUED_BYTES {
            return false;
        }
        self.waiting_bytes.set(with_it);
        let _ = self.messages.send(message);
        true
    }
}

impl QueueReceiver {
    /// The next message; none once the queue has been dropped and is empty.
    pub(crate) async fn next(&mut self) -> Option<Message> {
        let message = self.messages.recv().await?;
        self.waiting_bytes
            .set(self.waiting_bytes.get() - size(&message));
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
