//! Tests of status updates and reachability of gates.

use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_schema::control::GateStatus;

use crate::EndpointTable;
use crate::expiry::RETENTION;

use super::support::{SECOND, START, gate, gate_key, gates_accepting_clients, ready_gates, table};

/// Number of gates that accept new clients and have recently reported to this coordinator itself.
fn directly_reachable_gates(table: &EndpointTable, now: Duration) -> usize {
    gates_accepting_clients(table, now)
        .filter(|gate| gate.is_directly_reachable)
        .count()
}

#[test]
fn a_silent_gate_is_down_until_its_next_update() {
    let mut table = table();
    table.update_gate(START, gate_key(), 4, gate(true));
    assert_eq!(ready_gates(&table, START), 1);
    let expired = table.expire(3 * SECOND);
    assert_matches!(&expired[..], [entry] if entry.version > 4 && entry.version < 8);
    assert_eq!(ready_gates(&table, 3 * SECOND), 0);
    assert!(
        table
            .update_gate(4 * SECOND, gate_key(), 8, gate(true))
            .is_some()
    );
    assert_eq!(ready_gates(&table, 4 * SECOND), 1);
}

#[test]
fn direct_reachability_is_distinguished_from_reachability_by_others() {
    let (mut local, mut remote) = (table(), table());
    let distributed = remote
        .update_gate(START, gate_key(), 4, gate(true))
        .expect("distributed");
    local.merge(START, &distributed);
    assert_eq!(
        (
            ready_gates(&local, START),
            directly_reachable_gates(&local, START)
        ),
        (1, 0)
    );
    local.update_gate(SECOND, gate_key(), 8, gate(true));
    assert_eq!(directly_reachable_gates(&local, SECOND), 1);
    remote.update_gate(4 * SECOND, gate_key(), 12, gate(true));
    local.merge_observed(4 * SECOND, &remote.take_observed());
    assert_eq!(
        (
            ready_gates(&local, 4 * SECOND),
            directly_reachable_gates(&local, 4 * SECOND)
        ),
        (1, 0)
    );
    assert_eq!(
        ready_gates(&local, 7 * SECOND),
        0,
        "no coordinator has heard from it within the timeout"
    );
}

fn status(table: &EndpointTable) -> Option<GateStatus> {
    Some(table.gates(3 * SECOND).next()?.record.status())
}

/// Address resolution sends clients to a region that is not allowed only if their own region was
/// lost, not if it restarts.
#[test]
fn a_stopped_gate_is_distinguished_from_a_lost_one() {
    for (ready, expected) in [(true, GateStatus::Lost), (false, GateStatus::Stopped)] {
        let mut table = table();
        table.update_gate(START, gate_key(), 4, gate(ready));
        table.expire(3 * SECOND);
        assert_eq!(status(&table), Some(expected));
        assert_eq!(
            table.gates(3 * SECOND).next().map(|gate| gate.last_heard),
            Some(START)
        );
    }
}

#[test]
fn the_removal_of_a_gate_is_below_its_next_update() {
    let mut table = table();
    table.update_gate(START, gate_key(), 4, gate(true));
    table.expire(3 * SECOND);
    let removed = table.purge(10 * SECOND + RETENTION);
    assert_matches!(&removed[..], [removal] if removal.version < 8);
}
