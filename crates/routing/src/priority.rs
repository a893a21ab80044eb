//! The priority with which a request is queued at a server.

/// The lowest priority that is distinguished: the largest number that the `Priority` header can
/// express.
pub(crate) const LOWEST_PRIORITY: u32 = 9;
/// Each doubling of the latency objective, relative to the shortest one of the service, lowers the
/// priority by this many ranks.
const RANKS_PER_DOUBLING: f64 = 3.0;

/// The priority of a request at a server; 0 is the most urgent. It is the route's priority, lowered
/// for a latency objective longer than the shortest one of the service.
///
/// A long request hardly notices a short one ahead of it, whereas a short one behind a long one
/// misses its objective. Both objectives are in microseconds.
pub(crate) fn queue_priority(route_priority: u32, objective: f64, shortest_objective: f64) -> u32 {
    let ratio = (objective.max(1.0) / shortest_objective.max(1.0)).max(1.0);
    let ranks = (RANKS_PER_DOUBLING * ratio.log2()).round() as u32;
    route_priority.saturating_add(ranks)
}

#[cfg(test)]
mod tests;
