//! Responses to each request in and out of contact with the majority, by coordinators that run
//! without sockets.

mod cluster;
mod mixed_versions;

use std::collections::BTreeSet;
use std::time::Duration;

use ironmast_schema::control::{Liveness, Value};
use ironmast_schema::registration::InstanceState::{Draining, Ready};
use ironmast_schema::settings::TimingBounds;

use super::*;
use crate::caller::Caller;
use crate::contact::contact_timeout;
use crate::value::ZoneState;
use cluster::{
    Cluster, body, configure, delete, evacuate, heartbeat, read_configuration, resolve,
    set_zone_state, waiting,
};

/// Time after which contact is lost and the timer that checks it has run.
fn contact_loss_time() -> Duration {
    contact_timeout(&TimingBounds::default()) + Duration::from_millis(300)
}

/// Time within which contact returns: one interval of the contact checks and the catch-up read.
const CONTACT_RETURN_TIME: Duration = Duration::from_millis(350);

#[test]
fn in_contact_all_requests_are_acknowledged() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
    assert_eq!(cluster.status(0, evacuate("z9")), 200);
    assert_eq!(cluster.response(1, read_configuration()).body, body(3));
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    assert_eq!(cluster.status(0, heartbeat("i", 2, Draining)), 200);
    assert_eq!(cluster.status(0, delete("i")), 200);
    cluster.report_gate(1, 80, "r1");
    cluster.deliver_published(1);
    assert_eq!(
        cluster.status(0, resolve("r0")),
        200,
        "a gate of another region that reports to another coordinator"
    );
    for member in &mut cluster.members {
        assert!(member.published.in_contact.get());
        assert_eq!(member.keep_alive_in_contact(), Some(true));
    }
}

/// Runs `check` on clusters whose member 0 has lost contact: partitioned from the others in both
/// directions, and in each direction alone.
fn for_each_partition(check: impl Fn(&mut Cluster)) {
    for partition in [
        Cluster::partition,
        Cluster::partition_from,
        Cluster::partition_to,
    ] {
        let mut cluster = Cluster::new(3);
        assert_eq!(cluster.status(0, configure(3, 0)), 200);
        partition(&mut cluster, 0);
        cluster.run(contact_loss_time());
        check(&mut cluster);
    }
}

#[test]
fn out_of_contact_nothing_is_acknowledged() {
    for_each_partition(|cluster| {
        assert_eq!(cluster.status(0, configure(5, 3)), 503);
        assert_eq!(
            cluster.status(0, configure(2, 3)),
            503,
            "no rejection on the basis of an outdated state"
        );
        assert_eq!(cluster.status(0, evacuate("z9")), 503);
        assert_eq!(cluster.status(0, read_configuration()), 503);
        assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 503);
        assert_eq!(cluster.status(0, heartbeat("i", 2, Draining)), 503);
        assert_eq!(cluster.status(0, delete("i")), 503);
        assert_eq!(cluster.status(1, configure(6, 3)), 200);
    });
}

#[test]
fn out_of_contact_keep_alives_are_not_marked_fresh() {
    for_each_partition(|cluster| {
        assert!(!cluster.members[0].published.in_contact.get());
        assert_eq!(cluster.members[0].keep_alive_in_contact(), Some(false));
        assert!(cluster.members[1].published.in_contact.get());
        assert_eq!(cluster.members[1].keep_alive_in_contact(), Some(true));
    });
}

#[test]
fn out_of_contact_resolve_returns_only_direct_gates_of_the_region() {
    for_each_partition(|cluster| {
        cluster.report_gate(1, 80, "r0");
        cluster.deliver_published(1);
        assert_eq!(
            cluster.status(0, resolve("r0")),
            503,
            "reports to other coordinators only"
        );
        cluster.report_gate(0, 81, "r0");
        assert_eq!(cluster.status(0, resolve("r1")), 503, "of another region");
        assert_eq!(
            cluster.response(0, resolve("r0")).body,
            br#"{"addresses":["10.0.1.1:81"],"ttl_s":1.0}"#
        );
        cluster.run(Duration::from_secs(3));
        assert_eq!(
            cluster.status(0, resolve("r0")),
            503,
            "without a report for longer than the timeout"
        );
    });
}

#[test]
fn out_of_contact_reports_are_recorded_and_no_server_expires() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, heartbeat("here", 1, Ready)), 200);
    assert_eq!(cluster.status(1, heartbeat("there", 1, Ready)), 200);
    cluster.deliver_published(1);
    cluster.partition(0);
    cluster.run(contact_loss_time());
    for sequence in 2..20 {
        assert_eq!(cluster.status(0, heartbeat("here", sequence, Ready)), 503);
        assert_eq!(cluster.status(1, heartbeat("there", sequence, Ready)), 200);
        cluster.run(Duration::from_secs(1));
    }
    assert_eq!(cluster.status(0, heartbeat("new", 1, Ready)), 503);
    assert!(cluster.members[0].published_instance("new").is_some());
    cluster.partitions.clear();
    cluster.run(Duration::from_secs(2));
    let entries = cluster.members[0].published.entries.borrow();
    let is_unreachable = |entry: &Entry| matches!(&entry.value, Value::Instance(record) if record.liveness == Liveness::Unreachable);
    assert!(!entries.iter().any(is_unreachable));
}

#[test]
fn after_contact_returns_the_newest_state_is_served_at_once() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
    cluster.partition(0);
    cluster.run(contact_loss_time());
    assert_eq!(cluster.status(1, configure(6, 3)), 200);
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 503);
    cluster.partitions.clear();
    let mut steps = 0..CONTACT_RETURN_TIME.as_millis() / 10;
    while !cluster.members[0].published.in_contact.get() {
        assert!(
            steps.next().is_some(),
            "not in contact within {CONTACT_RETURN_TIME:?}"
        );
        cluster.step();
    }
    assert_eq!(
        cluster.members[0].published_generation(),
        Some(6),
        "published before anything is marked fresh"
    );
    assert_eq!(cluster.members[0].keep_alive_in_contact(), Some(true));
    assert_eq!(cluster.status(0, heartbeat("i", 2, Ready)), 200);
    assert_eq!(cluster.status(0, heartbeat("i", 3, Draining)), 200);
    assert_eq!(cluster.response(0, read_configuration()).body, body(6));
}

/// The first event after the pause is a client's request, before any timer has run: the process
/// must not answer it on the basis of the contact that it had before the pause.
#[test]
fn after_a_process_pause_nothing_is_acknowledged_before_a_new_contact_check() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    cluster.pause_processes(Duration::from_secs(5));
    for command in [heartbeat("i", 2, Ready), heartbeat("i", 3, Draining)] {
        let mut reply = cluster.submit(0, command);
        assert_eq!(reply.try_recv().expect("at once").status, 503);
    }
    let mut reply = cluster.submit(0, configure(3, 0));
    assert_eq!(reply.try_recv().expect("at once").status, 503);
    assert!(!cluster.members[0].published.in_contact.get());
    cluster.run(CONTACT_RETURN_TIME);
    assert_eq!(cluster.status(0, heartbeat("i", 4, Ready)), 200);
}

/// The partition has just begun: the contact has not timed out yet, but the report cannot reach the
/// others.
#[test]
fn a_draining_server_is_acknowledged_only_after_replication_to_a_majority() {
    for (sequence, partition) in [
        (1, Cluster::partition as fn(&mut Cluster, usize)),
        (2, Cluster::partition_from),
        (3, Cluster::partition_to),
    ] {
        let mut cluster = Cluster::new(3);
        assert_eq!(cluster.status(0, heartbeat("i", sequence, Ready)), 200);
        partition(&mut cluster, 0);
        assert_eq!(
            cluster.status(0, heartbeat("i", sequence + 1, Draining)),
            503
        );
    }
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    cluster.partition(0);
    assert_eq!(cluster.status(0, delete("i")), 503);
}

/// The links are replaced while the report is pending. The frames sent on the old links are lost,
/// while contact checks on the new ones arrive: without the report, they would acknowledge it.
#[test]
fn a_new_link_carries_pending_reports_first() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    cluster.partition_from(0);
    let mut reply = cluster.submit(0, heartbeat("i", 2, Draining));
    cluster.step();
    cluster.partitions.clear();
    for to in [1, 2] {
        cluster.link(0, to);
    }
    cluster.run(Duration::from_millis(400));
    assert_eq!(reply.try_recv().expect("in time").status, 200);
    assert!(
        cluster.members[1].published_instance("i").is_some()
            && cluster.members[2].published_instance("i").is_some()
    );
}

#[test]
fn an_acknowledged_draining_report_survives_the_loss_of_its_coordinator() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    cluster.partitions.extend([(0, 2), (2, 0)]);
    assert_eq!(cluster.status(0, heartbeat("i", 2, Draining)), 200);
    // What member 0 has published to the overlay is lost with it.
    let entry = cluster.members[1]
        .published_instance("i")
        .expect("published by another");
    assert!(matches!(&entry.value, Value::Instance(record) if record.heartbeat.state == Draining));
    assert_eq!(cluster.status(0, delete("i")), 200);
    let entry = cluster.members[1]
        .published_instance("i")
        .expect("published by another");
    assert!(
        matches!(&entry.value, Value::Instance(record) if record.liveness == Liveness::Deregistered)
    );
}

#[test]
fn deregistration_of_an_unknown_server_is_not_acknowledged() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, delete("i")), 503);
    assert_eq!(cluster.status(1, heartbeat("i", 1, Ready)), 200);
    assert_eq!(cluster.status(1, delete("i")), 200);
    assert_eq!(
        cluster.status(1, delete("i")),
        200,
        "submitted again after a lost response"
    );
}

/// Repeats a change with the partition beginning at each step of its two rounds.
#[test]
fn a_change_during_a_partition_gets_503_only_if_it_is_never_applied() {
    let mut statuses = BTreeSet::new();
    for steps in 0..12 {
        let mut cluster = Cluster::new(3);
        let mut reply = cluster.submit(0, configure(3, 0));
        (0..steps).for_each(|_| cluster.step());
        cluster.partition_to(0);
        cluster.run(Duration::from_secs(1));
        let status = reply.try_recv().expect("in time").status;
        cluster.partitions.clear();
        cluster.run(Duration::from_secs(5));
        let reads = (0..3).map(|number| cluster.response(number, read_configuration()).status);
        let reads: BTreeSet<u16> = reads.collect();
        match status {
            200 => assert_eq!(reads, BTreeSet::from([200]), "after {steps} steps"),
            503 => assert_eq!(reads, BTreeSet::from([404]), "after {steps} steps"),
            504 => {}
            other => panic!("{other} after {steps} steps"),
        }
        statuses.insert(status);
    }
    assert_eq!(statuses, BTreeSet::from([200, 503, 504]));
}

#[test]
fn before_first_contact_changes_wait_and_server_reports_get_503() {
    let mut cluster = Cluster::starting(3);
    assert_eq!(
        cluster
            .submit(0, heartbeat("i", 1, Ready))
            .try_recv()
            .expect("at once")
            .status,
        503
    );
    assert_eq!(
        cluster
            .submit(0, delete("i"))
            .try_recv()
            .expect("at once")
            .status,
        503
    );
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
    cluster.run(CONTACT_RETURN_TIME);
    assert!(cluster.members[0].published.in_contact.get());
}

#[test]
fn while_leaving_server_reports_get_503_and_changes_are_decided() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    cluster.members[0].node.leave();
    assert_eq!(cluster.status(0, heartbeat("i", 2, Ready)), 503);
    assert_eq!(cluster.status(0, heartbeat("i", 3, Draining)), 503);
    assert_eq!(cluster.status(0, delete("i")), 503);
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
    assert_eq!(cluster.members[0].keep_alive_in_contact(), Some(false));
}

#[test]
fn a_single_coordinator_is_always_in_contact() {
    let mut cluster = Cluster::new(1);
    cluster.pause_processes(Duration::from_secs(30));
    assert_eq!(cluster.status(0, heartbeat("i", 1, Ready)), 200);
    assert_eq!(cluster.status(0, heartbeat("i", 2, Draining)), 200);
    assert_eq!(cluster.status(0, delete("i")), 200);
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
}

/// No coordinator is in contact; each still records reports and returns the gates that report to
/// it.
#[test]
fn without_any_majority_clients_still_resolve_direct_gates() {
    let mut cluster = Cluster::new(3);
    (0..3).for_each(|number| cluster.partition(number));
    cluster.run(contact_loss_time());
    for number in 0..3 {
        let region = format!("r{number}");
        cluster.report_gate(number, 80, &region);
        assert_eq!(cluster.status(number, resolve(&region)), 200);
        assert_eq!(cluster.status(number, heartbeat("i", 1, Ready)), 503);
    }
}

/// Guards against a late copy of an order for a zone that undoes a newer one: the order waits in a
/// round that is superseded, its caller gives up, and the coordinator proposes it again.
#[test]
fn an_order_for_a_zone_is_not_proposed_again_after_its_caller_has_given_up() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
    assert_eq!(cluster.status(1, evacuate("z9")), 200);
    let (guard, caller) = Caller::waiting();
    cluster.partition(0);
    let mut late = cluster.submit(0, set_zone_state("z9", ZoneState::InService, caller));
    drop(guard);
    assert_eq!(
        cluster.status(1, set_zone_state("z9", ZoneState::InService, waiting())),
        200
    );
    assert_eq!(cluster.status(1, evacuate("z9")), 200);
    cluster.partitions.clear();
    cluster.run(Duration::from_millis(600));
    late.try_recv().expect("its outcome is known");
    for member in &cluster.members {
        assert_eq!(member.published_evacuations(), ["z9"]);
    }
}

/// Guards against an order that was read after its caller had given it up, as after a pause.
#[test]
fn an_order_for_a_zone_whose_caller_is_gone_changes_nothing() {
    let mut cluster = Cluster::new(3);
    assert_eq!(cluster.status(0, configure(3, 0)), 200);
    assert_eq!(cluster.status(1, evacuate("z9")), 200);
    let (guard, caller) = Caller::waiting();
    drop(guard);
    let order = set_zone_state("z9", ZoneState::InService, caller);
    assert_eq!(cluster.status(0, order), 503);
    for member in &cluster.members {
        assert_eq!(member.published_evacuations(), ["z9"]);
    }
}
