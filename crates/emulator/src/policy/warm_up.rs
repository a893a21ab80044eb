//! Rule 4 without communication: proxies share a server that is warming up by turns that depend on
//! its id and the time alone.

use ironmast_balancer::{Micros, Settings};

use super::endpoints::Endpoint;
use crate::random::hash_parts;

/// In the first half of the warm-up one proxy at a time may send to the server, for one turn of
/// this length, and one request in it.
const TURN: Micros = 250_000;
/// In the second half this many proxies at a time may send to it.
const PROXIES_PER_TURN: u64 = 3;
/// Each of them one request at a time, with at least this long between two.
const MIN_INTERVAL: Micros = 50_000;

/// Whether this proxy may send to a server, if it is warming up, now.
pub(super) fn may_send(settings: &Settings, endpoint: &Endpoint, now: Micros) -> bool {
    let Some(started) = endpoint.listed.started else {
        return true;
    };
    let (age, warm_up) = (now.saturating_sub(started), settings.safety.warm_up);
    if age >= warm_up {
        return true;
    }
    let turn = now / TURN;
    let position = position_in_turn(settings, endpoint, turn);
    if age < warm_up / 2 {
        position == 0 && endpoint.last_sent / TURN != turn
    } else {
        let is_due = now >= endpoint.last_sent + MIN_INTERVAL;
        position < PROXIES_PER_TURN && endpoint.in_flight == 0 && is_due
    }
}

/// The position of this proxy, from 0, in a random rotation of all proxies.
fn position_in_turn(settings: &Settings, endpoint: &Endpoint, turn: Micros) -> u64 {
    let offset = hash_parts([endpoint.listed.id.0, turn, 1, 1]);
    offset.wrapping_add(u64::from(settings.balancer_index)) % u64::from(settings.balancers)
}
