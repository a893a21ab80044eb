//! The send queue of one link: bounded, first in, first out.

use std::collections::VecDeque;

/// What happens to a message for which the queue has no space.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// The message is rejected, and its sender gets an error.
    #[default]
    RejectNewest,
    /// The oldest messages are dropped to make space; the sender is told how many.
    DropOldest,
}

/// Limits of a send queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of messages.
    pub max_frames: usize,
    /// Maximum sum of the messages' lengths in bytes. An empty queue accepts a message of any
    /// length.
    pub max_bytes: usize,
    /// What happens to a message that exceeds these limits.
    pub overflow: OverflowPolicy,
}

impl Default for QueueLimits {
    fn default() -> Self {
        QueueLimits {
            max_frames: 4_096,
            max_bytes: 32 << 20,
            overflow: OverflowPolicy::RejectNewest,
        }
    }
}

/// The queue has no space for a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueFull;

/// The frames of one link that are not written yet, the oldest first.
#[derive(Debug)]
pub(super) struct OutgoingQueue {
    limits: QueueLimits,
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl OutgoingQueue {
    pub(super) fn new(limits: QueueLimits) -> Self {
        OutgoingQueue {
            limits,
            frames: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Appends a frame. Returns how many older frames were dropped to make space.
    pub(super) fn push(&mut self, frame: Vec<u8>) -> Result<usize, QueueFull> {
        let mut dropped = 0;
        while !self.has_space(frame.len()) {
            if self.limits.overflow == OverflowPolicy::RejectNewest {
                return Err(QueueFull);
            }
            let Some(oldest) = self.frames.pop_front() else {
                return Err(QueueFull);
            };
            self.bytes -= oldest.len();
            dropped += 1;
        }
        self.bytes += frame.len();
        self.frames.push_back(frame);
        Ok(dropped)
    }

    /// Removes the oldest frame.
    pub(super) fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }

    fn has_space(&self, bytes: usize) -> bool {
        let fits = self.frames.is_empty() || self.bytes + bytes <= self.limits.max_bytes;
        fits && self.frames.len() < self.limits.max_frames
    }
}

#[cfg(test)]
mod tests;
