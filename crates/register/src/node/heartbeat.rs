//! Sends heartbeats and handles their responses for the quorum lease, which
//! [`crate::quorum_lease`] computes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::Identity;
use crate::message::{HeartbeatResponse, MessageBody};
use crate::node::{Action, Node};
use crate::operation::RegisterValue;
use crate::quorum_lease::HeartbeatId;
use crate::state::ballot_of;

impl<V: RegisterValue> Node<V> {
    /// The response of this node to a heartbeat.
    pub(super) fn heartbeat_response(&self, id: HeartbeatId) -> HeartbeatResponse {
        let newest = self.newest();
        HeartbeatResponse {
            id,
            newest: ballot_of(newest),
            membership_fingerprint: newest
                .map_or(0, |proposal| proposal.state.members.fingerprint()),
        }
    }

    /// Counts a response towards the lease. A response whose sender has a newer replica set doesn't
    /// count, since no lease may rest on an outdated set; the newer set is fetched instead.
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
            self.fetch(now, address, response.newest, actions);
        } else {
            self.quorum_lease.acknowledge(sender, response.id);
        }
    }

    /// Sends a heartbeat to all other known coordinators, if one is due.
    pub(super) fn send_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let Some(id) = self.quorum_lease.next_heartbeat(now) else {
            return;
        };
        for address in self.other_addresses() {
            self.send(address, MessageBody::Heartbeat { id }, actions);
        }
    }
}
