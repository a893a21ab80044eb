//! Handles priority messages: operators' commands, overrides of servers, and requests of the other
//! process of a hot restart.

use ironmast_admin::command::{Command, CommandError, Reply, UnknownServer};
use ironmast_admin::handover;
use ironmast_admin::overrides::{Applied, ServerOverride, ServerOverrides};
use ironmast_balancer::Micros;
use slog::{info, warn};

use super::Driver;
use crate::message::{HandoverState, PriorityMessage};
use crate::runtime_files::SaveError;

/// Function that disables or enables the server with a given UID.
type OverrideChange = fn(&mut ServerOverrides, &str, Micros) -> Result<Applied, UnknownServer>;

impl Driver {
    pub(super) fn handle_priority(&mut self, message: PriorityMessage) {
        match message {
            PriorityMessage::Command(command, reply) => {
                let result = self.execute(&command);
                info!(self.log, "operator command executed"; "result" => ?result.as_ref().map_err(ToString::to_string));
                // Fails only if the operator has disconnected; the command stays in effect.
                let _ = reply.send(result);
            }
            PriorityMessage::PartnerOverride(change) => self.apply_partner_override(change),
            PriorityMessage::DelegateWarmUp => {
                let warm_up = self.settings.safety.warm_up;
                self.delegate_started_after(Some(self.clock.now().saturating_sub(warm_up)));
            }
            PriorityMessage::ResumeWarmUp => self.delegate_started_after(None),
            PriorityMessage::DescribeState(reply) => {
                let state = HandoverState {
                    overrides: self.overrides.state().clone(),
                    endpoints: self.overrides.discovered(),
                };
                // Fails only while the process exits.
                let _ = reply.send(state);
            }
        }
    }

    /// Executes an operator's command and returns the reply.
    fn execute(&mut self, command: &Command) -> Reply {
        match command {
            Command::Ready => self.readiness(),
            Command::DisableServer(uid) => self.change_override(uid, ServerOverrides::disable),
            Command::EnableServer(uid) => self.change_override(uid, ServerOverrides::enable),
        }
    }

    /// Replies whether this process can serve requests.
    fn readiness(&self) -> Reply {
        if self.servers.is_empty() {
            return Err(CommandError::NoEndpoints);
        }
        if !self.partners.has_begun_serving() {
            return Err(CommandError::PredecessorServing);
        }
        Ok("ready".to_string())
    }

    fn change_override(&mut self, uid: &str, change: OverrideChange) -> Reply {
        let now = self.clock.now();
        let before = self.overrides.override_of(uid);
        let Applied { remark, update } = change(&mut self.overrides, uid, now)?;
        if let Some(update) = update {
            self.update_endpoints(update);
        }
        let after = self.overrides.override_of(uid);
        if after == before {
            return Ok(remark);
        }
        self.partners.send(handover::Message::Override(after));
        // Saved before the reply, so that an acknowledged override survives this process.
        if self.save_overrides().is_ok() {
            Ok(remark)
        } else {
            Ok(format!(
                "{remark}, until this process ends: it could not be written down"
            ))
        }
    }

    /// Applies an override that an operator set in the other process of a hot restart.
    fn apply_partner_override(&mut self, change: ServerOverride) {
        info!(self.log, "override received from the other process"; "server" => &change.uid, "disabled" => change.disabled_at.is_some());
        if let Some(update) = self.overrides.apply_override(change) {
            self.update_endpoints(update);
        }
        // `save_overrides` logs a failure. The operator gets the reply of the other process.
        let _ = self.save_overrides();
    }

    /// Leaves the servers that started after this clock reading to a successor; `None` ends the
    /// delegation.
    fn delegate_started_after(&mut self, after: Option<Micros>) {
        if let Some(update) = self.overrides.delegate_started_after(after) {
            self.update_endpoints(update);
        }
    }

    /// Saves the overrides to the runtime files, and logs a failure.
    ///
    /// # Errors
    /// [`SaveError`] if the file cannot be written.
    fn save_overrides(&self) -> Result<(), SaveError> {
        self.files
            .save_overrides(self.overrides.state())
            .inspect_err(|error| {
                warn!(self.log, "could not save the disabled servers; this change may not survive a restart"; "error" => %error);
            })
    }
}
