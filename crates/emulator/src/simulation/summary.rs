//! Samples of the servers during a run, and the report at the end.

use ironmast_balancer::Micros;

use super::event::SimulationEvent;
use super::operation::OperationKey;
use super::servers::{CoreTime, Machine};
use super::{Fact, ORIGIN, Simulation};
use crate::judge::{COLUMNS, OperationOutcome, Rule};
use crate::report::{Report, ServerReport};

impl Simulation<'_> {
    /// The time between two samples, in microseconds.
    pub(super) fn sample_interval(&self) -> Micros {
        ((self.end - ORIGIN) / COLUMNS as u64).max(1)
    }

    /// Samples the utilization of all servers since the last sample, and schedules the next.
    pub(super) fn sample_servers(&mut self) {
        for number in 0..self.machines.len() as u32 {
            self.advance(number);
            self.machines[number as usize].sample();
            self.handle_job_events(number);
        }
        let next = self.now + self.sample_interval();
        if next <= self.end {
            self.queue.push(next, SimulationEvent::Sample);
        }
    }

    /// The simulated time since the start of the run, in seconds.
    #[must_use]
    pub fn elapsed_seconds(&self) -> f64 {
        (self.now - ORIGIN) as f64 / 1e6
    }

    /// Ends the run at the current simulated time and returns the report. Open operations count as
    /// failed.
    #[must_use]
    pub fn report(mut self) -> Report {
        for server in 0..self.machines.len() as u32 {
            self.advance(server);
            self.handle_job_events(server);
        }
        self.end_open_operations();
        let totals = [
            self.events,
            self.queue.total_pushed(),
            self.traffic.attempts,
        ];
        self.record_fact(Fact::Totals, totals);
        let servers = self
            .machines
            .iter()
            .map(|machine| self.server_report(machine));
        let servers = servers.collect();
        Report::new(
            self.scenario,
            self.policy,
            self.seed,
            self.events,
            self.traffic,
            &self.judge,
            servers,
        )
    }

    /// Ends the operations that are still open as failed. If the run has reached its stop time,
    /// each of them is a violation.
    fn end_open_operations(&mut self) {
        let open: Vec<OperationKey> = self
            .operations
            .iter()
            .filter(|(_, operation)| !operation.ended)
            .map(|(key, _)| key)
            .collect();
        for key in open {
            if self.now >= self.hard_stop {
                let operation = &self.operations[key];
                let (proxy, number) = (operation.proxy, operation.number);
                let description = "operation still open at the end of the run";
                self.record_violation(Rule::OneAnswer, proxy, None, Some(number), description);
            }
            self.report_operation(key, OperationOutcome::Failed);
        }
    }

    fn server_report(&self, machine: &Machine) -> ServerReport {
        ServerReport {
            kind: self.scenario.pools[machine.pool].kind.clone(),
            zone: self.scenario.zones[machine.zone].clone(),
            statistics: machine.server.statistics.clone(),
            busy: machine.utilization.clone(),
            position: machine.position,
        }
    }
}

impl Machine {
    fn sample(&mut self) {
        let statistics = &self.server.statistics;
        let sample = CoreTime {
            busy: statistics.busy_core_time,
            available: statistics.available_core_time,
        };
        let last = std::mem::replace(&mut self.last_sample, sample);
        let available = sample.available - last.available;
        self.utilization.push(if available > 0.0 {
            ((sample.busy - last.busy) / available) as f32
        } else {
            f32::NAN
        });
    }
}
