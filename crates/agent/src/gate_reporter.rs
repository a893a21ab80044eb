//! Makes the status of the agent's gate a versioned entry for the coordinators.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use ironmast_schema::control::{Entry, GateRecord, Key, Value};
use ironmast_schema::settings::Settings;
use tokio::sync::watch;

/// Difference between the versions of consecutive statuses. Coordinators use the versions in between
/// to record the gate's loss and removal, which they detect themselves.
const VERSIONS_PER_STATUS: u64 = 4;

/// The status that a gate has sent over its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportedStatus {
    /// Address at which clients connect; it identifies the gate.
    pub(crate) frontend: SocketAddr,
    /// Whether the gate accepts new clients.
    pub(crate) ready: bool,
}

/// The newest status of the agent's gate, with the location and version to report it with.
pub(crate) struct GateReporter {
    zone: String,
    region: String,
    latest: watch::Sender<Option<Entry>>,
    /// Highest version known for this gate, by this agent or an earlier incarnation.
    version: u64,
}

impl GateReporter {
    /// A reporter without a status. Versions start at the Unix time in milliseconds.
    pub(crate) fn new(settings: &Settings) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        GateReporter {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            latest: watch::Sender::new(None),
            version: now.as_millis() as u64,
        }
    }

    /// Changes the zone and region of the gate. If they differ, the current status is reported again
    /// with the new ones.
    pub(crate) fn set_location(&mut self, settings: &Settings) {
        if self.zone == settings.zone && self.region == settings.region {
            return;
        }
        self.zone.clone_from(&settings.zone);
        self.region.clone_from(&settings.region);
        let Some(mut entry) = self.renew() else {
            return;
        };
        if let Value::Gate(record) = &mut entry.value {
            record.zone.clone_from(&self.zone);
            record.region.clone_from(&self.region);
        }
        self.latest.send_replace(Some(entry));
    }

    /// Reports the status of a connected gate.
    pub(crate) fn report_up(&mut self, status: ReportedStatus) {
        self.report(status, false);
    }

    /// Reports that the gate's connection has closed. If the gate was ready until then, coordinators
    /// take this for a crash, otherwise for an orderly shutdown.
    pub(crate) fn report_down(&mut self, last_status: ReportedStatus) {
        self.report(last_status, true);
    }

    fn report(&mut self, status: ReportedStatus, down: bool) {
        let version = self.next_version();
        let record = GateRecord {
            zone: self.zone.clone(),
            region: self.region.clone(),
            ready: status.ready,
            down,
        };
        self.latest.send_replace(Some(Entry {
            key: Key::Gate(status.frontend),
            version,
            value: Value::Gate(record),
        }));
    }

    /// Returns the newest status with a new version, which shows the coordinators that the gate is
    /// alive; `None` before the first status.
    pub(crate) fn renew(&mut self) -> Option<Entry> {
        let version = self.next_version();
        let status = self.latest.borrow().clone()?;
        Some(Entry { version, ..status })
    }

    fn next_version(&mut self) -> u64 {
        self.version += VERSIONS_PER_STATUS;
        self.version
    }

    /// Advances the version to that of `entry` if this is a status of the same gate: an earlier
    /// incarnation of this agent may have used higher versions.
    pub(crate) fn advance_past(&mut self, entry: &Entry) {
        let is_own = self
            .latest
            .borrow()
            .as_ref()
            .is_some_and(|status| status.key == entry.key);
        if is_own {
            self.version = self.version.max(entry.version);
        }
    }

    /// Subscribes to new statuses. Renewals by [`GateReporter::renew`] are not included.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Entry>> {
        self.latest.subscribe()
    }
}
