//! Decides which changes of a value are distributed to the other nodes. Unchanged heartbeats are
//! not distributed, because they would be most of the traffic.

use ironmast_schema::control::Value;
use ironmast_schema::registration::{Heartbeat, InstanceState};

/// Whether nodes that hold the old value need the new one.
pub(crate) fn must_distribute(old: &Value, new: &Value) -> bool {
    match (old, new) {
        (Value::Instance(old), Value::Instance(new)) => {
            old.liveness != new.liveness
                || must_distribute_heartbeat(&old.heartbeat, &new.heartbeat)
        }
        _ => old != new,
    }
}

/// Whether gates that hold the old heartbeat need the new one.
fn must_distribute_heartbeat(old: &Heartbeat, new: &Heartbeat) -> bool {
    let is_unchanged = old.backend == new.backend
        && old.address == new.address
        && old.zone == new.zone
        && old.generation == new.generation
        && old.capacity == new.capacity
        && old.state == new.state
        && is_warming_up(old) == is_warming_up(new);
    // The remaining times of a server that warms up or drains change with each heartbeat, and gates
    // need them.
    !is_unchanged
        || is_warming_up(new)
        || new.state == InstanceState::Draining && old.remaining_ms != new.remaining_ms
}

fn is_warming_up(heartbeat: &Heartbeat) -> bool {
    heartbeat.warmup_left_ms > 0.0
}
