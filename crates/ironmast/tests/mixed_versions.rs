//! Tests of two program versions in one system whose configuration schemas differ: an upgrade that has
//! reached two of three coordinators, and a rollback.
//!
//! The newer version is this test program, started as a separate process: it accepts a route type that
//! the program under test does not know.

mod system;

use std::net::TcpStream;
use std::process::Command;

use awc::http::Method;
use ironmast_schema::configuration::{Configuration, ConfigurationError};
use ironmast_schema::settings::Settings;
use slog::{Drain as _, Logger, o};
use system::client::{call, configuration, decided, get, put, status};
use system::{Role, Site, eventually};

/// The environment variable that makes this test program run a coordinator of the newer version.
const NEWER_VERSION: &str = "IRONMAST_TEST_NEWER_VERSION";
/// The route type that only the newer version knows.
const NEWER_TYPE: &str = "\"duplex\"";
/// The machine of the coordinator of the older version.
const OLDER: u8 = 3;
/// The machines of the coordinators of the newer version.
const NEWER: [u8; 2] = [1, 2];
/// The machine of the gate and its agent.
const GATE: u8 = 4;

const UNREADABLE: &str =
    "cannot read the configuration, the last one that could be read stays in force";

/// Parses a configuration as the newer version.
fn parse_newer(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    let body = String::from_utf8_lossy(body).replace(NEWER_TYPE, "\"safe\"");
    Configuration::parse(body.as_bytes())
}

/// The entry point of a process of the newer version; without the environment variable it does nothing.
#[test]
fn coordinator_of_the_newer_version() {
    if std::env::var_os(NEWER_VERSION).is_none() {
        return;
    }
    let settings = Settings::from_environment().expect("settings");
    let lines = slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(std::io::stderr()));
    let log = Logger::root(lines.build().fuse(), o!());
    ironmast_coordinator::run_with_parser(settings, log, parse_newer).expect("it runs");
}

fn start_newer(site: &Site, number: u8) -> Role {
    let this_program = std::env::current_exe().expect("this program");
    let mut program = Command::new(this_program);
    program
        .args(["--exact", "coordinator_of_the_newer_version", "--nocapture"])
        .env(NEWER_VERSION, "1");
    site.bootstrap_other_coordinator(program, number)
}

/// Builds a configuration of the newer schema.
fn newer_configuration(generation: u64) -> String {
    configuration(generation).replace("\"safe\"", NEWER_TYPE)
}

/// Sends a configuration to a coordinator until it is acknowledged.
fn put_until_acknowledged(site: &Site, number: u8, base: u64, body: &str) {
    eventually("an acknowledgement", || {
        let status = put(site.control_plane(number), &base.to_string(), body);
        assert!(!matches!(status, Some(400..=499)), "rejected: {status:?}");
        (status == Some(200)).then_some(())
    });
}

fn evacuate(site: &Site, number: u8) -> Option<u16> {
    let at = site.control_plane(number);
    decided(|| status(Method::POST, at, "/api/evacuate/z9", ""))
}

/// The status with which a coordinator's directory responds.
fn resolve(site: &Site, number: u8) -> Option<u16> {
    status(
        Method::GET,
        site.directory(number),
        "/api/resolve?region=r&zone=z3",
        "",
    )
}

/// The status of a request to the gate. There are no servers: it is 503 if the configuration has a
/// route for the path, else 404.
fn request(site: &Site, path: &str) -> Option<u16> {
    let headers = [
        ("Host", "a.example"),
        ("X-Ironmast-Request-Id", "00000000000000a1"),
    ];
    Some(call(Method::GET, site.frontend(GATE), path, &headers, "")?.status)
}

/// Three coordinators, one of them of the older version, and a gate with its agent.
struct MixedSite {
    site: Site,
    newer: Vec<Role>,
    older: Role,
    _gate: Role,
    _agent: Role,
}

impl MixedSite {
    fn start() -> Self {
        let site = Site::new(3);
        let newer = NEWER.map(|number| start_newer(&site, number)).into();
        let older = site.bootstrap_coordinator(OLDER);
        let gate = site.start_gate(GATE);
        let agent = site.start_agent(GATE);
        eventually("the gate's listener", || {
            TcpStream::connect(site.frontend(GATE)).ok()
        });
        MixedSite {
            site,
            newer,
            older,
            _gate: gate,
            _agent: agent,
        }
    }
}

#[test]
fn coordinator_of_an_older_version_keeps_the_last_configuration_and_logs_it() {
    let mixed = MixedSite::start();
    let site = &mixed.site;
    put_until_acknowledged(site, OLDER, 0, &configuration(1));
    eventually("the first configuration", || {
        (request(site, "/other/") == Some(404)).then_some(())
    });
    eventually("the gate in the directory", || {
        (resolve(site, OLDER) == Some(200)).then_some(())
    });
    put_until_acknowledged(site, NEWER[0], 1, &newer_configuration(2));
    let lines = site.logged("coordinator", OLDER, UNREADABLE);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("version: 2"), "{lines:?}");
    assert!(
        lines[0].contains("routes[0].type: unknown variant `duplex`"),
        "{lines:?}"
    );
    for number in NEWER {
        site.logged(
            "coordinator",
            number,
            "another coordinator cannot read the configuration",
        );
    }
    eventually("a rejected evacuation", || {
        (evacuate(site, OLDER) == Some(503)).then_some(())
    });
    let read = eventually(
        "the newest configuration",
        || get(site.control_plane(OLDER)),
    );
    assert_eq!(read, newer_configuration(2));
    assert_eq!(
        resolve(site, OLDER),
        Some(200),
        "the directory uses the last readable configuration"
    );
    assert_eq!(
        request(site, "/other/"),
        Some(404),
        "the gate keeps its configuration"
    );
}

#[test]
fn gates_keep_their_configuration_after_a_rollback_until_a_readable_one_is_decided() {
    let mixed = MixedSite::start();
    put_until_acknowledged(&mixed.site, NEWER[0], 0, &newer_configuration(1));
    eventually("the configuration of the newer version", || {
        (request(&mixed.site, "/other/") == Some(404)).then_some(())
    });
    mixed
        .newer
        .into_iter()
        .chain([mixed.older])
        .for_each(Role::kill);
    let site = &mixed.site;
    let _coordinators = [1, 2, 3].map(|number| site.start_coordinator(number));
    for number in 1..=3 {
        site.logged("coordinator", number, UNREADABLE);
        eventually("no directory", || {
            (resolve(site, number) == Some(503)).then_some(())
        });
    }
    assert_eq!(
        evacuate(site, 1),
        Some(503),
        "an evacuation could not take effect"
    );
    assert_eq!(
        request(site, "/other/"),
        Some(404),
        "the gate keeps its configuration"
    );
    put_until_acknowledged(site, 2, 1, &configuration(3).replace("/x/", "/other/"));
    eventually("the readable configuration", || {
        (request(site, "/other/") == Some(503)).then_some(())
    });
    eventually("the directory", || {
        (resolve(site, 1) == Some(200)).then_some(())
    });
    assert_eq!(evacuate(site, 1), Some(200));
}
