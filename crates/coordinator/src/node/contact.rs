//! Contact with the majority of the coordinators: changes of the standing, and what the feed says
//! of it.

use std::net::SocketAddr;

use ironmast_schema::control::FromCoordinator;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::{CoordinatorNode, Reply};
use crate::contact::{ContactState, Request, RequestPolicy};
use crate::replica::{Kind, withheld};

impl CoordinatorNode {
    /// Takes up what follows from the age of the contact. Called before anything is answered: a
    /// process that stood still has lost contact, though no timer could tell.
    pub(super) fn observe(&mut self) {
        let standing = self.standing.observed(self.replica.is_in_contact());
        self.enter(standing);
        let now = self.replica.clock().now();
        self.pending_reports
            .settle(now, self.replica.contact_since());
    }

    /// Changes the standing, with what each change entails.
    pub(super) fn enter(&mut self, standing: ContactState) {
        let before = std::mem::replace(&mut self.standing, standing);
        if before == standing {
            return;
        }
        match standing {
            ContactState::Starting => {}
            ContactState::CatchingUp => self.catch_up(),
            ContactState::InContact => self.contact_gained(),
            ContactState::OutOfContact => self.contact_lost(before),
            ContactState::Leaving => self.pending_reports.refuse(),
        }
        // Catching up may have changed the standing again.
        if (before == ContactState::InContact) != (self.standing == ContactState::InContact) {
            self.publisher.set_in_contact(self.is_feed_fresh());
            self.broadcast_alive();
        }
    }

    /// Begins the read that makes up for what was decided out of contact.
    fn catch_up(&mut self) {
        let outputs = self.replica.catch_up();
        self.carry_out(outputs);
    }

    fn contact_gained(&mut self) {
        info!(self.log, "in contact with a majority of the coordinators");
        self.catalog.restart_expiry(self.now());
    }

    fn contact_lost(&mut self, before: ContactState) {
        if before == ContactState::InContact {
            warn!(
                self.log,
                "out of contact with the majority of the coordinators: nothing is acknowledged"
            );
        }
        self.pending_reports.refuse();
    }

    /// The read that catches up has ended.
    pub(super) fn caught_up(&mut self, holds_newest: bool) {
        if holds_newest {
            return self.enter(self.standing.caught_up());
        }
        if self.standing == ContactState::CatchingUp {
            self.catch_up();
        }
    }

    /// Passes on the register's answer to a request, or what may be said of it out of contact.
    pub(super) fn answered(&self, kind: Kind, reply: Reply, to: oneshot::Sender<Reply>) {
        let reply = match self.standing {
            ContactState::OutOfContact => withheld(kind, reply),
            _ => reply,
        };
        let _ = to.send(reply);
    }

    /// Whether subscribers may take what this coordinator tells as fresh.
    pub(super) fn is_feed_fresh(&self) -> bool {
        self.standing.policy(Request::Subscription) == RequestPolicy::MarkFresh
    }

    /// Tells all subscribers that this coordinator is there, and whether it is in contact.
    pub(super) fn broadcast_alive(&mut self) {
        let in_contact = self.is_feed_fresh();
        let fresh = self.catalog.take_observed();
        let coordinators: Vec<SocketAddr> = self.coordinators.iter().copied().collect();
        self.subscribers.retain(|_, (to, coordinator)| {
            let heard = if *coordinator {
                fresh.clone()
            } else {
                Vec::new()
            };
            to.send(FromCoordinator::KeepAlive {
                coordinators: coordinators.clone(),
                heard,
                in_contact,
            })
            .is_ok()
        });
    }
}
