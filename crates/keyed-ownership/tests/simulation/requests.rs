//! Client requests, which gates forward once they have a permit.

use ironmast_limits::LimitExceeded;
use rand::RngExt as _;

use super::gate::instance;
use super::network::{REGIONS, WorldEvent, network_delay};
use super::scenario::Limit;
use super::trace::{KeyEvent, Wait};
use super::world::World;
use super::{MS, Micros, at, to_micros};

/// The fraction of the requests to a service that fail and are retried.
const FAILURE_RATE: f64 = 0.9;

impl World {
    pub(super) fn on_client_request(&mut self, key: usize) {
        let interval = -self.random.random::<f64>().max(1e-12).ln() / self.scenario.rate * 1e6;
        self.queue.push(
            self.now + interval as Micros + 1,
            WorldEvent::Request { key },
        );
        let gate = self.random_gate_for(key);
        self.trace.requests.push(KeyEvent { key, at: self.now });
        let needs_permit =
            self.scenario.limit == Limit::SlowStart || self.random.random_bool(FAILURE_RATE);
        let now = self.now;
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        process.permits.on_request(at(now), &instance(key));
        if needs_permit {
            process.waiting[key].push_back(now);
            if self.gates[gate].paused_until <= now {
                self.send_permitted(gate, key);
            }
        }
    }

    fn random_gate_for(&mut self, key: usize) -> usize {
        let any = self.random.random_range(0..self.scenario.gates);
        let local = any - any % REGIONS + key % REGIONS;
        if local < self.scenario.gates && self.random.random_bool(self.scenario.local_fraction) {
            local
        } else {
            any
        }
    }

    pub(super) fn retry(&mut self, gate: usize, incarnation: u64, key: usize) {
        let now = self.now;
        if self
            .process(gate, incarnation)
            .is_some_and(|process| process.retry_at[key] <= now)
        {
            self.send_permitted(gate, key);
        }
    }

    /// Forwards waiting requests of a gate as long as it acquires permits.
    pub(super) fn send_permitted(&mut self, gate: usize, key: usize) {
        while let Some(arrived) = self.first_waiting(gate, key) {
            match self.try_acquire(gate, key) {
                Ok(()) => self.forward(gate, key, arrived),
                Err(exceeded) => {
                    self.schedule_retry(gate, key, exceeded);
                    return;
                }
            }
        }
    }

    /// The arrival time of the first request that waits for a key, after abandoning the requests
    /// that have waited too long.
    fn first_waiting(&mut self, gate: usize, key: usize) -> Option<Micros> {
        let (now, max_wait) = (self.now, self.scenario.max_wait);
        let waiting = &mut self.gates[gate].process.as_mut()?.waiting[key];
        while waiting
            .front()
            .is_some_and(|arrived| arrived + max_wait < now)
        {
            waiting.pop_front();
            self.trace.abandoned += 1;
        }
        waiting.front().copied()
    }

    /// Tries to acquire a permit for the first request that waits for a key, and if it succeeds,
    /// removes the request from the queue.
    fn try_acquire(&mut self, gate: usize, key: usize) -> Result<(), LimitExceeded> {
        let (now, scenario) = (self.now, self.scenario);
        let Some(process) = &mut self.gates[gate].process else {
            return Err(LimitExceeded::Indefinitely);
        };
        let mut actions = Vec::new();
        let acquired = process.try_acquire(&scenario, now, key, &mut actions);
        if acquired.is_ok() {
            process.waiting[key].pop_front();
        }
        self.apply_client_actions(gate, actions);
        self.set_timer(gate);
        acquired
    }

    /// Sends the request that arrived at `arrived` to the server of its key.
    fn forward(&mut self, gate: usize, key: usize, arrived: Micros) {
        let duration = self.now - arrived;
        self.trace.waits.push(Wait { arrived, duration });
        let at = self.now + network_delay(&mut self.random, gate, key);
        self.trace.arrivals.push(KeyEvent { key, at });
    }

    /// Schedules a retry of the waiting requests for when the limit may permit one.
    fn schedule_retry(&mut self, gate: usize, key: usize, exceeded: LimitExceeded) {
        let now = self.now;
        let retry_at = match exceeded {
            LimitExceeded::Until(moment) => to_micros(moment),
            LimitExceeded::Indefinitely => now + 50 * MS,
        };
        let due = retry_at.max(now + MS);
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        if process.retry_at[key] > now && process.retry_at[key] <= due {
            return;
        }
        process.retry_at[key] = due;
        let retry = WorldEvent::Retry {
            gate,
            incarnation: process.id.incarnation,
            key,
        };
        self.queue.push(due, retry);
    }
}
