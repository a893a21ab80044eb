//! Health checks of proxies: sending, the response of servers, and the results.

use ironmast_balancer::{Event, LoadReport, Outcome, ServerId};

use super::Simulation;
use super::event::SimulationEvent;
use super::ids::{HealthCheck, ProxyIncarnation};
use super::servers::server_number;

impl Simulation<'_> {
    /// Sends a health check of a proxy to a server.
    pub(super) fn send_health_check(&mut self, run: ProxyIncarnation, server: ServerId) {
        self.traffic.probes += 1;
        let check = HealthCheck {
            proxy: run,
            server: server_number(server),
            sent: self.now,
        };
        let from = self.proxies[run.proxy as usize].zone;
        let to = self.machines[check.server as usize].zone;
        let message = [u64::from(run.proxy), check.sent];
        let at = self.now + self.network.delay(from, to, message);
        self.queue
            .push(at, SimulationEvent::HealthCheckAtServer(check));
    }

    /// Handles the arrival of a health check at its server, which responds unless it is down or
    /// unreachable.
    pub(super) fn health_check_at_server(&mut self, check: HealthCheck) {
        let proxy = check.proxy.proxy;
        let zone = self.proxies[proxy as usize].zone;
        let machine = &mut self.machines[check.server as usize];
        let partition_end = self.network.partition_end(zone, machine.zone, self.now);
        let is_silent = machine.unresponsive || partition_end.is_some();
        let at = if is_silent {
            (check.sent + self.network.connect_timeout).max(self.now)
        } else {
            // The response is a message of its own, so its id differs from that of the check.
            let message = [u64::from(proxy), check.sent ^ 1];
            self.now + self.network.delay(machine.zone, zone, message)
        };
        let responds = machine.server.up && !is_silent;
        let in_system = responds.then(|| machine.server.in_system() as u32);
        if responds {
            let work_ms = self.scenario.pools[machine.pool].probe_work_ms;
            machine.server.add_overhead(work_ms * 1e3);
        }
        self.queue
            .push(at, SimulationEvent::HealthCheckResult { check, in_system });
    }

    /// Delivers the result of a health check to its proxy.
    pub(super) fn health_check_result(&mut self, check: HealthCheck, in_system: Option<u32>) {
        if !self.is_current(check.proxy) {
            return;
        }
        let outcome = if in_system.is_some() {
            Outcome::Ok
        } else {
            Outcome::ConnectFailed
        };
        let reported = in_system.filter(|_| self.scenario.proxies.load_reports);
        let load = reported.map(|in_system| LoadReport {
            cpu: None,
            active: Some(f64::from(in_system)),
        });
        let event = Event::ProbeEnded {
            server: self.machines[check.server as usize].id,
            outcome,
            latency: self.now - check.sent,
            load,
        };
        self.deliver(check.proxy.proxy, event);
    }
}
