//! When clients ask, and for what.

use smallvec::SmallVec;

use super::event::SimulationEvent;
use super::request::Operation;
use super::{ORIGIN, Simulation};
use crate::fault_schedule::{max_surge_factor, surge_factor};
use crate::scenario::{Arrivals, seconds};

impl Simulation<'_> {
    /// The highest rate at which one proxy of weight 1 is ever asked, over the mean.
    pub(super) fn max_rate_factor_of_scenario(&self) -> f64 {
        let c = &self.scenario.clients;
        let burst = if c.arrivals == Arrivals::Bursty {
            c.burst_factor
        } else {
            1.0
        };
        self.scenario.max_rate_factor() * max_surge_factor(self.scenario) * burst
    }

    /// Draws when a proxy is asked next. Candidates come at the highest rate and are kept in
    /// proportion to the rate at their time, so that the draws of one proxy never depend on what
    /// else happens.
    pub(super) fn schedule_arrival(&mut self, proxy: u32) {
        let (scenario, c) = (self.scenario, &self.scenario.clients);
        let p = &mut self.proxies[proxy as usize];
        let base = c.rate * p.weight;
        let mut at = p.last_arrival_s;
        let bursty = c.arrivals == Arrivals::Bursty;
        let mean = (c.burst_s * c.burst_factor + c.rest_s) / (c.burst_s + c.rest_s);
        loop {
            let factor = |at: f64| scenario.rate_factor(at) * surge_factor(scenario, at);
            if c.arrivals == Arrivals::Even {
                at += 1.0 / (base * factor(at)).max(1e-9);
            } else {
                let most = base * self.max_rate_factor / if bursty { mean } else { 1.0 };
                at += p.arrivals.exponential(1.0 / most.max(1e-12));
                while bursty && p.burst.1 <= at {
                    p.burst.0 = !p.burst.0;
                    p.burst.1 +=
                        p.arrivals
                            .exponential(if p.burst.0 { c.burst_s } else { c.rest_s });
                }
                let burst = if bursty && p.burst.0 {
                    c.burst_factor
                } else {
                    1.0
                };
                if p.arrivals.unit() * self.max_rate_factor > factor(at) * burst {
                    if at > scenario.length_s {
                        return;
                    }
                    continue;
                }
            }
            break;
        }
        p.last_arrival_s = at;
        if at < scenario.length_s {
            self.queue
                .push(ORIGIN + seconds(at), SimulationEvent::ClientArrival(proxy));
        }
    }

    pub(super) fn client_arrives(&mut self, proxy: u32) {
        let p = &mut self.proxies[proxy as usize];
        // Drawn whether or not anybody is there: troubles leave the other draws as they are.
        let x = p.work.unit();
        let class = self
            .cumulative_class_shares
            .iter()
            .position(|s| x < *s)
            .unwrap_or(self.cumulative_class_shares.len() - 1);
        let spec = &self.scenario.classes[class];
        let work = p
            .work
            .sample(spec.distribution, spec.work_ms * 1e3, spec.cv);
        if p.has_clients {
            self.started_operations += 1;
            self.open_operations += 1;
            let op = self.operations.insert(Operation {
                number: self.started_operations,
                proxy,
                class: class as u8,
                work,
                start: self.now,
                request_count: 0,
                ended: false,
                references: 0,
                executions: SmallVec::new(),
            });
            self.send_request(op);
        }
        self.schedule_arrival(proxy);
    }
}
