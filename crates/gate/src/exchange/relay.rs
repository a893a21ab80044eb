//! Answers that flow: events are passed on as they become whole; a long answer as it arrives.

use std::rc::Rc;

use bytes::Bytes;
use ironmast_routing::Outcome;

use super::{Client, Exchange, Stop, Watch, guard};
use crate::attempt::Begun;
use crate::events::{Events, Whole};

impl Exchange {
    /// Passes on the events of a stream.
    pub(super) async fn relay(
        &mut self,
        mut begun: Begun,
        watch: &mut Watch,
    ) -> Result<Outcome, Stop> {
        let gate = Rc::clone(&self.gate);
        let mut events = Events::after(self.last_event);
        loop {
            let part = match guard(&gate, &self.call, &mut self.client, watch, begun.next()).await {
                Ok(Ok(part)) => part,
                Ok(Err(outcome)) => return Ok(self.broken(outcome)),
                Err(Stop::Left) => return Err(Stop::Left),
                Err(Stop::Over) => return Ok(self.stopped()),
            };
            let Some(part) = part else {
                return Ok(self.ended(&begun, &events).await);
            };
            let (whole, checked) = events.push(&part);
            if let Some(whole) = whole {
                self.pass_events(&begun, watch, whole).await?;
            }
            if checked.is_err() {
                return Ok(self.broken(Outcome::MalformedResponse));
            }
        }
    }

    async fn pass_events(
        &mut self,
        begun: &Begun,
        watch: &mut Watch,
        whole: Whole,
    ) -> Result<(), Stop> {
        if matches!(self.client, Client::Waits(_)) {
            self.pass_head(begun, None);
        }
        self.pass(watch, whole.bytes).await?;
        self.last_event = whole.last.or(self.last_event);
        let now = self.gate.clock.now();
        self.gate
            .decider
            .borrow_mut()
            .response_forwarded(now, &mut self.call, whole.last);
        Ok(())
    }

    /// Gives bytes to the client, who may be slow.
    async fn pass(&mut self, watch: &mut Watch, bytes: Bytes) -> Result<(), Stop> {
        let Client::Reads(outlet) = &self.client else {
            return Err(Stop::Left);
        };
        let ends = self.gate.clock.at(watch.ends);
        match tokio::time::timeout_at(ends.into(), outlet.pass(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Stop::Left),
            Err(_) => Err(Stop::Over),
        }
    }

    /// The server's body came to its proper end.
    async fn ended(&mut self, begun: &Begun, events: &Events) -> Outcome {
        if !events.is_between() {
            return self.broken(Outcome::MalformedResponse);
        }
        if matches!(self.client, Client::Waits(_)) {
            self.pass_head(begun, None);
        }
        self.end().await;
        Outcome::Success
    }

    async fn end(&mut self) {
        if let Client::Reads(outlet) = std::mem::replace(&mut self.client, Client::Done) {
            outlet.end().await;
        }
    }

    /// An answer broke: what that means depends on whether its client has anything of it.
    fn broken(&self, outcome: Outcome) -> Outcome {
        match self.client {
            Client::Waits(_) => outcome,
            _ => Outcome::Truncated { last_event: None },
        }
    }

    /// Passes on the rest of an answer too long to be held.
    pub(super) async fn pass_long(
        &mut self,
        mut begun: Begun,
        watch: &mut Watch,
        first: Bytes,
    ) -> Result<Outcome, Stop> {
        let gate = Rc::clone(&self.gate);
        let mut next = Some(first);
        while let Some(part) = next {
            self.pass(watch, part).await?;
            next = match guard(&gate, &self.call, &mut self.client, watch, begun.next()).await {
                Ok(Ok(part)) => part,
                Ok(Err(outcome)) => return Ok(self.broken(outcome)),
                Err(Stop::Left) => return Err(Stop::Left),
                Err(Stop::Over) => return Ok(self.stopped()),
            };
        }
        self.end().await;
        Ok(Outcome::Success)
    }
}
