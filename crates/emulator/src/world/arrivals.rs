//! When clients ask, and for what.

use smallvec::SmallVec;

use super::event::What;
use super::request::Op;
use super::{ORIGIN, World};
use crate::fault_schedule::{max_surge_factor, surge_factor};
use crate::scenario::{Arrivals, seconds};

impl World<'_> {
    /// The highest rate at which one proxy of weight 1 is ever asked, over the mean.
    pub(super) fn rate_most(&self) -> f64 {
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
    pub(super) fn next_arrival(&mut self, proxy: u32) {
        let (scenario, c) = (self.scenario, &self.scenario.clients);
        let p = &mut self.proxies[proxy as usize];
        let base = c.rate * p.weight;
        let mut at = p.asked_at;
        let bursty = c.arrivals == Arrivals::Bursty;
        let mean = (c.burst_s * c.burst_factor + c.rest_s) / (c.burst_s + c.rest_s);
        loop {
            let factor = |at: f64| scenario.rate_factor(at) * surge_factor(scenario, at);
            if c.arrivals == Arrivals::Even {
                at += 1.0 / (base * factor(at)).max(1e-9);
            } else {
                let most = base * self.arrivals_most / if bursty { mean } else { 1.0 };
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
                if p.arrivals.unit() * self.arrivals_most > factor(at) * burst {
                    if at > scenario.length_s {
                        return;
                    }
                    continue;
                }
            }
            break;
        }
        p.asked_at = at;
        if at < scenario.length_s {
            self.queue.push(ORIGIN + seconds(at), What::Arrive(proxy));
        }
    }

    pub(super) fn arrive(&mut self, proxy: u32) {
        let p = &mut self.proxies[proxy as usize];
        // Drawn whether or not anybody is there: troubles leave the other draws as they are.
        let x = p.work.unit();
        let class = self
            .class_shares
            .iter()
            .position(|s| x < *s)
            .unwrap_or(self.class_shares.len() - 1);
        let spec = &self.scenario.classes[class];
        let work = p
            .work
            .sample(spec.distribution, spec.work_ms * 1e3, spec.cv);
        if p.clients_there {
            self.asked += 1;
            self.open_ops += 1;
            let op = self.ops.insert(Op {
                number: self.asked,
                proxy,
                class: class as u8,
                work,
                start: self.now,
                tries: 0,
                ended: false,
                holds: 0,
                runs: SmallVec::new(),
            });
            self.begin_try(op);
        }
        self.next_arrival(proxy);
    }
}
