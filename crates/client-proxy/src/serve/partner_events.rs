//! Handles the events and messages of the other processes of a hot restart.

use std::os::fd::{AsFd as _, BorrowedFd};

use eyre::Result;
use ironmast_admin::handover::Message;
use ironmast_admin::hot_restart::Event;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::{DriverEnded, Proxy};
use crate::hot_restart::partners::{ConnectedSuccessor, Partner, PartnerEvent};
use crate::hot_restart::successor;
use crate::message::{HandoverState, PriorityMessage};

impl Proxy {
    /// Handles an event of a partner; returns the resulting event for the hot restart state
    /// machine, if any.
    ///
    /// # Errors
    /// [`DriverEnded`] if the driver can't describe the state for a successor.
    pub(super) async fn handle_partner_event(
        &mut self,
        event: PartnerEvent,
    ) -> Result<Option<Event>> {
        match event {
            PartnerEvent::SuccessorConnected(successor) => {
                if self.hot_restart.accepts_successor() {
                    return self.welcome(successor).await;
                }
                successor::reject(successor.stream, "it can't be replaced now".to_string()).await;
                Ok(None)
            }
            PartnerEvent::Received(partner, message) => Ok(self.handle_message(partner, message)),
            PartnerEvent::Disconnected(partner) => Ok(Some(self.handle_disconnect(partner))),
        }
    }

    /// Hands over to a successor: sends it the state and the sockets.
    async fn welcome(&self, successor: ConnectedSuccessor) -> Result<Option<Event>> {
        let state = self.handover_state().await?;
        let mut sockets: Vec<BorrowedFd<'_>> =
            self.listener.iter().map(|socket| socket.as_fd()).collect();
        sockets.extend(self.datagrams.iter().map(|socket| socket.as_fd()));
        let welcomed = self
            .partners
            .welcome_successor(successor, state, &sockets, &self.to_partner_events)
            .await;
        match welcomed {
            Ok(()) => Ok(Some(Event::SuccessorConnected)),
            Err(error) => {
                warn!(self.log, "handover to a successor failed; this process keeps serving"; "error" => %error);
                Ok(None)
            }
        }
    }

    async fn handover_state(&self) -> Result<HandoverState, DriverEnded> {
        let (reply, state) = oneshot::channel();
        // If the driver has ended, `reply` is dropped, which the next line reports.
        let _ = self.to_driver.send(PriorityMessage::DescribeState(reply));
        state.await.map_err(|_| DriverEnded)
    }

    fn handle_message(&self, partner: Partner, message: Message) -> Option<Event> {
        match (partner, message) {
            (Partner::Successor, Message::Serving) => return Some(Event::SuccessorServing),
            (_, Message::Override(change)) => {
                // If the driver has ended, the next `wait` reports it.
                let _ = self
                    .to_driver
                    .send(PriorityMessage::PartnerOverride(change));
            }
            (Partner::Predecessor, Message::Opened(name)) => {
                self.open_names.opened_at_predecessor(name);
            }
            (Partner::Predecessor, Message::Closed(name)) => {
                self.open_names.closed_at_predecessor(&name);
            }
            (Partner::Predecessor, Message::Claim(name)) => {
                let granted = self.open_names.grant_claim(&name);
                self.partners.send_to_predecessor(Message::Claimed {
                    request_name: name,
                    granted,
                });
            }
            (
                Partner::Successor,
                Message::Claimed {
                    request_name,
                    granted,
                },
            ) => self.partners.resolve_claim(&request_name, granted),
            (partner, message) => {
                warn!(self.log, "unexpected hot restart message ignored"; "from" => ?partner, "message" => ?message);
            }
        }
        None
    }

    fn handle_disconnect(&self, partner: Partner) -> Event {
        info!(self.log, "hot restart partner disconnected"; "partner" => ?partner);
        self.partners.remove(partner);
        match partner {
            Partner::Predecessor => {
                self.open_names.forget_predecessor();
                Event::PredecessorLost
            }
            Partner::Successor => Event::SuccessorLost,
        }
    }
}
