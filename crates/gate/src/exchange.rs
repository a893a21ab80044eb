//! One request of a client from its route to the end of its answer: attempts are made as the
//! decisions say, and their ends told to them.

mod relay;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_http::StatusCode;
use bytes::Bytes;
use ironmast_routing::{Call, Decision, Dispatch, Micros, Outcome, ProgressCheck, Request};
use tokio::sync::oneshot;

use crate::answer::{Answer, Flow, Head, Outlet, flow};
use crate::attempt::{self, Begun, Meaning, promises};
use crate::gate::Gate;
use crate::head::Forward;

/// An answer of up to this many bytes is held until it is whole.
const HELD_MOST: usize = 512 * 1024;
/// Servers are told this much less than what is left: their answer still has to travel.
const TRAVEL: Micros = 5_000;

/// Where the answer goes.
enum Client {
    /// Nothing of it has gone out.
    Waits(oneshot::Sender<Answer>),
    /// Its head has; these are its parts.
    Reads(Outlet),
    /// It is over.
    Done,
}

/// Why an attempt is not waited for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// The client has left.
    Left,
    /// Its time is up, or it is better sent elsewhere.
    Over,
}

/// When an attempt is looked at.
struct Watch {
    ends: Micros,
    check_at: Option<Micros>,
}

/// One request under way.
pub(crate) struct Exchange {
    gate: Rc<Gate>,
    forward: Forward,
    call: Call,
    client: Client,
    /// An answer of a server that may be the last.
    kept: Option<(Head, Bytes)>,
    /// Where the latest attempt went.
    server: Option<Arc<str>>,
    /// The last event that the client has.
    last_event: Option<u64>,
}

/// Serves a request; the answer goes to `reply`, whose receiver the client's leaving drops.
pub(crate) async fn run(
    gate: Rc<Gate>,
    request: Request,
    forward: Forward,
    reply: oneshot::Sender<Answer>,
) {
    let now = gate.clock.now();
    let last_event = request.last_event;
    let (call, decision) = {
        let mut limits = gate.limits.borrow_mut();
        gate.decider.borrow_mut().begin(now, request, &mut *limits)
    };
    let client = Client::Waits(reply);
    let mut exchange = Exchange {
        gate,
        forward,
        call,
        client,
        kept: None,
        server: None,
        last_event,
    };
    exchange.follow(decision).await;
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // Of no effect where the request has had its final decision.
        let now = self.gate.clock.now();
        self.gate.decider.borrow_mut().cancel(now, &mut self.call);
    }
}

impl Exchange {
    /// Does what is decided until a decision is final.
    async fn follow(&mut self, mut decision: Decision) {
        loop {
            decision = match decision {
                Decision::Send(dispatch) => match self.attempt(dispatch).await {
                    Ok(outcome) => self.settle(outcome),
                    Err(Stop::Left | Stop::Over) => return,
                },
                Decision::Delay { until } => match self.hold(until).await {
                    Ok(decision) => decision,
                    Err(_) => return,
                },
                last => return self.close(last).await,
            }
        }
    }

    fn settle(&mut self, outcome: Outcome) -> Decision {
        let now = self.gate.clock.now();
        let mut limits = self.gate.limits.borrow_mut();
        if outcome == Outcome::ConnectFailed
            && let Some(server) = &self.server
        {
            limits.disturbed(now, server);
        }
        self.gate
            .decider
            .borrow_mut()
            .attempt_finished(now, &mut self.call, outcome, &mut *limits)
    }

    async fn hold(&mut self, until: Micros) -> Result<Decision, Stop> {
        let at = self.gate.clock.at(until);
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(at.into()) => {}
            () = self.client.left() => return Err(Stop::Left),
        }
        let now = self.gate.clock.now();
        let mut limits = self.gate.limits.borrow_mut();
        Ok(self
            .gate
            .decider
            .borrow_mut()
            .resume(now, &mut self.call, &mut *limits))
    }

    /// The last decision: what the client gets, if it has not got it yet.
    async fn close(&mut self, decision: Decision) {
        let answer = match decision {
            Decision::Reject(refusal) => Answer::Refused(refusal),
            Decision::ForwardResponse => self.kept_answer(),
            Decision::Fail { status } => {
                Answer::Failed(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY))
            }
            // What is not ended by now is broken off as the exchange is dropped.
            Decision::AbortResponse
            | Decision::Finished
            | Decision::Send(_)
            | Decision::Delay { .. } => {
                return;
            }
        };
        self.client.answer(answer);
    }

    /// The server's own answer, unless its status would promise what the server has not.
    fn kept_answer(&mut self) -> Answer {
        match self.kept.take() {
            Some((head, body)) if !promises(head.status) => Answer::Whole(head, body),
            _ => Answer::Failed(StatusCode::BAD_GATEWAY),
        }
    }

    /// Makes one attempt; how it ended.
    async fn attempt(&mut self, dispatch: Dispatch) -> Result<Outcome, Stop> {
        let decided = self.gate.clock.now();
        self.server = Some(dispatch.expect_instance.clone());
        let mut watch = Watch {
            ends: decided + dispatch.timeout,
            check_at: dispatch.check_at,
        };
        let admission = self.gate.admission(&dispatch, decided);
        let deadline_ms = (dispatch.timeout.saturating_sub(TRAVEL) / 1_000).max(1);
        let gate = Rc::clone(&self.gate);
        let sending = {
            let forward = &self.forward;
            let work = attempt::begin(&gate.upstream, forward, &dispatch, deadline_ms, admission);
            guard(&gate, &self.call, &mut self.client, &mut watch, work).await
        };
        let mut begun = match sending {
            Ok(Ok(begun)) => begun,
            Ok(Err(outcome)) => return Ok(outcome),
            Err(Stop::Left) => return Err(Stop::Left),
            Err(Stop::Over) => return Ok(self.stopped()),
        };
        self.begin_answer(&dispatch, &begun);
        match std::mem::replace(&mut begun.meaning, Meaning::Success) {
            Meaning::Ended(outcome) => {
                if matches!(outcome, Outcome::NotExecuted { .. }) {
                    begun.discard();
                }
                Ok(outcome)
            }
            Meaning::Settled(outcome) => self.keep(begun, &mut watch, outcome).await,
            Meaning::Success if begun.is_events => self.relay(begun, &mut watch).await,
            Meaning::Success => self.whole(begun, &mut watch).await,
        }
    }

    fn begin_answer(&mut self, dispatch: &Dispatch, begun: &Begun) {
        let now = self.gate.clock.now();
        let mut decider = self.gate.decider.borrow_mut();
        decider.first_byte_received(now, &mut self.call);
        if let Some(load) = begun.load {
            decider.apply_load_report(now, dispatch.server, load);
        }
    }

    /// How an attempt ended that was stopped.
    fn stopped(&self) -> Outcome {
        match self.client {
            Client::Waits(_) => Outcome::Timeout,
            _ => Outcome::Truncated { last_event: None },
        }
    }

    /// Keeps an answer that is not a success until it is decided who gets it.
    async fn keep(
        &mut self,
        mut begun: Begun,
        watch: &mut Watch,
        outcome: Outcome,
    ) -> Result<Outcome, Stop> {
        // A stream that goes on elsewhere has had its head: this one is of no use.
        if !matches!(self.client, Client::Waits(_)) {
            return Ok(Outcome::Truncated { last_event: None });
        }
        let gate = Rc::clone(&self.gate);
        let held = guard(
            &gate,
            &self.call,
            &mut self.client,
            watch,
            begun.hold(HELD_MOST),
        )
        .await;
        match held {
            Ok(Ok(held)) if held.whole => {
                self.kept = Some((head_of(&begun), held.bytes));
                Ok(outcome)
            }
            Ok(Ok(_)) => Ok(Outcome::MalformedResponse),
            Ok(Err(outcome)) => Ok(outcome),
            Err(Stop::Left) => Err(Stop::Left),
            Err(Stop::Over) => Ok(self.stopped()),
        }
    }

    /// Takes a success that is held until it is whole, or let through where it is long.
    async fn whole(&mut self, mut begun: Begun, watch: &mut Watch) -> Result<Outcome, Stop> {
        if !matches!(self.client, Client::Waits(_)) {
            return Ok(Outcome::Truncated { last_event: None });
        }
        let gate = Rc::clone(&self.gate);
        let held = guard(
            &gate,
            &self.call,
            &mut self.client,
            watch,
            begun.hold(HELD_MOST),
        )
        .await;
        let held = match held {
            Ok(Ok(held)) => held,
            Ok(Err(outcome)) => return Ok(outcome),
            Err(Stop::Left) => return Err(Stop::Left),
            Err(Stop::Over) => return Ok(self.stopped()),
        };
        if held.whole {
            self.client
                .answer(Answer::Whole(head_of(&begun), held.bytes));
            return Ok(Outcome::Success);
        }
        self.pass_head(&begun, begun.length);
        self.pass_long(begun, watch, held.bytes).await
    }

    /// The client gets the head; parts follow.
    fn pass_head(&mut self, begun: &Begun, length: Option<u64>) {
        let (outlet, flow): (Outlet, Flow) = flow();
        self.client
            .answer(Answer::Flowing(head_of(begun), length, flow));
        self.client = Client::Reads(outlet);
        let now = self.gate.clock.now();
        self.gate
            .decider
            .borrow_mut()
            .response_forwarded(now, &mut self.call, None);
    }
}

impl Client {
    /// Gives the one final answer.
    fn answer(&mut self, answer: Answer) {
        if let Client::Waits(reply) = std::mem::replace(self, Client::Done) {
            // A client that left in this moment has no use for it.
            let _ = reply.send(answer);
        }
    }

    /// Returns when the client has left.
    async fn left(&mut self) {
        match self {
            Client::Waits(reply) => reply.closed().await,
            Client::Reads(outlet) => outlet.left().await,
            Client::Done => std::future::pending().await,
        }
    }
}

fn head_of(begun: &Begun) -> Head {
    Head {
        status: begun.status,
        headers: begun.headers.clone(),
    }
}

/// Waits for a step of an attempt, as long as its client is there and the decisions leave it.
async fn guard<T>(
    gate: &Gate,
    call: &Call,
    client: &mut Client,
    watch: &mut Watch,
    work: impl Future<Output = T>,
) -> Result<T, Stop> {
    tokio::pin!(work);
    loop {
        let look: Instant = gate
            .clock
            .at(watch.check_at.map_or(watch.ends, |at| at.min(watch.ends)));
        tokio::select! {
            biased;
            done = &mut work => return Ok(done),
            () = client.left() => return Err(Stop::Left),
            () = tokio::time::sleep_until(look.into()) => {}
        }
        let now = gate.clock.now();
        if now >= watch.ends {
            return Err(Stop::Over);
        }
        if watch.check_at.is_some_and(|at| at <= now) {
            watch.check_at = match gate.decider.borrow().check_progress(now, call) {
                ProgressCheck::FailOver => return Err(Stop::Over),
                ProgressCheck::Wait { until } => Some(until.max(now + 1_000)),
                ProgressCheck::Ignore => None,
            };
        }
    }
}
