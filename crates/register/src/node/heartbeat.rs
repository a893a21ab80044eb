//! Questions whether the others are there, and their answers, by which contact with a majority is
//! measured.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::message::{HeartbeatResponse, MessageBody};
use crate::node::{Action, Node};
use crate::quorum_lease::HeartbeatId;

impl<V: Clone> Node<V> {
    pub(super) fn heartbeat_response(&self, id: HeartbeatId) -> HeartbeatResponse {
        let newest = self.newest();
        HeartbeatResponse {
            id,
            newest: newest.map_or(Ballot::ZERO, |held| held.ballot),
            membership_fingerprint: newest.map_or(0, |held| held.state.members.fingerprint()),
        }
    }

    /// Counts an answer, unless its sender holds a newer replica set: that is asked for first.
    pub(super) fn receive_heartbeat_response(
        &mut self,
        now: Duration,
        sender: Identity,
        address: SocketAddr,
        response: HeartbeatResponse,
        actions: &mut Vec<Action<V>>,
    ) {
        let own = self.heartbeat_response(response.id);
        let is_outdated = response.newest > own.newest
            && response.membership_fingerprint != own.membership_fingerprint;
        if is_outdated {
            self.fetch(now, address, response.newest, actions)
        } else {
            self.quorum_lease.acknowledge(sender, response.id)
        }
    }

    /// Asks all coordinators known whether they are there, when it is time.
    pub(super) fn send_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let Some(id) = self.quorum_lease.next_heartbeat(now) else {
            return;
        };
        for address in self.others() {
            self.send(address, MessageBody::Heartbeat { id }, actions);
        }
    }
}
