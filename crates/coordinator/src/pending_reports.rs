//! Reports of servers that are draining or have ended, pending until a majority of the coordinators
//! has acknowledged them.
//!
//! A report is sent to every other coordinator, followed by a contact check on the same link. A
//! coordinator that answers the check has therefore received and published the report, which then
//! survives the loss of the coordinator that acknowledges it to the server. A link that is
//! established while reports are pending carries them first.

use std::time::Duration;

use ironmast_schema::control::Key;
use tokio::sync::oneshot;

use crate::outcome::{RegistrationError, RegistrationOutcome};

/// Time within which a majority must acknowledge a report. Servers wait one second for the answer.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

/// A report that no majority has acknowledged yet.
#[derive(Debug)]
struct PendingReport {
    key: Key,
    /// Time of arrival by the coordinator's monotonic clock.
    received_at: Duration,
    reply: oneshot::Sender<RegistrationOutcome>,
}

impl PendingReport {
    fn complete(self, outcome: RegistrationOutcome) {
        // The caller is gone if its server has disconnected.
        let _ = self.reply.send(outcome);
    }
}

/// All reports that no majority has acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    reports: Vec<PendingReport>,
}

impl PendingReports {
    /// Adds a report about `key` that was received at `now`.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        key: Key,
        reply: oneshot::Sender<RegistrationOutcome>,
    ) {
        self.reports.push(PendingReport {
            key,
            received_at: now,
            reply,
        });
    }

    /// Keys of the endpoints that the pending reports are about.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &Key> {
        self.reports.iter().map(|report| &report.key)
    }

    /// Acknowledges reports received no later than `quorum_checked_at`, the time at which the
    /// newest contact check that a majority has answered was sent. Rejects reports that have timed
    /// out.
    pub(crate) fn complete(&mut self, now: Duration, quorum_checked_at: Option<Duration>) {
        let is_replicated = |report: &mut PendingReport| {
            quorum_checked_at.is_some_and(|checked_at| report.received_at <= checked_at)
        };
        for report in self.reports.extract_if(.., is_replicated) {
            report.complete(Ok(()));
        }
        let has_timed_out =
            |report: &mut PendingReport| now >= report.received_at + REPLICATION_TIMEOUT;
        for report in self.reports.extract_if(.., has_timed_out) {
            report.complete(Err(RegistrationError::NotReplicated));
        }
    }

    /// Rejects all pending reports.
    pub(crate) fn reject_all(&mut self) {
        for report in self.reports.drain(..) {
            report.complete(Err(RegistrationError::NotReplicated));
        }
    }
}
