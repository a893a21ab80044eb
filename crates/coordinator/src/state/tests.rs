//! Whole coordinators without sockets: what each answers in and out of contact with the majority.

mod site;

use std::time::Duration;

use ironmast_schema::control::{Standing as Presence, Value};
use ironmast_schema::registration::InstanceState::{Draining, Ready};
use ironmast_schema::settings::TimingBounds;

use super::*;
use crate::standing::contact_bound;
use site::{Site, body, configure, delete, evacuate, heartbeat, resolve};

fn bound() -> Duration {
    contact_bound(&TimingBounds::default())
}

/// Contact has ended, and the timer that looks for it has run.
fn loss() -> Duration {
    bound() + Duration::from_millis(300)
}

/// One interval of the questions, and the read that catches up.
const RETURN: Duration = Duration::from_millis(350);

#[test]
fn in_contact_everything_is_answered() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, configure(3, 0)), 200);
    assert_eq!(site.status(0, evacuate("z9")), 200);
    assert_eq!(site.answer(1, Command::ReadConfiguration).body, body(3));
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    assert_eq!(site.status(0, heartbeat("i", 2, Draining)), 200);
    assert_eq!(site.status(0, delete("i")), 200);
    site.gate_speaks(1, 80, "r1");
    site.spread(1);
    assert_eq!(
        site.status(0, resolve("r0")),
        200,
        "a gate of another region that others hear"
    );
    for member in &mut site.members {
        assert!(member.told.in_contact.get());
        assert_eq!(member.says_in_contact(), Some(true));
    }
}

/// The cut is as each direction, or both.
fn cut_each_way(assert: impl Fn(&mut Site)) {
    for cut in [Site::cut, Site::cut_from, Site::cut_to] {
        let mut site = Site::new(3);
        assert_eq!(site.status(0, configure(3, 0)), 200);
        cut(&mut site, 0);
        site.run(loss());
        assert(&mut site);
    }
}

#[test]
fn out_of_contact_nothing_is_acknowledged() {
    cut_each_way(|site| {
        assert_eq!(site.status(0, configure(5, 3)), 503);
        assert_eq!(
            site.status(0, configure(2, 3)),
            503,
            "no refusal out of old knowledge"
        );
        assert_eq!(site.status(0, evacuate("z9")), 503);
        assert_eq!(site.status(0, Command::ReadConfiguration), 503);
        assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 503);
        assert_eq!(site.status(0, heartbeat("i", 2, Draining)), 503);
        assert_eq!(site.status(0, delete("i")), 503);
        assert_eq!(site.status(1, configure(6, 3)), 200);
    });
}

#[test]
fn out_of_contact_beats_make_nobody_fresh_and_agents_are_told() {
    cut_each_way(|site| {
        assert!(!site.members[0].told.in_contact.get());
        assert_eq!(site.members[0].says_in_contact(), Some(false));
        assert!(site.members[1].told.in_contact.get());
        assert_eq!(site.members[1].says_in_contact(), Some(true));
    });
}

#[test]
fn out_of_contact_the_directory_names_only_gates_of_the_region_that_speak_there() {
    cut_each_way(|site| {
        site.gate_speaks(1, 80, "r0");
        site.spread(1);
        assert_eq!(
            site.status(0, resolve("r0")),
            503,
            "heard of by others only"
        );
        site.gate_speaks(0, 81, "r0");
        assert_eq!(site.status(0, resolve("r1")), 503, "of another region");
        assert_eq!(
            site.answer(0, resolve("r0")).body,
            br#"{"addresses":["10.0.1.1:81"],"ttl_s":1.0}"#
        );
        site.run(Duration::from_secs(3));
        assert_eq!(
            site.status(0, resolve("r0")),
            503,
            "silent for longer than the patience"
        );
    });
}

#[test]
fn what_is_heard_out_of_contact_is_kept_and_nobody_is_called_silent() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, heartbeat("here", 1, Ready)), 200);
    assert_eq!(site.status(1, heartbeat("there", 1, Ready)), 200);
    site.spread(1);
    site.cut(0);
    site.run(loss());
    for sequence in 2..20 {
        assert_eq!(site.status(0, heartbeat("here", sequence, Ready)), 503);
        assert_eq!(site.status(1, heartbeat("there", sequence, Ready)), 200);
        site.run(Duration::from_secs(1));
    }
    assert_eq!(site.status(0, heartbeat("new", 1, Ready)), 503);
    assert!(site.members[0].published("new").is_some());
    site.cuts.clear();
    site.run(Duration::from_secs(2));
    let entries = site.members[0].told.published.borrow();
    let is_silent = |entry: &Entry| matches!(&entry.value, Value::Instance(record) if record.standing == Presence::Silent);
    assert!(!entries.iter().any(is_silent));
}

#[test]
fn on_return_it_serves_at_once_from_the_newest_state() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, configure(3, 0)), 200);
    site.cut(0);
    site.run(loss());
    assert_eq!(site.status(1, configure(6, 3)), 200);
    site.run(Duration::from_secs(20));
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 503);
    site.cuts.clear();
    let mut steps = 0..RETURN.as_millis() / 10;
    while !site.members[0].told.in_contact.get() {
        assert!(steps.next().is_some(), "not in contact within {RETURN:?}");
        site.step();
    }
    assert_eq!(
        site.members[0].published_generation(),
        Some(6),
        "known before anything is called fresh"
    );
    assert_eq!(site.members[0].says_in_contact(), Some(true));
    assert_eq!(site.status(0, heartbeat("i", 2, Ready)), 200);
    assert_eq!(site.status(0, heartbeat("i", 3, Draining)), 200);
    assert_eq!(site.answer(0, Command::ReadConfiguration).body, body(6));
}

/// The first thing that happens after the process stood still is a caller's request: no timer has
/// run.
#[test]
fn a_process_that_stood_still_acknowledges_nothing_before_it_has_asked_again() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    site.stand_still(Duration::from_secs(5));
    for command in [heartbeat("i", 2, Ready), heartbeat("i", 3, Draining)] {
        let mut reply = site.ask(0, command);
        assert_eq!(reply.try_recv().expect("at once").status, 503);
    }
    let mut reply = site.ask(0, configure(3, 0));
    assert_eq!(reply.try_recv().expect("at once").status, 503);
    assert!(!site.members[0].told.in_contact.get());
    site.run(RETURN);
    assert_eq!(site.status(0, heartbeat("i", 4, Ready)), 200);
}

/// The cut has come just now: contact is young enough, but the word of a server that leaves can't
/// get out.
#[test]
fn a_server_that_leaves_is_acknowledged_only_when_a_majority_holds_its_word() {
    for (sequence, cut) in [
        (1, Site::cut as fn(&mut Site, usize)),
        (2, Site::cut_from),
        (3, Site::cut_to),
    ] {
        let mut site = Site::new(3);
        assert_eq!(site.status(0, heartbeat("i", sequence, Ready)), 200);
        cut(&mut site, 0);
        assert_eq!(site.status(0, heartbeat("i", sequence + 1, Draining)), 503);
    }
    let mut site = Site::new(3);
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    site.cut(0);
    assert_eq!(site.status(0, delete("i")), 503);
}

/// The links come up anew while the word waits: what was sent on the old ones is lost, the
/// questions are not.
#[test]
fn a_link_that_comes_up_carries_the_word_that_waits() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    site.cut_from(0);
    let mut reply = site.ask(0, heartbeat("i", 2, Draining));
    site.step();
    site.cuts.clear();
    [1, 2].into_iter().for_each(|to| site.link(0, to));
    site.run(Duration::from_millis(400));
    assert_eq!(reply.try_recv().expect("in time").status, 200);
    assert!(site.members[1].published("i").is_some() && site.members[2].published("i").is_some());
}

#[test]
fn an_acknowledged_word_of_a_server_that_leaves_outlives_its_coordinator() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    site.cuts.extend([(0, 2), (2, 0)]);
    assert_eq!(site.status(0, heartbeat("i", 2, Draining)), 200);
    // What 0 gave to its own relay tree is lost with it.
    let entry = site.members[1].published("i").expect("spread by another");
    assert!(matches!(&entry.value, Value::Instance(record) if record.heartbeat.state == Draining));
    assert_eq!(site.status(0, delete("i")), 200);
    let entry = site.members[1].published("i").expect("spread by another");
    assert!(matches!(&entry.value, Value::Instance(record) if record.standing == Presence::Gone));
}

#[test]
fn the_end_of_a_server_that_is_not_known_is_not_acknowledged() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, delete("i")), 503);
    assert_eq!(site.status(1, heartbeat("i", 1, Ready)), 200);
    assert_eq!(site.status(1, delete("i")), 200);
    assert_eq!(
        site.status(1, delete("i")),
        200,
        "sent again after a lost answer"
    );
}

/// An order meets a cut at each step of its two rounds.
#[test]
fn an_order_through_a_cut_gets_503_only_where_it_is_never_in_force() {
    let mut statuses = BTreeSet::new();
    for steps in 0..12 {
        let mut site = Site::new(3);
        let mut reply = site.ask(0, configure(3, 0));
        (0..steps).for_each(|_| site.step());
        site.cut_to(0);
        site.run(Duration::from_secs(1));
        let status = reply.try_recv().expect("in time").status;
        site.cuts.clear();
        site.run(Duration::from_secs(5));
        let held = (0..3).map(|number| site.answer(number, Command::ReadConfiguration).status);
        let held: BTreeSet<u16> = held.collect();
        match status {
            200 => assert_eq!(held, BTreeSet::from([200]), "after {steps} steps"),
            503 => assert_eq!(held, BTreeSet::from([404]), "after {steps} steps"),
            504 => {}
            other => panic!("{other} after {steps} steps"),
        }
        statuses.insert(status);
    }
    assert_eq!(statuses, BTreeSet::from([200, 503, 504]));
}

#[test]
fn before_the_first_contact_orders_wait_and_servers_are_refused() {
    let mut site = Site::starting(3);
    assert_eq!(
        site.ask(0, heartbeat("i", 1, Ready))
            .try_recv()
            .expect("at once")
            .status,
        503
    );
    assert_eq!(
        site.ask(0, delete("i")).try_recv().expect("at once").status,
        503
    );
    assert_eq!(site.status(0, configure(3, 0)), 200);
    site.run(RETURN);
    assert!(site.members[0].told.in_contact.get());
}

#[test]
fn one_that_leaves_sends_servers_on_and_still_decides_orders() {
    let mut site = Site::new(3);
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    site.members[0].state.leave();
    assert_eq!(site.status(0, heartbeat("i", 2, Ready)), 503);
    assert_eq!(site.status(0, heartbeat("i", 3, Draining)), 503);
    assert_eq!(site.status(0, delete("i")), 503);
    assert_eq!(site.status(0, configure(3, 0)), 200);
    assert_eq!(site.members[0].says_in_contact(), Some(false));
}

#[test]
fn the_only_coordinator_is_always_in_contact() {
    let mut site = Site::new(1);
    site.stand_still(Duration::from_secs(30));
    assert_eq!(site.status(0, heartbeat("i", 1, Ready)), 200);
    assert_eq!(site.status(0, heartbeat("i", 2, Draining)), 200);
    assert_eq!(site.status(0, delete("i")), 200);
    assert_eq!(site.status(0, configure(3, 0)), 200);
}

/// Nobody has a majority: each keeps what it hears and names the gates that speak to it.
#[test]
fn where_nobody_has_a_majority_clients_still_find_the_gates_that_speak() {
    let mut site = Site::new(3);
    (0..3).for_each(|number| site.cut(number));
    site.run(loss());
    for number in 0..3 {
        let region = format!("r{number}");
        site.gate_speaks(number, 80, &region);
        assert_eq!(site.status(number, resolve(&region)), 200);
        assert_eq!(site.status(number, heartbeat("i", 1, Ready)), 503);
    }
}
