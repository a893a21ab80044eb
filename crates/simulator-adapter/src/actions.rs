//! Encoding of the decision module's actions as lines.

use std::fmt::Write as _;

use ironmast_balancer::{Action, ServerId};
use ironmast_settings::FieldError;

use crate::fields::invalid;
use crate::instance::Instance;

#[cfg(test)]
mod tests;

impl Instance {
    /// Appends the line of an action to `out`. Fails if the action names a server that no list has
    /// contained.
    pub(crate) fn encode_action(
        &self,
        instance: u64,
        action: &Action,
        out: &mut String,
    ) -> Result<(), FieldError> {
        let name = |server: &ServerId| match self.servers.get(server) {
            Some(name) => Ok(name.as_str()),
            None => invalid(
                "backend",
                "the decision module chose a server that is in no list",
            ),
        };
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => {
                writeln!(
                    out,
                    "SEND\t{instance}\t{id}\t{}\t{}",
                    name(server)?,
                    timeout.unwrap_or(0)
                )
            }
            Action::Reject { id, retry_after } => {
                writeln!(
                    out,
                    "NOT_NOW\t{instance}\t{id}\t{}",
                    retry_after.unwrap_or(0)
                )
            }
            Action::Fail { id } => writeln!(out, "END_FAILED\t{instance}\t{id}"),
            Action::Cancel { id, attempt } => writeln!(out, "REVOKE\t{instance}\t{id}\t{attempt}"),
            Action::Timer { delay, token } => writeln!(out, "AFTER\t{instance}\t{delay}\t{token}"),
            Action::Subscribe => writeln!(out, "WATCH\t{instance}\t1"),
            Action::Unsubscribe => writeln!(out, "WATCH\t{instance}\t0"),
            Action::FetchAll => writeln!(out, "QUERY_ALL\t{instance}"),
            Action::Probe { server } => {
                writeln!(out, "HEALTH_CHECK\t{instance}\t{}", name(server)?)
            }
            Action::SendToPeers { to, data } => {
                let _ = match to {
                    Some(peer) => write!(out, "PUBLISH\t{instance}\t{peer}\t"),
                    None => write!(out, "PUBLISH\t{instance}\t-1\t"),
                };
                if data.is_empty() {
                    out.push('-');
                }
                for byte in data {
                    let _ = write!(out, "{byte:02x}");
                }
                writeln!(out)
            }
            Action::CloseIdle { server } => {
                writeln!(out, "DISCONNECT\t{instance}\t{}", name(server)?)
            }
            Action::Log(text) => writeln!(
                out,
                "REMARK\t{instance}\t{}",
                text.replace(['\t', '\n', '\r'], " ")
            ),
        };
        Ok(())
    }
}
