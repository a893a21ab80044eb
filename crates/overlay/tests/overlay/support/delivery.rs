//! The event loop of the simulated network: connections, delivery of messages and timers.

use std::time::Duration;

use ironmast_overlay::{Action, Event, Message};
use rand::RngExt as _;

use super::cuts::CutEffect;
use super::deployment::{address, index};
use super::event_queue::NetworkEvent;
use super::simulation::{DelayedMessage, Simulation};
use super::traffic::wire_size;

impl Simulation {
    /// Runs the network for `time`.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            self.process(event);
        }
        self.now = until;
    }

    pub(super) fn process(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Deliver {
                from,
                to,
                connection,
                message,
            } => {
                if self.nodes[to].connections.get(&from) == Some(&connection) {
                    self.deliver(from, to, *message);
                } else if self.cut_effect == CutEffect::Delayed {
                    self.notify_closed(to, from, connection);
                }
            }
            NetworkEvent::Unacknowledged {
                node,
                peer,
                connection,
            } => {
                if self.is_cut(node, peer) || self.is_cut(peer, node) {
                    self.disconnected(node, peer, Some(connection));
                }
            }
            NetworkEvent::Establish { from, to } => self.establish(from, to),
            NetworkEvent::Connected {
                node,
                peer,
                connection,
            } => self.connected(node, peer, connection),
            NetworkEvent::Disconnected {
                node,
                peer,
                connection,
            } => self.disconnected(node, peer, connection),
            NetworkEvent::Timer { node } => {
                if self.nodes[node].timer == Some(self.now) {
                    self.nodes[node].timer = None;
                    self.dispatch(node, Event::Timer);
                }
            }
        }
    }

    fn connected(&mut self, node: usize, peer: usize, connection: u64) {
        self.half_open.remove(&(peer, node));
        if self.is_running(node) {
            self.nodes[node].connections.insert(peer, connection);
            self.dispatch(node, Event::Connected(address(peer)));
        }
    }

    fn disconnected(&mut self, node: usize, peer: usize, connection: Option<u64>) {
        let current = self.nodes[node].connections.get(&peer).copied();
        if current == connection && self.is_running(node) {
            self.nodes[node].connections.remove(&peer);
            self.dispatch(node, Event::Disconnected(address(peer)));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let size = wire_size(&message);
        self.nodes[to].received.messages += 1;
        self.nodes[to].pushes +=
            u64::from(matches!(message, Message::Entries { pushed: true, .. }));
        self.nodes[to].received.bytes += size;
        self.dispatch(
            to,
            Event::Message {
                from: address(from),
                message,
            },
        );
    }

    /// Opens a connection when the reply to its opening packet arrives. Without a reply (the peer
    /// is powered off or cut off) the attempt hangs; a peer without a process refuses it.
    fn establish(&mut self, from: usize, to: usize) {
        let cut = self.is_cut(from, to) || self.is_cut(to, from);
        let refused = self.cut_effect == CutEffect::Refused;
        if !self.is_running(from) || self.nodes[to].is_powered_off || cut && !refused {
            return;
        }
        if !self.is_running(to) || cut {
            return self.disconnected(from, to, None);
        }
        if self.nodes[from].connections.contains_key(&to) || self.half_open.contains(&(to, from)) {
            return;
        }
        self.half_open.insert((from, to));
        self.connections += 1;
        let connection = self.connections;
        let latency = self.latency(from, to);
        self.schedule(
            self.now + latency,
            NetworkEvent::Connected {
                node: to,
                peer: from,
                connection,
            },
        );
        self.last_arrival.insert((from, to), self.now + latency);
        self.connected(from, to, connection);
    }

    /// Lets a node handle an event and carries out its actions; a paused node keeps the event for
    /// later.
    pub(crate) fn dispatch(&mut self, node: usize, event: Event) {
        if let Some(unread) = &mut self.nodes[node].unread {
            return unread.push(event);
        }
        let Some(overlay) = self.nodes[node].overlay.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        overlay.handle(self.now, event, &mut actions);
        self.nodes[node].events_handled += 1;
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, index(to), message),
            Action::Connect(to) => {
                let to = index(to);
                let latency = self.latency(node, to) * 2;
                self.schedule(
                    self.now + latency,
                    NetworkEvent::Establish { from: node, to },
                );
            }
            Action::Disconnect(to) => {
                if let Some(connection) = self.nodes[node].connections.remove(&index(to)) {
                    self.notify_closed(node, index(to), connection);
                }
            }
            Action::Changed { key, version, .. } => self.changed(node, key, version.0),
            Action::Timer(at) => {
                self.nodes[node].timer = Some(at);
                self.schedule(at, NetworkEvent::Timer { node });
            }
        }
    }

    fn changed(&mut self, node: usize, key: u64, version: u64) {
        let before = self.nodes[node].versions.insert(key, version);
        self.regressions += usize::from(before.is_some_and(|before| before >= version));
        self.arrivals
            .entry((key, version))
            .or_default()
            .entry(node)
            .or_insert(self.now);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let Some(connection) = self.nodes[from].connections.get(&to).copied() else {
            return;
        };
        self.count_traffic(from, to, &message);
        if self.cut_effect == CutEffect::Delayed && self.is_delayed(from, to, connection) {
            self.delayed.push(DelayedMessage {
                from,
                to,
                connection,
                message,
            });
            return;
        }
        if self.is_cut(from, to) || self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        self.schedule_delivery(from, to, connection, message);
    }

    fn count_traffic(&mut self, from: usize, to: usize, message: &Message) {
        let size = wire_size(message);
        let is_inter_region = !self.nodes[from]
            .descriptor
            .locality
            .same_region(self.nodes[to].descriptor.locality);
        let sent = &mut self.nodes[from].sent;
        sent.messages += 1;
        sent.bytes += size;
        if is_inter_region {
            sent.inter_region_bytes += size;
            sent.inter_region_entry_bytes += if matches!(message, Message::Entries { .. }) {
                size
            } else {
                0
            };
        }
    }

    pub(super) fn notify_closed(&mut self, node: usize, peer: usize, connection: u64) {
        if !self.is_cut(node, peer) {
            let at = self.arrival(node, peer);
            self.schedule(
                at,
                NetworkEvent::Disconnected {
                    node: peer,
                    peer: node,
                    connection: Some(connection),
                },
            );
        }
    }

    /// Arrival time of a packet that is sent now: after the latency, and not before earlier packets
    /// of the same sender to the same receiver.
    pub(super) fn arrival(&mut self, from: usize, to: usize) -> Duration {
        let at = self.now + self.latency(from, to);
        let last = self.last_arrival.entry((from, to)).or_default();
        *last = at.max(*last);
        *last
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let (from, to) = (
            self.nodes[from].descriptor.locality,
            self.nodes[to].descriptor.locality,
        );
        let base = match (from == to, from.same_region(to)) {
            (true, _) => 250,
            (_, true) => 1_400,
            _ => 55_000,
        };
        Duration::from_micros(base + self.random.random_range(0..=base / 5))
    }

    /// Schedules the delivery of a message that is sent now.
    pub(super) fn schedule_delivery(
        &mut self,
        from: usize,
        to: usize,
        connection: u64,
        message: Message,
    ) {
        let at = self.arrival(from, to);
        let message = Box::new(message);
        self.schedule(
            at,
            NetworkEvent::Deliver {
                from,
                to,
                connection,
                message,
            },
        );
    }

    pub(super) fn schedule(&mut self, at: Duration, event: NetworkEvent) {
        self.events.schedule(at, event);
    }
}
