//! Time: heartbeats, silence, periodic tasks, and the timer that wakes the node for the next of
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{Action, Overlay, Schedule};
use crate::link::Link;
use crate::message::{Beat, Heartbeat, Message};
use crate::settings::Settings;

/// Shortest interval between heartbeats that tell of changes.
const TELL: Duration = Duration::from_millis(50);

/// Intervals of upkeep without any event after which this process itself is taken to have been
/// stopped.
const STALL_INTERVALS: u32 = 2;

/// Shortest time ahead for which the timer is set.
const TIMER: Duration = Duration::from_millis(1);

impl Schedule {
    /// First times drawn at random, so that nodes started together don't act together.
    pub(super) fn new(
        now: Duration,
        settings: &Settings,
        random: &mut Xoshiro256PlusPlus,
    ) -> Schedule {
        let mut first = |interval: Duration| now + interval.mul_f64(random.random_range(0.0..1.0));
        Schedule {
            beat: first(settings.beat),
            scrub: first(settings.scrub),
            shuffle: first(settings.shuffle / 4),
            maintain: first(settings.maintain / 4),
            timer: None,
        }
    }
}

impl Overlay {
    /// After a stop of this process its neighbours are not blamed for the silence: what they sent
    /// is still unread.
    pub(super) fn forgive_stall(&mut self, now: Duration) {
        let stall = now.saturating_sub(self.handled);
        self.handled = now;
        if stall < self.settings.maintain * STALL_INTERVALS {
            return;
        }
        for link in self.links.values_mut() {
            link.forgive(stall);
        }
        for until in self.connecting.values_mut() {
            *until += stall;
        }
    }

    /// Does all that is due.
    pub(super) fn run_due(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.time_out_connections(now, out);
        self.close_silent(now, out);
        self.run_periodic(now, out);
        self.review_source(now, out);
        self.send_heartbeats(now, out);
        self.ask_missing(now, out);
        self.flush(now, out);
        self.store.expire(now);
    }

    fn run_periodic(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.me.is_coordinator() && self.schedule.beat <= now {
            self.schedule.beat = now + self.settings.beat;
            self.emit_beat(now, out);
        }
        if self.schedule.maintain <= now {
            self.schedule.maintain = now + self.settings.maintain;
            self.maintain(now, out);
        }
        if self.schedule.scrub <= now {
            self.schedule.scrub = now + self.around(self.settings.scrub);
            self.scrub(now, out);
        }
        if self.schedule.shuffle <= now {
            self.schedule.shuffle = now + self.around(self.settings.shuffle);
            self.shuffle(now, out);
        }
    }

    /// `interval`, a quarter more or less.
    fn around(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.75..1.25))
    }

    fn emit_beat(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.in_contact {
            let elapsed = now.saturating_sub(self.started).as_millis();
            let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX).max(1);
            let beat = Beat {
                source: self.me.beat_source(),
                elapsed_ms,
            };
            self.beats.learn(now, &beat);
        }
        self.relay_beats(now, out);
    }

    /// Sends the newest beats to the nodes that are fed and, from a coordinator, to those of its
    /// region.
    fn relay_beats(&mut self, now: Duration, out: &mut Vec<Action>) {
        let fed = self
            .links
            .iter()
            .filter(|(_, link)| link.feeds || self.is_mesh(link));
        let fed: Vec<SocketAddr> = fed.map(|(peer, _)| *peer).collect();
        for peer in fed {
            self.send_heartbeat(now, peer, out);
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let mut news = false;
        for beat in &heartbeat.beats {
            news |= self.beats.learn(now, beat);
        }
        if let Some(link) = self.links.get_mut(&from) {
            link.heartbeat(heartbeat);
        }
        self.check_root(now, from, heartbeat.root, out);
        if self.feed.source != Some(from) {
            return;
        }
        self.feed.deputy = heartbeat.deputy;
        if news {
            self.relay_beats(now, out);
        }
    }

    fn send_heartbeats(&mut self, now: Duration, out: &mut Vec<Action>) {
        let due = self
            .links
            .iter()
            .filter(|(_, link)| self.heartbeat_due(link).is_some_and(|due| due <= now));
        let due: Vec<SocketAddr> = due.map(|(peer, _)| *peer).collect();
        for peer in due {
            self.send_heartbeat(now, peer, out);
        }
    }

    fn heartbeat_due(&self, link: &Link) -> Option<Duration> {
        link.node?;
        if link.tell {
            return Some(link.status_sent() + TELL);
        }
        // An eighth more than the interval of beats, which take the place of heartbeats as long as
        // they come.
        let interval = if link.feeds || self.is_mesh(link) {
            self.settings.beat + self.settings.beat / 8
        } else {
            self.settings.lazy_beat
        };
        Some(link.heartbeat_due(interval))
    }

    /// Whether both ends are coordinators of one region.
    fn is_mesh(&self, link: &Link) -> bool {
        let peer = link
            .node
            .filter(|node| node.is_coordinator() && node.place.same_region(self.me.place));
        self.me.is_coordinator() && peer.is_some()
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddr, out: &mut Vec<Action>) {
        let room = self.room();
        let deputy = self.deputy() == Some(to);
        let position = self.feed.position.clone();
        let root = self.short_root();
        let Some(link) = self.links.get_mut(&to) else {
            return;
        };
        link.tell = false;
        let beats = self
            .beats
            .unsent(self.settings.beat_sources, &mut link.beats);
        let (sequence, echo) = link.number(now);
        let heartbeat = Heartbeat {
            sequence,
            echo,
            position,
            room,
            deputy,
            root,
            beats,
        };
        self.send(now, to, Message::Heartbeat(heartbeat), out);
    }

    /// Closes links that are silent for too long or that work in one direction only.
    fn close_silent(&mut self, now: Duration, out: &mut Vec<Action>) {
        let settings = &self.settings;
        let silent = self.links.iter().filter(|(peer, link)| {
            let limit = if self.feed.source == Some(**peer) {
                settings.dead
            } else {
                settings.lazy_dead
            };
            let unconfirmed = link
                .unconfirmed_since()
                .is_some_and(|since| since + settings.lazy_dead <= now);
            link.node.is_some() && (link.heard + limit <= now || unconfirmed)
        });
        let silent: Vec<SocketAddr> = silent.map(|(peer, _)| *peer).collect();
        for peer in silent {
            self.close(now, peer, out);
            self.fail(now, peer);
        }
    }

    /// Asks to be woken for the next task.
    pub(super) fn set_timer(&mut self, now: Duration, out: &mut Vec<Action>) {
        let at = self.next_task(now).max(now + TIMER);
        if self.schedule.timer != Some(at) {
            self.schedule.timer = Some(at);
            out.push(Action::Timer(at));
        }
    }

    fn next_task(&self, now: Duration) -> Duration {
        let schedule = &self.schedule;
        let mut next = schedule.maintain.min(schedule.scrub).min(schedule.shuffle);
        if self.me.is_coordinator() {
            next = next.min(schedule.beat);
        }
        let links = self
            .links
            .values()
            .filter_map(|link| self.next_of_link(link))
            .min();
        let missing = self.missing.values().map(|missing| missing.due).min();
        let connecting = self.connecting.values().min().copied();
        let rest = [links, missing, connecting, self.next_review(now)];
        rest.into_iter().flatten().fold(next, Duration::min)
    }

    fn next_of_link(&self, link: &Link) -> Option<Duration> {
        let push = link.push_due(self.settings.batch);
        let parts = [self.heartbeat_due(link), push, link.announce_at];
        parts.into_iter().flatten().min()
    }
}
