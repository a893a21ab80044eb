//! Clients' requests, and the gates that forward them when they have a permit.

use ironmast_limits::LimitExceeded;
use rand::RngExt as _;

use super::gate::instance;
use super::network::{REGIONS, WorldEvent, network_delay};
use super::scenario::Limit;
use super::world::World;
use super::{MS, Micros, at, micros};

/// The fraction of the requests to a service that fail and are retried.
const FAILURE_RATE: f64 = 0.9;

impl World {
    pub(super) fn on_client_request(&mut self, key: usize) {
        let interval = -self.random.random::<f64>().max(1e-12).ln() / self.scenario.rate * 1e6;
        self.queue.push(
            self.now + interval as Micros + 1,
            WorldEvent::Request { key },
        );
        let gate = self.gate_for(key);
        self.trace.requests.push((key, self.now));
        let failing =
            self.scenario.limit == Limit::SlowStart || self.random.random_bool(FAILURE_RATE);
        let now = self.now;
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        process.permits.on_request(at(now), &instance(key));
        if failing {
            process.waiting[key].push_back(now);
            if self.gates[gate].paused_until <= now {
                self.send_permitted(gate, key);
            }
        }
    }

    fn gate_for(&mut self, key: usize) -> usize {
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

    /// Forwards the waiting requests of a gate for which it has permits.
    pub(super) fn send_permitted(&mut self, gate: usize, key: usize) {
        let (now, scenario) = (self.now, self.scenario);
        loop {
            let Some(process) = &mut self.gates[gate].process else {
                return;
            };
            let Some(arrived) = process.waiting[key].front().copied() else {
                return;
            };
            if arrived + scenario.max_wait < now {
                process.waiting[key].pop_front();
                self.trace.abandoned += 1;
                continue;
            }
            let mut actions = Vec::new();
            let acquired = process.try_acquire(&scenario, now, key, &mut actions);
            let incarnation = process.id.incarnation;
            if acquired.is_ok() {
                process.waiting[key].pop_front();
            }
            self.apply_client_actions(gate, actions);
            self.set_timer(gate);
            if let Err(exceeded) = acquired {
                self.schedule_retry(gate, incarnation, key, exceeded);
                return;
            }
            self.trace.waits.push((arrived, now - arrived));
            let arrival = now + network_delay(&mut self.random, gate, key);
            self.trace.arrivals.push((key, arrival));
        }
    }

    pub(super) fn schedule_retry(
        &mut self,
        gate: usize,
        incarnation: u64,
        key: usize,
        exceeded: LimitExceeded,
    ) {
        let retry_at = match exceeded {
            LimitExceeded::Until(moment) => micros(moment),
            LimitExceeded::Indefinitely => self.now + 50 * MS,
        };
        let due = retry_at.max(self.now + MS);
        let now = self.now;
        let Some(process) = self.process(gate, incarnation) else {
            return;
        };
        if process.retry_at[key] > now && process.retry_at[key] <= due {
            return;
        }
        process.retry_at[key] = due;
        self.queue.push(
            due,
            WorldEvent::Retry {
                gate,
                incarnation,
                key,
            },
        );
    }
}
