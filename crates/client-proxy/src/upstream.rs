//! The connections to pay servers: makes the attempts and health checks that the driver orders.
//!
//! An attempt is canceled by dropping its future, and its connection with it; only then is its end
//! reported.

mod attempt;
mod clients;
mod health_check;
mod stopped_servers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_balancer::{RequestId, ServerId};
use ironmast_transport::attempt::{AdmissionCheck, AttemptOptions, AttemptState};
use ironmast_transport::body::BodyMemory;
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::message::{Attempt, Message, Queue, UpstreamCommand};

use attempt::AttemptTask;
use clients::Clients;
use health_check::HealthCheck;
use stopped_servers::StoppedServers;

pub(crate) use clients::ConnectionTimeouts;

/// What the connections to servers need of the process.
pub(crate) struct UpstreamContext {
    /// The time-outs of connections.
    pub timeouts: ConnectionTimeouts,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The descriptors for connections to servers.
    pub descriptors: DescriptorBudget,
    /// The memory for bodies.
    pub memory: BodyMemory,
    /// To the driver.
    pub queue: Queue,
}

/// The owner of the connections to servers.
pub(crate) struct Upstream {
    clock: Clock,
    log: Logger,
    memory: BodyMemory,
    queue: Queue,
    clients: Clients,
    stopped_servers: StoppedServers,
    attempts: BTreeMap<(RequestId, u32), AttemptHandle>,
}

/// An attempt in flight.
struct AttemptHandle {
    /// Cancels the attempt when it is dropped.
    cancel: oneshot::Sender<()>,
    state: Rc<AttemptState>,
}

impl Upstream {
    /// An owner without connections.
    pub(crate) fn new(context: UpstreamContext) -> Self {
        Upstream {
            clock: context.clock,
            log: context.log,
            memory: context.memory,
            queue: context.queue,
            clients: Clients::new(context.timeouts, context.clock, context.descriptors),
            stopped_servers: StoppedServers::default(),
            attempts: BTreeMap::new(),
        }
    }

    /// Executes commands until all senders are dropped.
    pub(crate) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<UpstreamCommand>) {
        while let Some(command) = commands.recv().await {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: UpstreamCommand) {
        match command {
            UpstreamCommand::Send(attempt) => self.send(attempt),
            UpstreamCommand::Cancel(id, number) => drop(self.attempts.remove(&(id, number))),
            UpstreamCommand::CancelUnstarted(id) => self.cancel_unstarted(id),
            UpstreamCommand::CheckHealth(server, address) => self.check_health(server, address),
            UpstreamCommand::CloseIdle(server) => self.clients.close(server),
            UpstreamCommand::StopSending(server) => {
                self.stopped_servers.insert(server, self.clock.now());
                self.clients.close(server);
            }
            UpstreamCommand::ResumeSending(server) => self.stopped_servers.remove(server),
        }
    }

    /// Cancels the attempts of a request of which nothing has been written.
    fn cancel_unstarted(&mut self, id: RequestId) {
        self.attempts
            .retain(|&(request, _), attempt| request != id || attempt.state.bytes_written() > 0);
    }

    fn send(&mut self, attempt: Attempt) {
        self.attempts
            .retain(|_, attempt| !attempt.cancel.is_closed());
        let (cancel, canceled) = oneshot::channel();
        let client = self.clients.get(attempt.server, attempt.address);
        let state = AttemptState::new(self.attempt_options(&attempt));
        let handle = AttemptHandle {
            cancel,
            state: Rc::clone(&state),
        };
        self.attempts.insert((attempt.id, attempt.number), handle);
        let queue = self.queue.clone();
        let task = AttemptTask {
            client,
            attempt,
            state,
            clock: self.clock,
            memory: self.memory.clone(),
        };
        actix_rt::spawn(async move {
            let result = task.run(canceled).await;
            queue.send(Message::AttemptEnded(result));
        });
    }

    /// Until when, and on which condition, an attempt may start.
    fn attempt_options(&self, attempt: &Attempt) -> AttemptOptions {
        let server = attempt.server;
        let stopped_servers = self.stopped_servers.clone();
        // Guards rule 3: the server may begin to drain between the decision and the first byte.
        let admission: AdmissionCheck = Box::new(move || !stopped_servers.contains(server));
        // Guards rule 2: a connection that is established late would start a retry after its window.
        let start_deadline = attempt
            .start_deadline
            .map(|deadline| (self.clock, deadline));
        AttemptOptions {
            admission: Some(admission),
            start_deadline,
            ..AttemptOptions::default()
        }
    }

    fn check_health(&self, server: ServerId, address: SocketAddr) {
        let check = HealthCheck {
            client: self.clients.get(server, address),
            server,
            address,
            clock: self.clock,
            log: self.log.clone(),
        };
        let queue = self.queue.clone();
        actix_rt::spawn(async move {
            let result = check.run().await;
            queue.send(result);
        });
    }
}
