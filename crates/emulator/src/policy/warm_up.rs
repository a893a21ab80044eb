//! The limit on load during warm-up (rule 4) without communication between proxies: they send to a
//! server that is warming up in turns, which depend on its id and the time alone.

use ironmast_balancer::{Micros, Settings};

use super::endpoints::Endpoint;
use crate::random::hash_parts;

/// The length of a turn. In the first half of the warm-up one proxy per turn may send to the
/// server, and only one request.
const TURN: Micros = 250_000;
/// The number of proxies per turn that may send to the server in the second half of the warm-up.
const PROXIES_PER_TURN: u64 = 3;
/// The minimum interval between two requests of one proxy in the second half of the warm-up, during
/// which each proxy has at most one request in flight.
const MIN_INTERVAL: Micros = 50_000;

/// Whether this proxy may send to a server now. Only a warm-up in progress restricts that.
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

/// The position of this proxy, from 0, in the order of all proxies in this turn. The order is
/// rotated by a hash of the server id and the turn.
fn position_in_turn(settings: &Settings, endpoint: &Endpoint, turn: Micros) -> u64 {
    let offset = hash_parts([endpoint.listed.id.0, turn, 1, 1]);
    offset.wrapping_add(u64::from(settings.balancer_index)) % u64::from(settings.balancers)
}
