//! What waits to be written on one link: bounded, in order.

use std::collections::VecDeque;

/// What happens to a message for which there is no room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// It is not taken, and its sender is told.
    #[default]
    RejectNewest,
    /// Those that have waited longest are dropped for it, and its sender is told how many.
    DropOldest,
}

/// Bounds of what waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// So many messages.
    pub frames: usize,
    /// So many bytes; one message may wait whatever its length.
    pub bytes: usize,
    /// What happens beyond.
    pub overflow: OverflowPolicy,
}

impl Default for QueueLimits {
    fn default() -> Self {
        QueueLimits {
            frames: 4_096,
            bytes: 32 << 20,
            overflow: OverflowPolicy::RejectNewest,
        }
    }
}

/// There is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// Frames that wait, the oldest first.
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

    /// Takes a frame; how many others it displaced.
    pub(super) fn push(&mut self, frame: Vec<u8>) -> Result<usize, Full> {
        let mut dropped = 0;
        while !self.has_room(frame.len()) {
            if self.limits.overflow == OverflowPolicy::RejectNewest {
                return Err(Full);
            }
            let Some(oldest) = self.frames.pop_front() else {
                return Err(Full);
            };
            self.bytes -= oldest.len();
            dropped += 1;
        }
        self.bytes += frame.len();
        self.frames.push_back(frame);
        Ok(dropped)
    }

    /// The oldest frame.
    pub(super) fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }

    fn has_room(&self, bytes: usize) -> bool {
        let fits = self.frames.is_empty() || self.bytes + bytes <= self.limits.bytes;
        fits && self.frames.len() < self.limits.frames
    }
}

#[cfg(test)]
mod tests;
