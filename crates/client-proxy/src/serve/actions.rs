//! Executes the actions of the hot restart state machine.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use ironmast_admin::handover::Message;
use ironmast_admin::hot_restart::{self, Action};
use ironmast_transport::listener::{IdleConnections, Listener};
use slog::info;
use tokio::time::{sleep, timeout};

use super::Proxy;
use crate::hot_restart::successor;
use crate::listener::ClientService;
use crate::message::PriorityMessage;

/// How long clients are still accepted after SIGTERM: new ones connect for up to 0.4 s, and then
/// send their requests.
const ACCEPT_AFTER_TERMINATE: Duration = Duration::from_millis(700);

/// The maximum time for accepting the connections that are then left in the backlog, so that
/// clients that keep connecting can't delay the shutdown.
const MAX_BACKLOG_ACCEPT: Duration = Duration::from_millis(50);

impl Proxy {
    pub(super) async fn execute_action(&mut self, action: Action) {
        match action {
            Action::StartServing => self.start_serving(),
            Action::NotifyPredecessor => self.partners.send_to_predecessor(Message::Serving),
            Action::StopServing => self.stop_serving(),
            Action::SetDescriptorPercent(percent) => {
                for budget in &self.descriptors {
                    budget.set_capacity_percent(percent).await;
                }
            }
            Action::Shutdown { idle_connections } => self.shut_down(idle_connections),
        }
    }

    fn start_serving(&mut self) {
        self.partners.begin_serving();
        self.serving.send_replace(true);
        self.command_driver(PriorityMessage::ResumeWarmUp);
        let successors = successor::accept_successors(
            self.files.clone(),
            self.to_partner_events.clone(),
            self.log.clone(),
        );
        let previous = self.successor_task.replace(actix_rt::spawn(successors));
        if let Some(previous) = previous {
            previous.abort();
        }
    }

    fn stop_serving(&mut self) {
        info!(self.log, "the successor is serving");
        self.serving.send_replace(false);
        self.command_driver(PriorityMessage::DelegateWarmUp);
        self.open_names.notify_successor();
    }

    fn shut_down(&mut self, idle_connections: hot_restart::IdleConnections) {
        info!(self.log, "shutting down");
        let idle_connections = match idle_connections {
            hot_restart::IdleConnections::Linger => IdleConnections::KeepUntilTimeout,
            hot_restart::IdleConnections::Close => IdleConnections::CloseNow,
        };
        // A process that shuts down hands over to no successor.
        self.listener = None;
        let finish = drain_clients(
            Rc::clone(&self.clients),
            self.accept_task.take(),
            idle_connections,
        );
        self.shutdown_task = Some(actix_rt::spawn(finish));
    }

    fn command_driver(&self, message: PriorityMessage) {
        // If the driver has ended, the next `wait` reports it.
        let _ = self.to_driver.send(message);
    }
}

/// Accepts clients for the last time, and waits until no request is open.
async fn drain_clients(
    clients: Rc<Listener<ClientService>>,
    accept_task: Option<JoinHandle<()>>,
    idle_connections: IdleConnections,
) {
    sleep(ACCEPT_AFTER_TERMINATE).await;
    clients.stop.notify_one();
    if let Some(mut accept_task) = accept_task {
        // On a time-out the backlog is not empty yet and is abandoned.
        let _ = timeout(MAX_BACKLOG_ACCEPT, &mut accept_task).await;
        accept_task.abort();
    }
    clients.finish(idle_connections).await;
}
