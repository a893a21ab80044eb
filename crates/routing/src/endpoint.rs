//! One server and everything that the decider knows about it.

use std::sync::Arc;

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::affinity::name_hash;
use crate::decision::ServerHandle;
use crate::guards::Guard;
use crate::load::CapacityLimits;
use crate::occupancy::Occupancy;
use crate::outcome::Outcome;
use crate::outlier::OutlierDetector;
use crate::prefill::PrefillBacklog;
use crate::suspicion::PeerSuspicions;
use crate::table::{RegionId, ServerSpec, ServerState, ServiceSpec};

/// A server whose heartbeats are missing counts as alive only if something was received from it at
/// least this long after they stopped, in microseconds.
const HEARTBEAT_LOSS_GRACE: Micros = 250_000;
/// Time for which a server whose heartbeats are missing counts as alive after each receipt, in
/// microseconds.
const LIVENESS_TTL_WITHOUT_HEARTBEATS: Micros = 3_000_000;
/// Time for which any server counts as alive after anything was received from it, in microseconds.
const LIVENESS_TTL: Micros = 500_000;
/// Time for which a server is suspect after an attempt at it failed without a response, unless
/// another attempt succeeds meanwhile, in microseconds.
const FAILURE_TTL: Micros = 1_000_000;

/// A server with its state: what the table says of it, what this gate has observed, and what other
/// gates report.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts from the table, tested on each decision"
)]
pub(crate) struct Endpoint {
    pub(crate) spec: Arc<ServerSpec>,
    pub(crate) handle: ServerHandle,
    /// Hash of the server's instance.
    pub(crate) hash: u64,
    /// Hashes of the models that the server announces; empty if it announces none.
    pub(crate) models: SmallVec<[u64; 2]>,
    pub(crate) region: RegionId,
    /// Index of the server's group (the servers of one service in one region).
    pub(crate) group: u32,
    pub(crate) limits: CapacityLimits,
    pub(crate) occupancy: Occupancy,
    pub(crate) prefill_backlog: PrefillBacklog,
    pub(crate) outlier: OutlierDetector,
    /// The server is in the current table.
    pub(crate) is_listed: bool,
    /// The server is shutting down gracefully.
    is_draining: bool,
    /// The server's zone is evacuated.
    is_evacuated: bool,
    /// The server's heartbeats are missing.
    misses_heartbeats: bool,
    /// Another instance responded at the server's address. A newer announcement of the server
    /// resets the flag.
    pub(crate) is_displaced: bool,
    /// Clock reading at which anything was last received from the server.
    pub(crate) last_heard: Micros,
    /// Clock reading at which an attempt at the server last failed without a response; 0 after a
    /// success.
    pub(crate) failed_at: Micros,
    /// Other gates that suspect the server.
    pub(crate) suspicions: PeerSuspicions,
    /// Clock reading since which this gate has had at least one attempt in flight at the server.
    pub(crate) in_flight_since: Micros,
    /// Clock reading of the last health check; 0 if there was none.
    pub(crate) health_checked_at: Micros,
}

impl Endpoint {
    /// A server without a region, a group and limits, which [`Endpoint::list`] sets.
    pub(crate) fn new(now: Micros, spec: &Arc<ServerSpec>, handle: ServerHandle) -> Endpoint {
        Endpoint {
            spec: spec.clone(),
            handle,
            hash: name_hash(&spec.instance),
            models: model_hashes(spec),
            region: 0,
            group: 0,
            limits: CapacityLimits {
                slots: 0,
                kv_cache: 0,
                connections: 0,
                gates: 1,
            },
            occupancy: Occupancy::default(),
            prefill_backlog: PrefillBacklog::default(),
            outlier: OutlierDetector::default(),
            is_listed: true,
            is_draining: false,
            is_evacuated: false,
            misses_heartbeats: false,
            is_displaced: false,
            last_heard: now,
            failed_at: 0,
            suspicions: PeerSuspicions::default(),
            in_flight_since: now,
            health_checked_at: 0,
        }
    }

    /// Replaces the specification by a newer one of the same instance.
    pub(crate) fn update_spec(&mut self, spec: &Arc<ServerSpec>) {
        let is_newer = spec.sequence > self.spec.sequence || spec.address != self.spec.address;
        self.is_displaced &= !is_newer;
        if self.spec.models != spec.models {
            self.models = model_hashes(spec);
        }
        self.spec = spec.clone();
    }

    /// Marks the server as listed, in a region and group of the current table. The number of slots
    /// is the announced one, or the service's if the server announces none.
    pub(crate) fn list(&mut self, region: RegionId, group: u32, service: &ServiceSpec, gates: u32) {
        let slots = match self.spec.capacity {
            0 => service.slots,
            announced => announced,
        };
        self.is_listed = true;
        self.is_draining = self.spec.state == ServerState::Draining;
        self.is_evacuated = self.spec.evacuated;
        self.misses_heartbeats = self.spec.heartbeats_missing_since.is_some();
        self.region = region;
        self.group = group;
        self.limits = CapacityLimits {
            slots,
            kv_cache: service.kv_cache_tokens,
            connections: service.max_connections,
            gates,
        };
    }

    /// Records what the outcome of an attempt shows of the server: success, lack of capacity,
    /// displacement, or a failure without a response.
    pub(crate) fn record_outcome(&mut self, now: Micros, outcome: &Outcome) {
        match outcome {
            Outcome::Success => {
                self.occupancy.record_success();
                self.failed_at = 0;
            }
            Outcome::NotExecuted { retry_after } => {
                self.occupancy.record_overload(now, *retry_after);
            }
            Outcome::WrongInstance => self.is_displaced = true,
            Outcome::ConnectFailed
            | Outcome::Reset
            | Outcome::MalformedResponse
            | Outcome::Timeout => self.failed_at = now,
            _ => {}
        }
    }

    /// True if the server may receive new requests as far as the table says: it is listed, ready,
    /// in a zone that is not evacuated, and not displaced by another instance.
    pub(crate) fn is_eligible(&self) -> bool {
        let is_draining = self.is_draining && Guard::Draining.on();
        let is_evacuated = self.is_evacuated && Guard::Evacuated.on();
        let is_displaced = self.is_displaced && Guard::Displaced.on();
        self.is_listed && !is_draining && !is_evacuated && !is_displaced
    }

    /// True if no attempt is in flight and the current table does not list the server.
    pub(crate) fn is_obsolete(&self) -> bool {
        !self.is_listed && self.occupancy.in_flight == 0
    }

    /// True if attempts at the server are in flight and nothing was received from it for `timeout`
    /// microseconds.
    pub(crate) fn is_unresponsive(&self, now: Micros, timeout: Micros) -> bool {
        let since = self.in_flight_since.max(self.last_heard);
        self.occupancy.in_flight > 0 && since.saturating_add(timeout) <= now
    }

    /// True if this gate suspects the server: it is unresponsive, or an attempt at it has recently
    /// failed without a response and none has succeeded since.
    pub(crate) fn is_suspect(&self, now: Micros, timeout: Micros) -> bool {
        let has_failed = self.failed_at > 0 && self.failed_at.saturating_add(FAILURE_TTL) > now;
        has_failed || self.is_unresponsive(now, timeout)
    }

    /// True if several other gates suspect the server and this one has received nothing from it
    /// recently.
    pub(crate) fn is_suspected_by_peers(&self, now: Micros) -> bool {
        self.suspicions.is_confirmed(now) && !self.was_heard_recently(now)
    }

    /// True if anything was received from the server recently.
    pub(crate) fn was_heard_recently(&self, now: Micros) -> bool {
        self.last_heard.saturating_add(LIVENESS_TTL) > now
    }

    /// True if the server's heartbeats are missing and this gate has no newer sign of life: nothing
    /// was received later than [`HEARTBEAT_LOSS_GRACE`] after they stopped, or nothing within the
    /// last [`LIVENESS_TTL_WITHOUT_HEARTBEATS`]. A server that responds is alive, and the fault may
    /// be in the path of the heartbeats.
    pub(crate) fn is_presumed_lost(&self, now: Micros) -> bool {
        let missing_since = self.spec.heartbeats_missing_since.unwrap_or_default();
        let is_alive = self.last_heard >= missing_since.saturating_add(HEARTBEAT_LOSS_GRACE)
            && self
                .last_heard
                .saturating_add(LIVENESS_TTL_WITHOUT_HEARTBEATS)
                > now;
        self.misses_heartbeats && !(is_alive && Guard::LivenessOverHeartbeats.on())
    }

    /// True if the server announces the model, given by its hash, or announces no models.
    pub(crate) fn serves_model(&self, model: u64) -> bool {
        self.models.is_empty() || self.models.contains(&model)
    }
}

fn model_hashes(spec: &ServerSpec) -> SmallVec<[u64; 2]> {
    spec.models.iter().map(|model| name_hash(model)).collect()
}
