//! Load balancing without an affinity key: shuffled round robin combined with the power of two
//! choices. A group's servers are used in a shuffled order, and of the next two usable servers the
//! less loaded one is picked.

use ironmast_balancer::Rng;

use crate::guards::Guard;

/// The order in which a group's servers are used.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShuffledRoundRobin {
    /// Version of the table with which the members were last compared.
    pub(crate) table_version: u64,
    /// Indexes of the servers in the endpoint table; those before `next` have been used in this
    /// round.
    order: Vec<u32>,
    next: usize,
}

impl ShuffledRoundRobin {
    /// Sets the members, given in ascending order. The current round continues if they are
    /// unchanged.
    pub(crate) fn set_members(&mut self, servers: Vec<u32>) {
        let mut members = self.order.clone();
        members.sort_unstable();
        if members != servers {
            self.next = servers.len();
            self.order = servers;
        }
    }

    /// Picks a server; `None` if none is usable. `load` returns the load of a usable server and
    /// `None` for others. Of the next two usable servers the less loaded one is picked, or at equal
    /// load the one for which `is_preferred` holds; the other one remains next in the order.
    pub(crate) fn pick(
        &mut self,
        rng: &mut Rng,
        load: impl Fn(u32) -> Option<f64>,
        is_preferred: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        if self.next_usable(self.next, &load).is_none() {
            self.shuffle(rng);
        }
        let (index, first_load) = self.next_usable(self.next, &load)?;
        self.order.swap(self.next, index);
        let Some((index, second_load)) = self.next_usable(self.next + 1, &load) else {
            self.next += 1;
            return Some(self.order[self.next - 1]);
        };
        let (first, second) = (self.order[self.next], self.order[index]);
        let second_preferred =
            second_load == first_load && is_preferred(second) && !is_preferred(first);
        if second_load < first_load || second_preferred {
            self.order.swap(self.next, index);
        }
        let picked = self.order[self.next];
        self.next += usize::from(Guard::ShuffledRoundRobin.on());
        Some(picked)
    }

    /// Index and load of the first usable server at or after an index.
    fn next_usable(&self, from: usize, load: &impl Fn(u32) -> Option<f64>) -> Option<(usize, f64)> {
        let mut rest = self.order.iter().enumerate().skip(from);
        rest.find_map(|(index, server)| Some((index, load(*server)?)))
    }

    /// Starts a new round in a random order (Fisher-Yates shuffle).
    fn shuffle(&mut self, rng: &mut Rng) {
        for index in (1..self.order.len()).rev() {
            let other = (rng.unit() * (index + 1) as f64) as usize;
            self.order.swap(index, other);
        }
        self.next = 0;
    }
}

#[cfg(test)]
mod tests;
