//! Periodic tasks, and the timer for the next task that is due.

use std::time::Duration;

use rand::RngExt as _;

use super::{Action, Overlay};
use crate::link::Link;

/// Number of maintenance intervals without any event after which this process is assumed to have
/// been paused.
const PAUSE_INTERVALS: u32 = 2;

/// Minimum delay of the timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

impl Overlay {
    /// Extends the deadlines of all neighbours after a pause of this process, so that no neighbour
    /// is suspected: the messages sent during the pause have not been read yet.
    pub(super) fn compensate_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_handled);
        self.last_handled = now;
        if pause < self.settings.maintenance_interval * PAUSE_INTERVALS {
            return;
        }
        for link in self.links.values_mut() {
            link.extend_deadlines(pause);
        }
        for deadline in self.connecting.values_mut() {
            *deadline += pause;
        }
    }

    /// Runs all tasks that are due.
    pub(super) fn run_due_tasks(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.expire_connections(now, out);
        self.close_dead_links(now, out);
        self.run_periodic_tasks(now, out);
        self.review_parent(now, out);
        self.send_heartbeats(now, out);
        self.request_missing(now, out);
        self.flush(now, out);
        self.store.expire(now);
    }

    fn run_periodic_tasks(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.local_node.is_coordinator() && self.schedule.root_heartbeat <= now {
            self.schedule.root_heartbeat = now + self.settings.tree_heartbeat_interval;
            self.emit_root_heartbeat(now, out);
        }
        if self.schedule.maintenance <= now {
            self.schedule.maintenance = now + self.settings.maintenance_interval;
            self.maintain(now, out);
        }
        if self.schedule.anti_entropy <= now {
            self.schedule.anti_entropy = now + self.jittered(self.settings.anti_entropy_interval);
            self.start_anti_entropy(now, out);
        }
        if self.schedule.shuffle <= now {
            self.schedule.shuffle = now + self.jittered(self.settings.shuffle_interval);
            self.shuffle(now, out);
        }
    }

    /// Returns `interval` with a random jitter of up to a quarter in either direction.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.75..1.25))
    }

    /// Requests a timer event for the next task, unless it is requested already.
    pub(super) fn set_timer(&mut self, now: Duration, out: &mut Vec<Action>) {
        let at = self.next_deadline(now).max(now + MIN_TIMER_DELAY);
        if self.schedule.timer != Some(at) {
            self.schedule.timer = Some(at);
            out.push(Action::Timer(at));
        }
    }

    fn next_deadline(&self, now: Duration) -> Duration {
        let schedule = &self.schedule;
        let mut next = schedule
            .maintenance
            .min(schedule.anti_entropy)
            .min(schedule.shuffle);
        if self.local_node.is_coordinator() {
            next = next.min(schedule.root_heartbeat);
        }
        let links = self
            .links
            .values()
            .filter_map(|link| self.next_link_deadline(link))
            .min();
        let requests = self
            .missing
            .values()
            .map(|missing| missing.next_request_at)
            .min();
        let connecting = self.connecting.values().min().copied();
        let deadlines = [links, requests, connecting, self.next_parent_review(now)];
        deadlines.into_iter().flatten().fold(next, Duration::min)
    }

    fn next_link_deadline(&self, link: &Link) -> Option<Duration> {
        let push_due = link.push_due(self.settings.push_batch_interval);
        let deadlines = [self.heartbeat_due(link), push_due, link.announce_at];
        deadlines.into_iter().flatten().min()
    }
}
