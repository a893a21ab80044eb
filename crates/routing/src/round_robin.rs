//! An even draw without a key: a shuffled deck of a group's servers, of which the next two usable
//! ones are compared.

use ironmast_balancer::Rng;

use crate::guards::Guard;

/// The order in which a group's servers are drawn.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShuffledRoundRobin {
    /// The fleet's swap that it was last compared with.
    pub swap: u64,
    order: Vec<u32>,
    next: usize,
}

impl ShuffledRoundRobin {
    /// Makes it a deck of these servers, in ascending order; what was drawn of an equal one stays
    /// drawn.
    pub fn keep(&mut self, servers: Vec<u32>) {
        let mut held = self.order.clone();
        held.sort_unstable();
        if held != servers {
            self.next = servers.len();
            self.order = servers;
        }
    }

    /// Draws one server. `load` tells the load of those that may be drawn: of the next two, the
    /// less loaded is taken, of equals the one that `near` holds for, and the other stays next.
    pub fn draw(
        &mut self,
        rng: &mut Rng,
        load: impl Fn(u32) -> Option<f64>,
        near: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        if self.usable_from(self.next, &load).is_none() {
            self.shuffle(rng);
        }
        let (place, first) = self.usable_from(self.next, &load)?;
        self.order.swap(self.next, place);
        let Some((place, second)) = self.usable_from(self.next + 1, &load) else {
            self.next += 1;
            return Some(self.order[self.next - 1]);
        };
        let (one, other) = (self.order[self.next], self.order[place]);
        let nearer = second == first && near(other) && !near(one);
        if second < first || nearer {
            self.order.swap(self.next, place);
        }
        let drawn = self.order[self.next];
        self.next += usize::from(Guard::ShuffledRoundRobin.on());
        Some(drawn)
    }

    /// The next card that may be drawn, and its load.
    fn usable_from(&self, from: usize, load: &impl Fn(u32) -> Option<f64>) -> Option<(usize, f64)> {
        let rest = self.order.iter().enumerate().skip(from);
        rest.filter_map(|(place, card)| Some((place, load(*card)?)))
            .next()
    }

    fn shuffle(&mut self, rng: &mut Rng) {
        for place in (1..self.order.len()).rev() {
            let other = (rng.unit() * (place + 1) as f64) as usize;
            self.order.swap(place, other);
        }
        self.next = 0;
    }
}

#[cfg(test)]
mod tests;
