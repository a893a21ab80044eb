//! What servers report of themselves: heartbeats and departures, and when each is acknowledged.

use ironmast_schema::control::{Key, ToCoordinator};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use tokio::sync::{mpsc, oneshot};

use super::{CoordinatorNode, OUT_OF_CONTACT, Reply};
use crate::contact::{Request, RequestPolicy};

/// Why a report of a server that the catalog doesn't hold isn't acknowledged.
const UNKNOWN_SERVER: &str = "this server is not known here";

impl CoordinatorNode {
    /// Takes a server's heartbeat and answers it.
    pub(super) fn heartbeat(
        &mut self,
        id: String,
        heartbeat: Heartbeat,
        to: oneshot::Sender<Reply>,
    ) {
        let request = match heartbeat.state {
            InstanceState::Draining => Request::Draining,
            InstanceState::Ready => Request::Heartbeat,
        };
        let news = self.catalog.record_heartbeat(self.now(), &id, heartbeat);
        self.publish(news.into_iter().collect());
        self.answer_server(request, Key::Instance(id), to);
    }

    /// Takes a server's departure and answers it.
    pub(super) fn server_leaves(&mut self, id: String, to: oneshot::Sender<Reply>) {
        let news = self.catalog.deregister(self.now(), &id);
        self.publish(news.into_iter().collect());
        self.answer_server(Request::Delete, Key::Instance(id), to);
    }

    /// Answers a server whose report has been taken in.
    fn answer_server(&mut self, request: Request, key: Key, to: oneshot::Sender<Reply>) {
        match self.standing.policy(request) {
            RequestPolicy::Acknowledge => drop(to.send(Reply::json("{}"))),
            RequestPolicy::AcknowledgeByMajority => self.confirm(key, to),
            _ => drop(to.send(Reply::refused(503, OUT_OF_CONTACT))),
        }
    }

    /// Tells all coordinators what is known of a server, and answers once a majority has it.
    fn confirm(&mut self, key: Key, to: oneshot::Sender<Reply>) {
        let Some(entry) = self.catalog.get(&key).cloned() else {
            // Another coordinator may know it; nobody would hear of this one's word.
            let _ = to.send(Reply::refused(503, UNKNOWN_SERVER));
            return;
        };
        for queue in self.outgoing.values() {
            let _ = queue.send(ToCoordinator::Entries(vec![entry.clone()]));
        }
        self.pending_reports
            .add(self.replica.clock().now(), key, to);
        let outputs = self.replica.question();
        self.carry_out(outputs);
        self.observe();
    }

    /// Sends a coordinator that has just been linked the entries whose confirmation is still
    /// awaited.
    pub(super) fn send_pending_reports(&self, queue: &mpsc::UnboundedSender<ToCoordinator>) {
        let waiting = self
            .pending_reports
            .keys()
            .filter_map(|key| self.catalog.get(key));
        for entry in waiting {
            let _ = queue.send(ToCoordinator::Entries(vec![entry.clone()]));
        }
    }
}
