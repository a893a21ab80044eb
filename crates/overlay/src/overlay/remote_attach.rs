//! Attachment of an agent to a parent in another region, when its own region has no suitable
//! parent.
//!
//! The agents of a region attach remotely in the order of their scores, so that one of them becomes
//! the region head and the others find a parent below it.

use std::time::Duration;

use rand::seq::IndexedRandom as _;

use super::{Action, Overlay};
use crate::node::Descriptor;

/// Interval between the attempts of a detached agent.
const DETACHED_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between the attempts of an attached agent whose root is out of contact with a majority,
/// if the agent keeps a standby link anyway.
const STANDBY_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between the attempts of an attached agent whose root is out of contact with a majority,
/// if the agent keeps no standby link: other agents of its region look for a better parent, and it
/// can then attach below them.
const ATTACHED_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// Additional delay before the first attempt of an attached agent that keeps no standby link.
const ATTACHED_START_DELAY: Duration = Duration::from_secs(10);

/// Maximum number of coordinators to which one attempt opens connections.
const MAX_COORDINATORS_PER_ATTEMPT: usize = 2;

impl Overlay {
    /// Whether an agent that has lost its parent may graft one in another region. A parent that is
    /// detached, or below a root out of contact with the majority, counts as lost. The agents of a
    /// region may do so in the order of their scores, with these exceptions:
    ///
    /// - The designated successor of the lost parent may do so at once.
    /// - An agent whose parent is alive but detached waits an additional `dead_timeout`.
    /// - An attached agent that keeps no standby link waits [`ATTACHED_START_DELAY`] longer.
    pub(super) fn may_attach_remotely(&self, now: Duration) -> bool {
        self.remote_attach_at(now).is_some_and(|at| at <= now)
    }

    /// Time from which this agent may attach remotely; `None` while it is attached below a
    /// coordinator in contact.
    fn remote_attach_at(&self, now: Duration) -> Option<Duration> {
        let since = self.tree.orphaned_since?;
        if !self.settings.guards.region_heads {
            return Some(since);
        }
        let detached = !self.tree.position.is_attached();
        let parent_is_alive = detached && self.was_parent_alive_at(since);
        if self.tree.is_successor && !parent_is_alive {
            return Some(since);
        }
        let preceding = u32::try_from(self.count_preceding(now)).unwrap_or(u32::MAX);
        let delay =
            self.settings.remote_parent_delay + self.settings.remote_parent_delay_step * preceding;
        let can_wait = !detached && !self.needs_standby();
        let extra_delay = match (parent_is_alive, can_wait) {
            (true, _) => self.settings.dead_timeout,
            (false, true) => ATTACHED_START_DELAY,
            (false, false) => Duration::ZERO,
        };
        Some(since + delay + extra_delay)
    }

    /// Whether the last message of the parent was, at the time `since`, not older than
    /// `suspect_timeout`.
    fn was_parent_alive_at(&self, since: Duration) -> bool {
        self.parent_link()
            .is_some_and(|link| link.last_received + self.settings.suspect_timeout > since)
    }

    /// Number of live neighbours in the region that attach remotely before this agent.
    fn count_preceding(&self, now: Duration) -> usize {
        self.links
            .values()
            .filter(|link| link.last_received + self.settings.lazy_suspect_timeout > now)
            .filter_map(|link| link.node)
            .filter(|node| self.precedes(node))
            .count()
    }

    /// Time at which the next attempt is due; `None` if the agent need not attach remotely.
    pub(super) fn next_remote_attempt(&self, now: Duration) -> Option<Duration> {
        let retry_at = self
            .tree
            .last_remote_attempt
            .map(|at| at + self.remote_retry_interval());
        self.remote_attach_at(now)
            .map(|at| retry_at.map_or(at, |retry_at| at.max(retry_at)))
    }

    fn remote_retry_interval(&self) -> Duration {
        match (self.tree.position.is_attached(), self.needs_standby()) {
            (false, _) => DETACHED_RETRY_INTERVAL,
            (true, true) => STANDBY_RETRY_INTERVAL,
            (true, false) => ATTACHED_RETRY_INTERVAL,
        }
    }

    /// Opens connections to coordinators of any region and, from the second attempt on or if too
    /// few coordinators are available, to an agent of another region, as all known coordinators may
    /// have failed.
    pub(super) fn seek_remote_parent(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self
            .tree
            .last_remote_attempt
            .is_some_and(|at| at + self.remote_retry_interval() > now)
        {
            return;
        }
        let is_retry = self.tree.last_remote_attempt.replace(now).is_some();
        let mut nodes = self.coordinators_by_preference(now);
        nodes.truncate(MAX_COORDINATORS_PER_ATTEMPT);
        if is_retry || nodes.len() < MAX_COORDINATORS_PER_ATTEMPT {
            let remote: Vec<Descriptor> = self.view.remote_agents().copied().collect();
            nodes.extend(remote.choose(&mut self.random));
        }
        for node in nodes {
            self.open(now, node.address, out);
        }
    }
}
