//! Tests of `failure_detector.rs`.

use super::zone::{FIRST_PROBE_INTERVAL, RECENT_RECOVERY, REMOTE_PROBE_FACTOR};
use super::*;

const MS: Micros = 1_000;
/// The jitter that delays the first probe of an unreachable zone for longest.
const MAX_JITTER: f64 = 0.999;

fn id(number: u64) -> ServerId {
    ServerId(number)
}

fn server_unreachable(further_probes: usize) -> Verdict {
    Verdict::ServerUnreachable { further_probes }
}

/// A detector of a balancer in zone 0.
#[derive(Default)]
struct Fixture(FailureDetector);

impl Fixture {
    fn sent(&mut self, server: u64, zone: ZoneId, now: Micros) {
        self.0.attempt_sent(id(server), zone, now);
    }

    fn ended(&mut self, server: u64) {
        self.0.attempt_ended(id(server));
    }

    /// Returns whether the zone was unreachable until now.
    fn alive(&mut self, server: u64, zone: ZoneId, now: Micros) -> bool {
        self.0.record_alive(id(server), zone, now)
    }

    fn suspects(&mut self, now: Micros, overdue_after: Micros) -> Vec<ServerId> {
        self.0.suspects(now, overdue_after, |zone| match zone {
            0 => Locality::Local,
            _ => Locality::Remote,
        })
    }

    /// Records an unanswered probe of a server in a local zone of fifty ready servers.
    fn unanswered(&mut self, server: u64, zone: ZoneId, now: Micros) -> Verdict {
        self.unanswered_of(server, zone, 50, now)
    }

    /// Records an unanswered probe of a server in a local zone of `ready` servers.
    fn unanswered_of(&mut self, server: u64, zone: ZoneId, ready: usize, now: Micros) -> Verdict {
        let state = self.0.zone_mut(zone);
        state.record_unanswered(id(server), Locality::Local, ready, now, 0.0)
    }

    /// Records three unanswered probes at time 0, which make zone 0 unreachable.
    fn make_unreachable(&mut self, locality: Locality) {
        for server in 1..=3 {
            let state = self.0.zone_mut(0);
            state.record_unanswered(id(server), locality, 50, 0, MAX_JITTER);
        }
    }
}

#[test]
fn a_zone_with_pending_responses_and_no_sign_of_life_is_probed_until_one_arrives() {
    let mut detector = Fixture::default();
    let overdue_after = 100 * MS;
    detector.alive(9, 0, 0);
    for server in 1..=4 {
        detector.sent(server, 0, 10 * MS * server);
    }
    assert_eq!(detector.suspects(109 * MS, overdue_after), []);
    assert_eq!(detector.suspects(110 * MS, overdue_after), [id(1)]);
    assert_eq!(
        detector.suspects(150 * MS, overdue_after),
        [],
        "a single server is probed first"
    );
    assert_eq!(
        detector.suspects(170 * MS, overdue_after),
        [id(2), id(3)],
        "further servers are probed after the delay"
    );
    assert_eq!(detector.suspects(900 * MS, overdue_after), []);
    assert!(
        !detector.alive(4, 0, 950 * MS),
        "the zone was not unreachable yet"
    );
    assert_eq!(
        detector.suspects(1_049 * MS, overdue_after),
        [],
        "the timeout counts from the sign of life"
    );
    assert_eq!(detector.suspects(1_050 * MS, overdue_after), [id(1)]);
}

#[test]
fn a_zone_with_a_single_pending_response_has_a_longer_timeout_and_one_with_none_is_not_probed() {
    let mut detector = Fixture::default();
    let overdue_after = 100 * MS;
    detector.sent(4, 0, 950 * MS);
    detector.alive(5, 0, 2_000 * MS);
    assert_eq!(detector.suspects(2_199 * MS, overdue_after), []);
    assert_eq!(detector.suspects(2_200 * MS, overdue_after), [id(4)]);
    detector.ended(4);
    assert_eq!(detector.suspects(9_000 * MS, overdue_after), []);
}

#[test]
fn three_unanswered_probes_in_a_row_make_a_zone_unreachable_unless_a_sign_of_life_intervenes() {
    let mut detector = Fixture::default();
    assert_eq!(detector.unanswered(1, 0, 0), server_unreachable(2));
    assert_eq!(
        detector.unanswered(1, 0, 1),
        Verdict::Nothing,
        "the same server again"
    );
    assert_eq!(detector.unanswered(2, 0, 2), server_unreachable(0));
    detector.alive(9, 0, 3);
    assert_eq!(
        detector.unanswered(3, 0, 4),
        server_unreachable(2),
        "counted from the sign of life"
    );
    detector.unanswered(4, 0, 5);
    assert_eq!(
        detector.unanswered(7, 1, 6),
        server_unreachable(2),
        "each zone is counted separately"
    );
    assert_eq!(detector.unanswered(5, 0, 7), Verdict::ZoneUnreachable);
    assert!(detector.0.is_unreachable(0) && !detector.0.is_unreachable(1));
}

#[test]
fn two_unanswered_probes_make_a_zone_of_two_servers_unreachable() {
    let mut detector = Fixture::default();
    detector.unanswered_of(1, 0, 2, 0);
    assert_eq!(detector.unanswered_of(2, 0, 2, 1), Verdict::ZoneUnreachable);
}

#[test]
fn an_unreachable_zone_is_probed_once_at_a_time_and_found_unreachable_sooner_the_next_time() {
    let mut detector = Fixture::default();
    detector.make_unreachable(Locality::Local);
    assert_eq!(detector.0.due_zone_probes(FIRST_PROBE_INTERVAL / 2), []);
    assert_eq!(detector.0.due_zone_probes(FIRST_PROBE_INTERVAL), [0]);
    assert_eq!(detector.0.due_zone_probes(FIRST_PROBE_INTERVAL + 1), []);
    assert_eq!(
        detector.0.due_zone_probes(FIRST_PROBE_INTERVAL * 5 / 2),
        [0]
    );
    assert_eq!(
        detector.unanswered(4, 0, FIRST_PROBE_INTERVAL),
        Verdict::Nothing,
        "the zone is unreachable already"
    );
    assert!(
        detector.alive(2, 0, 2_000 * MS),
        "one sign of life makes the zone reachable"
    );
    assert!(!detector.0.is_unreachable(0));
    assert_eq!(detector.0.due_zone_probes(9_000 * MS), []);
    assert_eq!(detector.unanswered(5, 0, 3_000 * MS), server_unreachable(1));
    assert_eq!(
        detector.unanswered(6, 0, 3_000 * MS),
        Verdict::ZoneUnreachable,
        "two are enough after a recent recovery"
    );
    detector.alive(5, 0, 4_000 * MS);
    assert_eq!(
        detector.unanswered(5, 0, 4_000 * MS + RECENT_RECOVERY),
        server_unreachable(2),
        "two are not enough once the recovery is no longer recent"
    );
}

#[test]
fn an_unreachable_remote_zone_is_probed_less_often() {
    let mut detector = Fixture::default();
    detector.make_unreachable(Locality::Remote);
    assert_eq!(detector.0.due_zone_probes(FIRST_PROBE_INTERVAL * 4), []);
    assert_eq!(
        detector
            .0
            .due_zone_probes(FIRST_PROBE_INTERVAL * REMOTE_PROBE_FACTOR),
        [0]
    );
}

#[test]
fn no_server_of_a_remote_zone_is_probed_twice_and_none_with_a_single_pending_response() {
    let mut detector = Fixture::default();
    for server in 1..=3 {
        detector.sent(server, 1, 0);
    }
    detector.sent(4, 2, 0);
    assert_eq!(
        detector.suspects(100 * MS, 50 * MS),
        [id(1)],
        "zone 2 has a single response pending"
    );
    detector.suspects(200 * MS, 50 * MS);
    assert_eq!(
        detector.unanswered(1, 1, 400 * MS),
        server_unreachable(0),
        "two probes are pending already"
    );
}

#[test]
fn a_refused_connection_is_a_sign_of_life_and_an_unanswered_one_is_not() {
    let of = Liveness::of;
    let alive = Some(Liveness::Alive);
    let unanswered = Some(Liveness::Unanswered);
    assert_eq!(of(Outcome::ConnectFailed, 20 * MS), alive);
    assert_eq!(of(Outcome::ConnectFailed, 200 * MS), unanswered);
    assert_eq!(
        of(Outcome::ServerError, 5_000 * MS),
        alive,
        "a late response is a sign of life"
    );
    assert_eq!(
        of(Outcome::Cancelled, 5_000 * MS),
        None,
        "cancelled by this balancer"
    );
}
