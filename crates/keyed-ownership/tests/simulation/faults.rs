//! Faults of gates and the moments at which a run has them.

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::network::{Happening, Queue};
use super::node::{Life, name, number};
use super::play::{Play, Trouble};
use super::world::World;
use super::{MS, Micros};

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Whom {
    /// The owner of a key by the newest view.
    Owner { key: usize },
    /// This gate.
    Gate(usize),
    /// All gates.
    All,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Killed, and started again after `down`.
    Kill { whom: Whom, down: Micros },
    /// Stopped, and continued after `span`; messages wait meanwhile.
    Freeze { whom: Whom, span: Micros },
    /// What it sends to gates and witnesses is lost for `span`.
    CutOut { whom: Whom, span: Micros },
    /// What is sent to it by gates and witnesses is lost for `span`.
    CutIn { whom: Whom, span: Micros },
    /// Cut off both ways for `span` from all but each other: the gate struck, one witness, and each
    /// other gate with a chance of `part` in 100.
    Partition { whom: Whom, span: Micros, part: u32 },
}

impl Fault {
    /// Whom it strikes and how long it lasts.
    pub(crate) fn scope(&self) -> (Whom, Micros) {
        match *self {
            Self::Kill { whom, down: span } => (whom, span),
            Self::Freeze { whom, span } | Self::CutOut { whom, span } => (whom, span),
            Self::CutIn { whom, span } | Self::Partition { whom, span, .. } => (whom, span),
        }
    }
}

/// Puts the faults of a run into the queue.
pub(crate) fn schedule(play: &Play, queue: &mut Queue) {
    if play.trouble == Trouble::Calm {
        return;
    }
    let mut random = Xoshiro256PlusPlus::seed_from_u64(play.seed ^ 0xfa17);
    for _ in 0..random.random_range(2..6) {
        let at = random.random_range(1_000 * MS..play.length * 3 / 4);
        queue.push(at, Happening::Fault(draw(play, &mut random)));
    }
    if play.trouble == Trouble::Herd {
        let at = random.random_range(3_000 * MS..play.length / 2);
        let fault = Fault::Kill {
            whom: Whom::All,
            down: random.random_range(5 * MS..900 * MS),
        };
        queue.push(at, Happening::Fault(fault));
    }
}

fn draw(play: &Play, random: &mut Xoshiro256PlusPlus) -> Fault {
    let whom = if random.random_bool(0.7) {
        Whom::Owner {
            key: random.random_range(0..play.keys),
        }
    } else {
        Whom::Gate(random.random_range(0..play.gates))
    };
    let span = random.random_range(100 * MS..4_000 * MS);
    let longer = random.random_range(4_000 * MS..8_000 * MS);
    match random.random_range(0..6) {
        0 => Fault::Kill {
            whom,
            down: random.random_range(5 * MS..2_500 * MS),
        },
        1 => Fault::Freeze { whom, span },
        2 => Fault::CutOut { whom, span },
        3 => Fault::CutIn { whom, span },
        _ => Fault::Partition {
            whom,
            span: longer,
            part: random.random_range(10..70),
        },
    }
}

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        let (whom, span) = fault.scope();
        let until = self.now + span;
        if matches!(fault, Fault::Partition { .. }) && self.witness_apart_until > self.now {
            return;
        }
        for gate in self.struck(whom) {
            let node = &mut self.nodes[gate];
            match fault {
                Fault::Freeze { .. } => node.frozen_until = until,
                Fault::CutOut { .. } => node.out_cut_until = until,
                Fault::CutIn { .. } => node.in_cut_until = until,
                Fault::Kill { .. } => self.kill(gate, until),
                Fault::Partition { part, .. } => self.part(gate, until, part),
            }
            self.nodes[gate].changed = self.now;
        }
    }

    /// A gate that is down comes up as a new life: its old timers and messages find another
    /// incarnation.
    pub(super) fn kill(&mut self, gate: usize, up: Micros) {
        let now = self.now;
        let node = &mut self.nodes[gate];
        let lost = node.life.take().map_or(0, |life| {
            life.waiting.iter().map(|queue| queue.len() as u64).sum()
        });
        self.trace.given_up += lost;
        node.incarnation += 1;
        node.frozen_until = 0;
        let mut life = Life::new(&self.play, gate, node.incarnation, up);
        life.wakes = None;
        node.life = Some(life);
        node.frozen_until = up.max(now);
        let view = self.view.clone();
        self.queue.push(up, Happening::Learn { to: gate, view });
    }

    pub(super) fn part(&mut self, gate: usize, until: Micros, part: u32) {
        self.witness_apart_until = until;
        let chance = f64::from(part) / 100.0;
        for other in 0..self.nodes.len() {
            if other == gate || self.random.random_bool(chance) {
                self.nodes[other].apart_until = until;
                self.nodes[other].changed = self.now;
            }
        }
    }

    pub(super) fn struck(&self, whom: Whom) -> Vec<usize> {
        match whom {
            Whom::Gate(gate) => vec![gate],
            Whom::All => (0..self.nodes.len()).collect(),
            Whom::Owner { key } => self.view.owner(&name(key)).iter().map(number).collect(),
        }
    }
}
