//! Connections to the backend servers, over which attempts and health checks are sent on the
//! driver's command.
//!
//! Canceling an attempt drops its future and thereby closes its connection. The result is reported
//! to the driver only after that.

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

/// Dependencies of [`Upstream`].
pub(crate) struct UpstreamContext {
    /// Timeouts of connections to servers.
    pub timeouts: ConnectionTimeouts,
    /// Clock for deadlines and latencies.
    pub clock: Clock,
    /// Logger of the process.
    pub log: Logger,
    /// Budget of file descriptors for connections to servers.
    pub descriptors: DescriptorBudget,
    /// Memory budget for streamed response bodies.
    pub memory: BodyMemory,
    /// Sender of the driver's queue.
    pub queue: Queue,
}

/// Task that owns the connections to servers.
pub(crate) struct Upstream {
    clock: Clock,
    log: Logger,
    memory: BodyMemory,
    queue: Queue,
    clients: Clients,
    stopped_servers: StoppedServers,
    attempts: BTreeMap<(RequestId, u32), AttemptHandle>,
}

/// Handle of an attempt in flight.
struct AttemptHandle {
    /// Cancels the attempt when dropped.
    cancel: oneshot::Sender<()>,
    state: Rc<AttemptState>,
}

impl Upstream {
    /// Creates the task state, without connections.
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

    /// Executes commands until all their senders are dropped.
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

    /// Cancels the attempts at a request of which no byte has been written.
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

    /// Start deadline and admission check of an attempt.
    fn attempt_options(&self, attempt: &Attempt) -> AttemptOptions {
        let server = attempt.server;
        let stopped_servers = self.stopped_servers.clone();
        // Safety rule 3 (no request to a draining or removed server): the server may begin to drain
        // between the decision and the first byte.
        let admission: AdmissionCheck = Box::new(move || !stopped_servers.contains(server));
        // Safety rule 2 (no retry that may execute twice): a connection that is established late
        // would start a retry after the window in which servers drop duplicates.
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
