//! Tests that each role of the system reloads its settings on SIGHUP while it serves.

mod system;

use awc::http::Method;
use system::client::{call, configuration, decided, put, status};
use system::{Role, Site, eventually, server};

const COORDINATOR: u8 = 1;
/// The machine of the gate and its agent.
const GATE: u8 = 2;

const REJECTED: &str = "cannot reload the settings, keeping the current ones";
const RELOADED: &str = "settings reloaded";

/// A coordinator, a gate and its agent.
struct System {
    site: Site,
    coordinator: Role,
    gate: Role,
    agent: Role,
}

impl System {
    fn start() -> Self {
        let site = Site::new(1);
        System {
            coordinator: site.bootstrap_coordinator(COORDINATOR),
            gate: site.start_gate(GATE),
            agent: site.start_agent(GATE),
            site,
        }
    }

    /// Applies a configuration whose route may be served in region `q` only, and registers a server in
    /// zone `z1`.
    fn configure(&self) {
        let at = self.site.control_plane(COORDINATOR);
        let body = configuration(1).replace(
            "\"max_attempts\":2",
            "\"max_attempts\":2,\"allowed_regions\":[\"q\"]",
        );
        eventually("the configuration", || {
            put(at, "0", &body).filter(|status| *status == 200)
        });
        let heartbeat = format!(
            "{{\"backend\":\"app\",\"address\":\"{}\",\"zone\":\"z1\",\"capacity\":8,\"state\":\"ready\",\"sequence\":1}}",
            server::start()
        );
        let register = || status(Method::PUT, at, "/api/instances/i-1", &heartbeat);
        assert_eq!(decided(register), Some(200));
    }

    /// The status of a request to the gate.
    fn request(&self) -> Option<u16> {
        let headers = [
            ("Host", "a.example"),
            ("X-Ironmast-Request-Id", "00000000000000a1"),
        ];
        Some(call(Method::GET, self.site.frontend(GATE), "/x/1", &headers, "")?.status)
    }

    /// Changes the region and the zones of a running role.
    fn move_to_region_q(&self, name: &str, number: u8, role: &Role) {
        let new = "region: \"q\"\nzones: {z1: q, z2: q}";
        self.site.edit_settings(name, number, "region: \"r\"", new);
        role.reload();
        self.site.logged(name, number, RELOADED);
    }

    fn roles(&self) -> [(&'static str, u8, &Role); 3] {
        [
            ("coordinator", COORDINATOR, &self.coordinator),
            ("gate", GATE, &self.gate),
            ("agent", GATE, &self.agent),
        ]
    }
}

#[test]
fn invalid_settings_at_sighup_are_logged_with_their_field_and_change_nothing() {
    let system = System::start();
    system.configure();
    eventually("the route", || {
        (system.request() == Some(503)).then_some(())
    });
    for (name, number, role) in system.roles() {
        let range = "internal_port_range: [";
        system
            .site
            .edit_settings(name, number, range, "internal_port_range: [0, 65535] #");
        role.reload();
        let lines = system.site.logged(name, number, REJECTED);
        assert!(lines[0].contains("internal_port_range"), "{lines:?}");
    }
    assert_eq!(system.request(), Some(503), "the gate still serves");
    let at = system.site.control_plane(COORDINATOR);
    let read = || status(Method::GET, at, "/api/config", "");
    assert_eq!(decided(read), Some(200), "the coordinator still serves");
}

#[test]
fn zones_and_region_of_the_settings_take_effect_at_sighup() {
    let system = System::start();
    system.configure();
    eventually("the route", || {
        (system.request() == Some(503)).then_some(())
    });
    system.move_to_region_q("gate", GATE, &system.gate);
    eventually("a server of the new region", || {
        (system.request() == Some(200)).then_some(())
    });
    system.move_to_region_q("agent", GATE, &system.agent);
    system.move_to_region_q("coordinator", COORDINATOR, &system.coordinator);
    let resolved = "/api/resolve?region=q&zone=z7";
    let directory = system.site.directory(COORDINATOR);
    eventually("the gate's new region in the directory", || {
        (status(Method::GET, directory, resolved, "") == Some(200)).then_some(())
    });
}
