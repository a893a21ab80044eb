//! Network partitions: which pairs of nodes are cut, and what happens to their messages and
//! connections.

use std::time::Duration;

use ironmast_overlay::Descriptor;

use super::event_queue::NetworkEvent;
use super::simulation::{Simulation, ms};

/// Whether messages from the first node to the second are cut.
pub(super) type CutPredicate = Box<dyn Fn(&Descriptor, &Descriptor) -> bool>;

/// Time for which sent bytes may stay unacknowledged before the sender closes the connection
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = ms(2_000);

/// What happens to messages and connections across a cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CutEffect {
    /// Messages are lost, connections stay.
    #[default]
    Lost,
    /// Messages arrive after the cut, unless the connection has been closed.
    Delayed,
    /// Connections are reset as the cut begins; new ones hang.
    Reset,
    /// Connections are reset as the cut begins; new ones are refused.
    Refused,
}

impl Simulation {
    /// Loses messages between the pairs of sender and receiver that `cut` selects.
    pub(crate) fn cut(&mut self, cut: impl Fn(&Descriptor, &Descriptor) -> bool + 'static) {
        self.cut_with(CutEffect::Lost, cut);
    }

    /// Cuts the pairs of sender and receiver that `cut` selects.
    pub(crate) fn cut_with(
        &mut self,
        cut_effect: CutEffect,
        cut: impl Fn(&Descriptor, &Descriptor) -> bool + 'static,
    ) {
        self.cut = Box::new(cut);
        self.cut_effect = cut_effect;
        self.release_delayed();
        if matches!(cut_effect, CutEffect::Reset | CutEffect::Refused) {
            self.reset_cut_connections();
        }
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cut(|_, _| false);
    }

    /// Delivers the delayed messages that are no longer cut.
    fn release_delayed(&mut self) {
        for delayed in std::mem::take(&mut self.delayed) {
            let (from, to, connection) = (delayed.from, delayed.to, delayed.connection);
            if self.is_cut(from, to) {
                self.delayed.push(delayed);
            } else if self.nodes[from].connections.get(&to) == Some(&connection) {
                self.schedule_delivery(from, to, connection, delayed.message);
            }
        }
    }

    /// Closes both ends of each connection that is cut in at least one direction.
    fn reset_cut_connections(&mut self) {
        let ends = self.nodes.iter().enumerate().flat_map(|(node, state)| {
            state
                .connections
                .iter()
                .map(move |(peer, connection)| (node, *peer, *connection))
        });
        for (node, peer, connection) in ends.collect::<Vec<_>>() {
            if self.is_cut(node, peer) || self.is_cut(peer, node) {
                self.process(NetworkEvent::Disconnected {
                    node,
                    peer,
                    connection: Some(connection),
                });
            }
        }
    }

    /// Whether the cut delays a message. If it delays the message or its acknowledgement, the
    /// sender closes the connection after [`USER_TIMEOUT`].
    pub(super) fn is_delayed(&mut self, from: usize, to: usize, connection: u64) -> bool {
        let is_delayed = self.is_cut(from, to);
        if is_delayed || self.is_cut(to, from) {
            let at = self.now + USER_TIMEOUT;
            self.schedule(
                at,
                NetworkEvent::Unacknowledged {
                    node: from,
                    peer: to,
                    connection,
                },
            );
        }
        is_delayed
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        (self.cut)(&self.nodes[from].descriptor, &self.nodes[to].descriptor)
    }
}
