//! Coordinators as real processes on loopback: the operator's API, and what was acknowledged
//! through kills, pauses and lost disks.

mod system;

use std::time::{Duration, Instant};

use awc::http::Method;
use system::client::{call, configuration, get, put, status};
use system::{Role, Site, eventually};

/// Sends a configuration to one coordinator after the other until one acknowledges it.
fn acknowledged(site: &Site, coordinators: &[u8], base: u64, generation: u64) {
    let body = configuration(generation);
    eventually("an acknowledgement", || {
        let answers = coordinators.iter().map(|number| {
            let answer = put(site.control_plane(*number), &base.to_string(), &body);
            assert!(
                !matches!(answer, Some(400..=499)),
                "refused with {answer:?}"
            );
            answer
        });
        answers
            .into_iter()
            .any(|answer| answer == Some(200))
            .then_some(())
    });
}

/// Waits until a coordinator answers with this version, and asserts that it never answers with
/// another.
fn assert_holds(site: &Site, number: u8, generation: u64) {
    let body = eventually("the configuration", || get(site.control_plane(number)));
    assert_eq!(body, configuration(generation), "coordinator {number}");
}

fn three(site: &Site) -> Vec<Option<Role>> {
    (1..=3)
        .map(|number| Some(site.start("coordinator", number, true)))
        .collect()
}

#[test]
fn the_operators_api_of_one_coordinator() {
    let site = Site::new(1);
    let _coordinator = site.start("coordinator", 1, true);
    let at = site.control_plane(1);
    eventually("an API", || status(Method::GET, at, "/api/config", ""));
    assert_eq!(status(Method::GET, at, "/api/config", ""), Some(404));
    let first = configuration(3);
    assert_eq!(status(Method::PUT, at, "/api/config", &first), Some(400));
    assert_eq!(put(at, "1", &first), Some(412));
    eventually("the first configuration", || {
        put(at, "0", &first).filter(|status| *status == 200)
    });
    assert_eq!(put(at, "0", &first), Some(200));
    assert_eq!(put(at, "0", &configuration(5)), Some(412));
    assert_eq!(put(at, "3", &configuration(2)), Some(400));
    assert_eq!(
        put(at, "3", &configuration(3).replace("5000", "4000")),
        Some(400)
    );
    assert_eq!(
        put(at, "3", &configuration(9).replace("5000", "0")),
        Some(400)
    );
    assert_eq!(put(at, "3", &configuration(9)[..50]), Some(400));
    assert_eq!(get(at).as_deref(), Some(&*first));
    assert_eq!(put(at, "\"3\"", &configuration(9)), Some(200));
    assert_eq!(
        put(at, "0", &first),
        Some(200),
        "taken before, byte for byte"
    );
    assert_eq!(get(at), Some(configuration(9)));
}

#[test]
fn evacuations_registrations_and_addresses_of_one_coordinator() {
    let site = Site::new(1);
    let _coordinator = site.start("coordinator", 1, true);
    let at = site.control_plane(1);
    eventually("an API", || {
        status(Method::POST, at, "/api/evacuate/z9", "").filter(|status| *status == 200)
    });
    for method in [Method::POST, Method::DELETE, Method::DELETE] {
        assert_eq!(status(method, at, "/api/evacuate/z9", ""), Some(200));
    }
    let beat =
        r#"{"backend":"app","address":"10.0.0.9:80","zone":"z","state":"ready","sequence":4}"#;
    // Orders are decided from the start; servers are acknowledged once the newest state has been
    // read.
    eventually("contact", || {
        status(Method::PUT, at, "/api/instances/i-1", beat).filter(|status| *status == 200)
    });
    assert_eq!(
        status(Method::PUT, at, "/api/instances/i-1", beat),
        Some(200)
    );
    assert_eq!(
        status(Method::PUT, at, "/api/instances/i-1", &beat[..20]),
        Some(400)
    );
    assert_eq!(
        status(Method::DELETE, at, "/api/instances/i-1", ""),
        Some(200)
    );
    assert_eq!(status(Method::GET, at, "/api/nothing", ""), Some(404));
    assert_eq!(
        status(
            Method::GET,
            site.directory(1),
            "/api/resolve?region=r&zone=z",
            ""
        ),
        Some(503)
    );
}

#[test]
fn an_acknowledged_configuration_outlives_kills_in_turn() {
    let site = Site::new(3);
    let mut coordinators = three(&site);
    acknowledged(&site, &[1, 2, 3], 0, 1);
    for number in 1..=3u8 {
        let slot = &mut coordinators[usize::from(number) - 1];
        slot.take().expect("it runs").kill();
        let others: Vec<u8> = (1..=3).filter(|other| *other != number).collect();
        acknowledged(&site, &others, u64::from(number), u64::from(number) + 1);
        coordinators[usize::from(number) - 1] = Some(site.start("coordinator", number, false));
        assert_holds(&site, number, u64::from(number) + 1);
    }
}

#[test]
fn an_acknowledged_configuration_outlives_the_end_of_all() {
    let site = Site::new(3);
    let coordinators = three(&site);
    acknowledged(&site, &[1, 2, 3], 0, 7);
    coordinators.into_iter().flatten().for_each(Role::kill);
    let _again: Vec<Role> = (1..=3)
        .map(|number| site.start("coordinator", number, false))
        .collect();
    for number in 1..=3 {
        assert_holds(&site, number, 7);
    }
}

/// Pauses a coordinator until the others acknowledge a change without it: then they bear its loss.
fn until_borne(site: &Site, paused: &Role, others: &[u8], base: u64) {
    let body = configuration(base + 1);
    eventually("a quorum of the others", || {
        paused.freeze();
        let mut answers = others
            .iter()
            .map(|number| put(site.control_plane(*number), &base.to_string(), &body));
        let done = answers.any(|answer| answer == Some(200));
        paused.thaw();
        done.then_some(())
    });
}

/// The machine with the empty disk takes part again; then each of the others goes in its turn.
#[test]
fn an_acknowledged_configuration_outlives_a_lost_disk() {
    let site = Site::new(3);
    let mut coordinators = three(&site);
    acknowledged(&site, &[1, 2, 3], 0, 1);
    coordinators[0].take().expect("it runs").kill();
    site.wipe(1);
    coordinators[0] = Some(site.start("coordinator", 1, false));
    assert_holds(&site, 1, 1);
    for (number, version) in [(2u8, 1), (3, 3)] {
        let others: Vec<u8> = (1..=3).filter(|other| *other != number).collect();
        let slot = usize::from(number) - 1;
        until_borne(
            &site,
            coordinators[slot].as_ref().expect("it runs"),
            &others,
            version,
        );
        coordinators[slot].take().expect("it runs").kill();
        acknowledged(&site, &others, version + 1, version + 2);
        coordinators[slot] = Some(site.start("coordinator", number, false));
        assert_holds(&site, number, version + 2);
    }
}

#[test]
fn changes_are_acknowledged_while_one_is_paused_and_it_catches_up() {
    let site = Site::new(3);
    let coordinators = three(&site);
    acknowledged(&site, &[1, 2, 3], 0, 1);
    let paused = coordinators[2].as_ref().expect("it runs");
    paused.freeze();
    acknowledged(&site, &[1, 2], 1, 2);
    acknowledged(&site, &[2, 1], 2, 3);
    paused.thaw();
    assert_holds(&site, 3, 3);
    acknowledged(&site, &[3], 3, 4);
}

/// Two operators build on one version at once: one of them is taken.
#[test]
fn of_two_changes_on_one_version_one_is_taken() {
    let site = Site::new(3);
    let _coordinators = three(&site);
    acknowledged(&site, &[1, 2, 3], 0, 1);
    let send = |number: u8, body: String| {
        let at = site.control_plane(number);
        eventually("a clear answer", || {
            put(at, "1", &body).filter(|status| [200, 412].contains(status))
        })
    };
    let (one, other) = (configuration(2), configuration(2).replace("5000", "4000"));
    let answers = std::thread::scope(|scope| {
        let one = scope.spawn(|| send(1, one.clone()));
        let other = scope.spawn(|| send(2, other.clone()));
        [
            one.join().expect("answered"),
            other.join().expect("answered"),
        ]
    });
    let winner = match answers {
        [200, 412] => one,
        [412, 200] => other,
        both => panic!("{both:?}"),
    };
    for number in 1..=3 {
        assert_eq!(
            eventually("the configuration", || get(site.control_plane(number))),
            winner
        );
    }
}

#[test]
fn a_lone_coordinator_acknowledges_nothing() {
    let site = Site::new(3);
    let _alone = site.start("coordinator", 1, true);
    let at = site.control_plane(1);
    let answer = eventually("an answer", || {
        call(
            Method::PUT,
            at,
            "/api/config",
            &[("If-Match", "0")],
            &configuration(1),
        )
    });
    assert_eq!(answer.0, 503);
}

/// Contact is lost at this age, by the usual bounds in time.
const CONTACT_BOUND: Duration = Duration::from_secs(1);

fn beat(sequence: u64, state: &str) -> String {
    format!(
        "{{\"backend\":\"app\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"{state}\",\"sequence\":{sequence}}}"
    )
}

/// The status that each call to a coordinator gets: heartbeat, `draining`, `DELETE`, configuration,
/// evacuation, read and resolve.
fn statuses(site: &Site, number: u8, sequence: u64) -> [Option<u16>; 7] {
    let (at, server) = (site.control_plane(number), "/api/instances/i-1");
    [
        status(Method::PUT, at, server, &beat(sequence, "ready")),
        status(Method::PUT, at, server, &beat(sequence + 1, "draining")),
        status(Method::DELETE, at, server, ""),
        put(at, "1", &configuration(2)),
        status(Method::POST, at, "/api/evacuate/z9", ""),
        status(Method::GET, at, "/api/config", ""),
        status(
            Method::GET,
            site.directory(number),
            "/api/resolve?region=r&zone=z1",
            "",
        ),
    ]
}

/// The other two stand still: the one that runs acknowledges nothing once its contact is older than
/// the bound, and everything again when they go on.
#[test]
fn a_coordinator_without_a_majority_acknowledges_nothing_until_it_has_one_again() {
    let site = Site::new(3);
    let coordinators = three(&site);
    acknowledged(&site, &[1, 2, 3], 0, 1);
    let at = site.control_plane(1);
    let heartbeat = |sequence| {
        status(
            Method::PUT,
            at,
            "/api/instances/i-1",
            &beat(sequence, "ready"),
        )
    };
    eventually("contact", || heartbeat(1).filter(|status| *status == 200));
    let others: Vec<&Role> = coordinators[1..].iter().flatten().collect();
    for other in &others {
        other.freeze();
    }
    let frozen = Instant::now();
    let refused = eventually("the bound", || {
        let is_late = frozen.elapsed() >= CONTACT_BOUND;
        let status = heartbeat(2);
        is_late.then_some(status)
    });
    assert_eq!(refused, Some(503));
    assert_eq!(statuses(&site, 1, 3), [Some(503); 7]);
    for other in &others {
        other.thaw();
    }
    eventually("contact", || heartbeat(9).filter(|status| *status == 200));
    let [
        heartbeat,
        draining,
        delete,
        configuration,
        evacuation,
        read,
        resolve,
    ] = statuses(&site, 1, 10);
    assert_eq!(
        [heartbeat, draining, delete, configuration, evacuation, read],
        [Some(200); 6]
    );
    assert_eq!(resolve, Some(503), "there is no gate");
}
