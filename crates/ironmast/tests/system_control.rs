//! Tests of coordinators as processes on loopback: the operators' API, and whether acknowledged
//! changes survive kills, pauses and lost disks.

mod system;

use std::time::{Duration, Instant};

use awc::http::Method;
use system::client::{call, configuration, decided, get, put, status};
use system::{Role, Site, eventually};

/// The contact timeout in tests that assert the status of single calls: a coordinator that has reached
/// no majority for this long is out of contact.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

const INSTANCE_PATH: &str = "/api/instances/i-1";
const EVACUATION_PATH: &str = "/api/evacuate/z9";
const RESOLVE_PATH: &str = "/api/resolve?region=r&zone=z1";

/// Three coordinators, numbered from 1.
struct Coordinators<'a> {
    site: &'a Site,
    /// `None` while one is down.
    roles: [Option<Role>; 3],
}

impl<'a> Coordinators<'a> {
    /// Starts the three coordinators of a new replica set.
    fn bootstrap(site: &'a Site) -> Self {
        let roles = [1, 2, 3].map(|number| Some(site.bootstrap_coordinator(number)));
        Coordinators { site, roles }
    }

    fn role(&self, number: u8) -> &Role {
        let role = &self.roles[usize::from(number) - 1];
        role.as_ref().expect("it runs")
    }

    fn kill(&mut self, number: u8) {
        let role = self.roles[usize::from(number) - 1].take();
        role.expect("it runs").kill();
    }

    fn restart(&mut self, number: u8) {
        self.roles[usize::from(number) - 1] = Some(self.site.start_coordinator(number));
    }
}

/// The numbers of the other two coordinators.
fn others(number: u8) -> [u8; 2] {
    match number {
        1 => [2, 3],
        2 => [1, 3],
        _ => [1, 2],
    }
}

/// Sends the configuration of a generation, which replaces version `base`, to one coordinator after
/// another until one acknowledges it.
fn put_until_acknowledged(site: &Site, coordinators: &[u8], base: u64, generation: u64) {
    let body = configuration(generation);
    eventually("an acknowledgement", || {
        let put_to = |number: &u8| {
            let status = put(site.control_plane(*number), &base.to_string(), &body);
            assert!(
                !matches!(status, Some(400..=499)),
                "rejected with {status:?}"
            );
            status
        };
        let mut statuses = coordinators.iter().map(put_to);
        statuses.any(|status| status == Some(200)).then_some(())
    });
}

/// Waits until a coordinator returns a configuration, and asserts that it is of this generation.
fn assert_configuration(site: &Site, number: u8, generation: u64) {
    let body = eventually("the configuration", || get(site.control_plane(number)));
    assert_eq!(body, configuration(generation), "coordinator {number}");
}

/// Waits until the other coordinators have acknowledged a change while this one is paused, which shows
/// that they tolerate its loss.
fn wait_until_loss_is_tolerated(coordinators: &Coordinators<'_>, number: u8, base: u64) {
    let site = coordinators.site;
    let body = configuration(base + 1);
    let role = coordinators.role(number);
    eventually("a quorum of the others", || {
        role.pause();
        let is_acknowledged = others(number)
            .iter()
            .map(|other| put(site.control_plane(*other), &base.to_string(), &body))
            .any(|status| status == Some(200));
        role.resume();
        is_acknowledged.then_some(())
    });
}

fn heartbeat(sequence: u64, state: &str) -> String {
    format!(
        "{{\"backend\":\"app\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"{state}\",\"sequence\":{sequence}}}"
    )
}

#[test]
fn operators_api_of_one_coordinator_checks_versions_and_bodies() {
    let site = Site::new(1).with_contact_timeout(CONTACT_TIMEOUT);
    let _coordinator = site.bootstrap_coordinator(1);
    let at = site.control_plane(1);
    let put = |base: &str, body: &str| decided(|| put(at, base, body));
    let read = || decided(|| status(Method::GET, at, "/api/config", ""));
    eventually("an API", || status(Method::GET, at, "/api/config", ""));
    assert_eq!(read(), Some(404));
    let first = configuration(3);
    let put_without_version = || status(Method::PUT, at, "/api/config", &first);
    assert_eq!(decided(put_without_version), Some(400));
    assert_eq!(put("1", &first), Some(412));
    eventually("the first configuration", || {
        put("0", &first).filter(|status| *status == 200)
    });
    assert_eq!(put("0", &first), Some(200));
    assert_eq!(put("0", &configuration(5)), Some(412));
    assert_eq!(put("3", &configuration(2)), Some(400));
    let other_body = configuration(3).replace("5000", "4000");
    assert_eq!(put("3", &other_body), Some(400));
    let invalid = configuration(9).replace("5000", "0");
    assert_eq!(put("3", &invalid), Some(400));
    assert_eq!(put("3", &configuration(9)[..50]), Some(400));
    let current = || eventually("the configuration", || get(at));
    assert_eq!(current(), first);
    assert_eq!(put("\"3\"", &configuration(9)), Some(200));
    assert_eq!(
        put("0", &first),
        Some(200),
        "accepted before, byte for byte"
    );
    assert_eq!(current(), configuration(9));
}

#[test]
fn one_coordinator_serves_evacuations_registrations_and_the_directory() {
    let site = Site::new(1).with_contact_timeout(CONTACT_TIMEOUT);
    let _coordinator = site.bootstrap_coordinator(1);
    let at = site.control_plane(1);
    eventually("an API", || {
        status(Method::POST, at, EVACUATION_PATH, "").filter(|status| *status == 200)
    });
    for method in [Method::POST, Method::DELETE, Method::DELETE] {
        let evacuate = || status(method.clone(), at, EVACUATION_PATH, "");
        assert_eq!(decided(evacuate), Some(200));
    }
    let ready = heartbeat(4, "ready");
    let put_instance = |body: &str| decided(|| status(Method::PUT, at, INSTANCE_PATH, body));
    // Evacuation orders are decided immediately; servers are acknowledged only once the coordinator
    // has read the newest state.
    eventually("contact", || {
        put_instance(&ready).filter(|status| *status == 200)
    });
    assert_eq!(put_instance(&ready), Some(200));
    assert_eq!(put_instance(&ready[..20]), Some(400));
    let delete_instance = || status(Method::DELETE, at, INSTANCE_PATH, "");
    assert_eq!(decided(delete_instance), Some(200));
    assert_eq!(status(Method::GET, at, "/api/nothing", ""), Some(404));
    let directory = site.directory(1);
    let without_gates = "/api/resolve?region=r&zone=z";
    assert_eq!(status(Method::GET, directory, without_gates, ""), Some(503));
}

#[test]
fn acknowledged_configuration_survives_a_kill_of_each_coordinator_in_turn() {
    let site = Site::new(3);
    let mut coordinators = Coordinators::bootstrap(&site);
    put_until_acknowledged(&site, &[1, 2, 3], 0, 1);
    for number in 1..=3 {
        coordinators.kill(number);
        let base = u64::from(number);
        put_until_acknowledged(&site, &others(number), base, base + 1);
        coordinators.restart(number);
        assert_configuration(&site, number, base + 1);
    }
}

#[test]
fn acknowledged_configuration_survives_a_kill_of_all_coordinators() {
    let site = Site::new(3);
    let mut coordinators = Coordinators::bootstrap(&site);
    put_until_acknowledged(&site, &[1, 2, 3], 0, 7);
    for number in 1..=3 {
        coordinators.kill(number);
    }
    for number in 1..=3 {
        coordinators.restart(number);
    }
    for number in 1..=3 {
        assert_configuration(&site, number, 7);
    }
}

/// A coordinator restarts with an empty disk and takes part again; then each of the others is killed in
/// turn, so that a majority needs the restarted one.
#[test]
fn acknowledged_configuration_survives_a_lost_disk() {
    let site = Site::new(3);
    let mut coordinators = Coordinators::bootstrap(&site);
    put_until_acknowledged(&site, &[1, 2, 3], 0, 1);
    coordinators.kill(1);
    site.wipe(1);
    coordinators.restart(1);
    assert_configuration(&site, 1, 1);
    for (number, version) in [(2, 1), (3, 3)] {
        wait_until_loss_is_tolerated(&coordinators, number, version);
        coordinators.kill(number);
        put_until_acknowledged(&site, &others(number), version + 1, version + 2);
        coordinators.restart(number);
        assert_configuration(&site, number, version + 2);
    }
}

#[test]
fn changes_are_acknowledged_while_one_coordinator_is_paused_and_reach_it_later() {
    let site = Site::new(3);
    let coordinators = Coordinators::bootstrap(&site);
    put_until_acknowledged(&site, &[1, 2, 3], 0, 1);
    coordinators.role(3).pause();
    put_until_acknowledged(&site, &[1, 2], 1, 2);
    put_until_acknowledged(&site, &[2, 1], 2, 3);
    coordinators.role(3).resume();
    assert_configuration(&site, 3, 3);
    put_until_acknowledged(&site, &[3], 3, 4);
}

#[test]
fn exactly_one_of_two_concurrent_changes_of_a_version_is_accepted() {
    let site = Site::new(3);
    let _coordinators = Coordinators::bootstrap(&site);
    put_until_acknowledged(&site, &[1, 2, 3], 0, 1);
    let put_until_decided = |number: u8, body: &str| {
        let at = site.control_plane(number);
        eventually("a decision", || {
            put(at, "1", body).filter(|status| [200, 412].contains(status))
        })
    };
    let first = configuration(2);
    let second = configuration(2).replace("5000", "4000");
    let statuses = std::thread::scope(|scope| {
        let first = scope.spawn(|| put_until_decided(1, &first));
        let second = scope.spawn(|| put_until_decided(2, &second));
        [first, second].map(|change| change.join().expect("a status"))
    });
    let accepted = match statuses {
        [200, 412] => first,
        [412, 200] => second,
        both => panic!("{both:?}"),
    };
    for number in 1..=3 {
        let at = site.control_plane(number);
        assert_eq!(eventually("the configuration", || get(at)), accepted);
    }
}

#[test]
fn coordinator_that_starts_alone_acknowledges_nothing() {
    let site = Site::new(3);
    let _alone = site.bootstrap_coordinator(1);
    let at = site.control_plane(1);
    let headers = [("If-Match", "0")];
    let response = eventually("a response", || {
        call(Method::PUT, at, "/api/config", &headers, &configuration(1))
    });
    assert_eq!(response.status, 503);
}

/// The statuses of one call of each kind; `None` for a call without a response.
#[derive(Debug, PartialEq, Eq)]
struct CallStatuses {
    heartbeat: Option<u16>,
    draining: Option<u16>,
    deregistration: Option<u16>,
    configuration: Option<u16>,
    evacuation: Option<u16>,
    read: Option<u16>,
    resolve: Option<u16>,
}

impl CallStatuses {
    /// The same status for every call.
    fn all(status: u16) -> Self {
        let status = Some(status);
        CallStatuses {
            heartbeat: status,
            draining: status,
            deregistration: status,
            configuration: status,
            evacuation: status,
            read: status,
            resolve: status,
        }
    }

    /// Makes the calls at a coordinator, in the order of the fields. `sequence` is the number of the
    /// heartbeat.
    fn of_coordinator(site: &Site, number: u8, sequence: u64) -> Self {
        let at = site.control_plane(number);
        let directory = site.directory(number);
        let put_instance = |state, sequence| {
            let body = heartbeat(sequence, state);
            decided(|| status(Method::PUT, at, INSTANCE_PATH, &body))
        };
        CallStatuses {
            heartbeat: put_instance("ready", sequence),
            draining: put_instance("draining", sequence + 1),
            deregistration: decided(|| status(Method::DELETE, at, INSTANCE_PATH, "")),
            configuration: decided(|| put(at, "1", &configuration(2))),
            evacuation: decided(|| status(Method::POST, at, EVACUATION_PATH, "")),
            read: decided(|| status(Method::GET, at, "/api/config", "")),
            resolve: decided(|| status(Method::GET, directory, RESOLVE_PATH, "")),
        }
    }
}

/// Two coordinators are paused. The third must acknowledge nothing once its contact is older than the
/// timeout, and everything again when the others continue.
#[test]
fn coordinator_without_a_majority_acknowledges_nothing_until_it_has_one_again() {
    let site = Site::new(3).with_contact_timeout(CONTACT_TIMEOUT);
    let coordinators = Coordinators::bootstrap(&site);
    put_until_acknowledged(&site, &[1, 2, 3], 0, 1);
    let at = site.control_plane(1);
    let send_heartbeat = |sequence| {
        let body = heartbeat(sequence, "ready");
        status(Method::PUT, at, INSTANCE_PATH, &body)
    };
    eventually("contact", || {
        send_heartbeat(1).filter(|status| *status == 200)
    });
    for other in others(1) {
        coordinators.role(other).pause();
    }
    let paused = Instant::now();
    let status_after_timeout = eventually("the timeout", || {
        let is_past_timeout = paused.elapsed() >= CONTACT_TIMEOUT;
        let status = send_heartbeat(2);
        is_past_timeout.then_some(status)
    });
    assert_eq!(status_after_timeout, Some(503));
    let statuses = CallStatuses::of_coordinator(&site, 1, 3);
    assert_eq!(statuses, CallStatuses::all(503));
    for other in others(1) {
        coordinators.role(other).resume();
    }
    eventually("contact", || {
        send_heartbeat(9).filter(|status| *status == 200)
    });
    let expected = CallStatuses {
        // There is no gate.
        resolve: Some(503),
        ..CallStatuses::all(200)
    };
    assert_eq!(CallStatuses::of_coordinator(&site, 1, 10), expected);
}
