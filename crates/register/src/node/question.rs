//! Questions whether the others are there, and their answers, by which contact with a majority is
//! measured.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::contact::QuestionNumber;
use crate::message::{Body, Echo};
use crate::node::{Action, Node};

impl<V: Clone> Node<V> {
    pub(super) fn echo(&self, number: QuestionNumber) -> Echo {
        let newest = self.newest();
        Echo {
            number,
            newest: newest.map_or(Ballot::ZERO, |held| held.ballot),
            members: newest.map_or(0, |held| held.state.members.fingerprint()),
        }
    }

    /// Counts an answer, unless its sender holds a newer replica set: that is asked for first.
    pub(super) fn take_echo(
        &mut self,
        now: Duration,
        sender: Identity,
        address: SocketAddr,
        echo: Echo,
        actions: &mut Vec<Action<V>>,
    ) {
        let own = self.echo(echo.number);
        let is_outdated = echo.newest > own.newest && echo.members != own.members;
        if is_outdated {
            self.fetch(now, address, echo.newest, actions)
        } else {
            self.contact.answer(sender, echo.number)
        }
    }

    /// Asks all coordinators known whether they are there, when it is time.
    pub(super) fn question(&mut self, now: Duration, actions: &mut Vec<Action<V>>) {
        let Some(number) = self.contact.ask(now) else {
            return;
        };
        for address in self.others() {
            self.send(address, Body::Question { number }, actions);
        }
    }
}
