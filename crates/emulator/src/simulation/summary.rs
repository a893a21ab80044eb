//! Samples of the servers during a run, and the report at its end.

use ironmast_balancer::Micros;
use slotmap::DefaultKey;

use super::event::SimulationEvent;
use super::{ORIGIN, Simulation};
use crate::judge::{COLUMNS, EndedOperation, OperationOutcome, Rule};
use crate::report::{Report, ServerReport, Traffic};

impl Simulation<'_> {
    pub(super) fn sample_interval(&self) -> Micros {
        ((self.end - ORIGIN) / COLUMNS as u64).max(1)
    }

    pub(super) fn sample_servers(&mut self) {
        for number in 0..self.machines.len() as u32 {
            self.advance(number);
            let machine = &mut self.machines[number as usize];
            let statistics = &machine.server.statistics;
            let (busy, there) = (statistics.busy_core_time, statistics.available_core_time);
            let (b, t) = (busy - machine.last_sample.0, there - machine.last_sample.1);
            machine.last_sample = (busy, there);
            machine
                .utilization
                .push(if t > 0.0 { (b / t) as f32 } else { f32::NAN });
            self.handle_job_events(number);
        }
        if self.now + self.sample_interval() <= self.end {
            self.queue
                .push(self.now + self.sample_interval(), SimulationEvent::Sample);
        }
    }

    /// Seconds of the scenario that have passed.
    #[must_use]
    pub fn elapsed_seconds(&self) -> f64 {
        (self.now - ORIGIN) as f64 / 1e6
    }

    /// Closes the books.
    #[must_use]
    pub fn report(mut self) -> Report {
        for server in 0..self.machines.len() as u32 {
            self.advance(server);
            self.handle_job_events(server);
        }
        let stuck: Vec<DefaultKey> = self
            .operations
            .iter()
            .filter(|(_, op)| !op.ended)
            .map(|(key, _)| key)
            .collect();
        for key in stuck {
            let (proxy, number, start) = (
                self.operations[key].proxy,
                self.operations[key].number,
                self.operations[key].start,
            );
            let class = self.operations[key].class as usize;
            if self.now >= self.hard_stop {
                let what = "still open after the end";
                self.judge.record_violation(
                    Rule::OneAnswer,
                    self.now,
                    proxy,
                    None,
                    Some(number),
                    what,
                );
            }
            let zone = self.proxies[proxy as usize].zone;
            self.judge.operation_ended(&EndedOperation {
                number,
                proxy,
                zone,
                class,
                start,
                outcome: OperationOutcome::Failed,
            });
        }
        self.judge
            .record_fact(9, [self.events, self.queue.total_pushed(), self.attempts]);
        let servers = self
            .machines
            .iter()
            .map(|m| ServerReport {
                kind: self.scenario.pools[m.pool].kind.clone(),
                zone: self.scenario.zones[m.zone].clone(),
                statistics: m.server.statistics.clone(),
                busy: m.utilization.clone(),
                position: m.position,
            })
            .collect();
        let (events, attempts) = (self.events, self.attempts);
        let (probes, peer_bytes, cross_zone) = (self.probes, self.peer_bytes, self.cross_zone);
        let late_repeats = self.late_repeats;
        let counts = Traffic {
            attempts,
            probes,
            peer_bytes,
            cross_zone,
            late_repeats,
        };
        Report::new(
            self.scenario,
            self.policy,
            self.seed,
            events,
            counts,
            &self.judge,
            servers,
        )
    }
}
