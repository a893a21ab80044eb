//! What attempts, first bytes and health checks tell of a server, and the news of who is set aside
//! and who is back.

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::{EjectionChange, HealthCheckOutcome, Outcome, ServerHandle};
use crate::guards::Guard;
use crate::load::PeerAverages;
use crate::outlier::{EjectionCause, FirstByte, OutlierDetector, PeerHealth};
use crate::request::{Attempt, Call};

/// A server that gave a sign within this is there.
const LIVENESS_TTL: Micros = 500_000;
/// News kept until they are taken; later ones are dropped.
const MAX_EJECTION_CHANGES: usize = 256;

impl Decider {
    /// The first byte of an answer came from the server.
    pub fn first_byte_received(&mut self, now: Micros, call: &mut Call) {
        call.last_byte_at = now;
        let route = call.request.route.clone();
        let Some(attempt) = call
            .attempt_in_flight()
            .filter(|attempt| attempt.first_byte.is_none())
        else {
            return;
        };
        attempt.first_byte = Some(now);
        let (server, sent) = (attempt.server, attempt.sent);
        let (unread, backlog) = (std::mem::take(&mut attempt.unread), attempt.backlog);
        let took = now.saturating_sub(sent);
        self.record_prefill(server, unread, backlog, took);
        let part = took as f64 / call.latency_objective().max(1) as f64;
        let ratio = self.baselines.record_first_byte(&route, took);
        self.record_liveness(now, server);
        let Some(node) = self.endpoints.get(server) else {
            return;
        };
        let memory = self.settings.load_report_max_age;
        let taken = node
            .occupancy
            .load(now, memory, &node.bounds, PeerAverages::default())
            .utilization();
        let byte = FirstByte { ratio, part, taken };
        let peers = match node.health.may_be_slow(byte.ratio) {
            true => self.endpoints.peers(node),
            false => PeerHealth::default(),
        };
        let rests = self.settings.ejection;
        self.change_health(server, |health| {
            health.first_byte_received(now, byte, peers, rests)
        });
    }

    /// What the end of an attempt tells of its server.
    pub(super) fn attributed_outcome(
        &self,
        now: Micros,
        server: ServerHandle,
        outcome: &Outcome,
    ) -> Outcome {
        let Some(node) = self.endpoints.get(server) else {
            return outcome.clone();
        };
        let there =
            node.last_heard.saturating_add(LIVENESS_TTL) > now && node.occupancy.in_flight > 1;
        match outcome {
            // A client that leaves after it heard nothing, unless the server works on others.
            Outcome::Cancelled
                if node.is_unresponsive(now, self.settings.unresponsive_after)
                    && Guard::UnresponsiveCancelCounts.on() =>
            {
                Outcome::Timeout
            }
            // A server that answers others and takes no connection is crowded. A dead one breaks
            // them all.
            Outcome::ConnectFailed if there && Guard::ConnectFailureOfLiveServer.on() => {
                Outcome::NotExecuted { retry_after: None }
            }
            _ => outcome.clone(),
        }
    }

    /// Judges a server by the end of an attempt, told as `outcome`.
    pub(super) fn judge(&mut self, now: Micros, attempt: &Attempt, outcome: &Outcome) {
        let server = attempt.server;
        let Some(node) = self.endpoints.get(server) else {
            return;
        };
        let peers = match outcome {
            Outcome::Success => PeerHealth::default(),
            _ => self.endpoints.peers(node),
        };
        let rests = self.settings.ejection;
        self.change_health(server, |health| {
            health.trial &= !attempt.trial;
            health.attempt_finished(now, outcome, attempt.sent, peers, rests)
        });
        let Some(node) = self.endpoints.get_mut(server) else {
            return;
        };
        match outcome {
            Outcome::Success => node.occupancy.served(),
            Outcome::NotExecuted { retry_after } => node.occupancy.refused(now, *retry_after),
            Outcome::WrongInstance => node.displaced = true,
            _ => {}
        }
        use Outcome::{
            ClientError, ConnectFailed, NotExecuted, ServerError, Success, Timeout, WrongVersion,
        };
        match outcome {
            Success => node.failed_at = 0,
            ConnectFailed | Outcome::Reset | Outcome::MalformedResponse | Timeout => {
                node.failed_at = now
            }
            _ => {}
        }
        match outcome {
            Success | ClientError | ServerError | NotExecuted { .. } | WrongVersion => {
                self.record_liveness(now, server)
            }
            ConnectFailed | Timeout => self.reachability.unanswered(&node.spec.region),
            _ => {}
        }
    }

    /// A health check ended. One that fails ejects a server only if it is dark as well.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        server: ServerHandle,
        outcome: HealthCheckOutcome,
    ) {
        let Some(node) = self.endpoints.get(server) else {
            return;
        };
        let (dark, peers) = (self.is_dark(now, node), self.endpoints.peers(node));
        let well = matches!(
            outcome,
            HealthCheckOutcome::Healthy | HealthCheckOutcome::Full
        );
        if well {
            self.record_liveness(now, server);
        }
        if let Some(node) = self.endpoints.get_mut(server) {
            node.displaced |= outcome == HealthCheckOutcome::WrongInstance;
        }
        let rests = self.settings.ejection;
        self.change_health(server, |health| {
            health.health_check_finished(now, well, rests);
            if dark && !well {
                health.dark(now, peers, rests)
            } else {
                None
            }
        });
    }

    /// Changes what is known of a server's health, and tells who is set aside by it or back.
    fn change_health(
        &mut self,
        server: ServerHandle,
        change: impl FnOnce(&mut OutlierDetector) -> Option<EjectionCause>,
    ) {
        let Some(node) = self.endpoints.get_mut(server) else {
            return;
        };
        let before = node.health.ejected().is_some();
        let cause = change(&mut node.health);
        let after = node.health.ejected().is_some();
        self.ejections += u64::from(cause.is_some());
        if before != after && self.changes.len() < MAX_EJECTION_CHANGES {
            self.changes.push(EjectionChange {
                server,
                instance: node.spec.instance.clone(),
                ejected: cause,
            });
        }
    }

    /// Takes the news of servers that health set aside or took back since they were taken last.
    pub fn take_ejection_changes(&mut self) -> Vec<EjectionChange> {
        std::mem::take(&mut self.changes)
    }

    /// True where health has set a server aside.
    pub fn is_ejected(&self, server: ServerHandle) -> bool {
        self.endpoints
            .get(server)
            .is_some_and(|node| node.health.ejected().is_some())
    }

    /// How often health has set a server aside so far, also again and again.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }
}
