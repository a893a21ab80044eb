//! Health checks on their way to servers and back.

use ironmast_balancer::{Event, LoadReport, Micros, Outcome};

use super::Simulation;
use super::event::SimulationEvent;

impl Simulation<'_> {
    pub(super) fn health_check_at_server(
        &mut self,
        proxy: u32,
        incarnation: u32,
        server: u32,
        sent: Micros,
    ) {
        let zone = self.proxies[proxy as usize].zone;
        let machine = &mut self.machines[server as usize];
        let way = self
            .network
            .delay(machine.zone, zone, [u64::from(proxy), sent ^ 1]);
        let silent = machine.unresponsive
            || self
                .network
                .partition_end(zone, machine.zone, self.now)
                .is_some();
        let up = machine.server.up && !silent;
        let at = if silent {
            (sent + self.network.connect_timeout).max(self.now)
        } else {
            self.now + way
        };
        let held = up.then(|| machine.server.in_system() as u32);
        if up {
            machine
                .server
                .add_overhead(self.scenario.pools[machine.pool].probe_work_ms * 1e3);
        }
        self.queue.push(
            at,
            SimulationEvent::HealthCheckResult {
                proxy,
                incarnation,
                server,
                sent,
                held,
            },
        );
    }

    pub(super) fn health_check_result(
        &mut self,
        proxy: u32,
        incarnation: u32,
        server: u32,
        sent: Micros,
        held: Option<u32>,
    ) {
        if !self.is_current(proxy, incarnation) {
            return;
        }
        let reports = self.scenario.proxies.load_reports;
        let load = held.filter(|_| reports);
        let load = load.map(|held| LoadReport {
            cpu: None,
            active: Some(f64::from(held)),
        });
        let outcome = if held.is_some() {
            Outcome::Ok
        } else {
            Outcome::ConnectFailed
        };
        let (server, latency) = (self.machines[server as usize].id, self.now - sent);
        self.deliver(
            proxy,
            Event::ProbeEnded {
                server,
                outcome,
                latency,
                load,
            },
        );
    }
}
