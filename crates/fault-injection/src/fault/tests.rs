//! Tests of `fault.rs`.

use std::time::Duration;

use super::*;

fn fault(at_s: f64, link: &str, kind: FaultKind, for_s: Option<f64>) -> Fault {
    Fault {
        at_s,
        link: link.into(),
        kind,
        for_s,
        delay_ms: 5.0,
        jitter_ms: 0.0,
        bytes_per_s: 10.0,
        share: 0.5,
    }
}

#[test]
fn a_fault_is_active_from_its_start_for_its_duration_on_matching_links() {
    let s = Schedule::new(vec![fault(
        2.0,
        "proxy3->*",
        FaultKind::CutOneWay,
        Some(8.0),
    )])
    .expect("valid");
    let at = Duration::from_secs_f64;
    assert_eq!(s.action("proxy3", "server0", at(1.9), 0.0), Action::Pass);
    assert_eq!(
        s.action("proxy3", "server0", at(2.0), 0.0),
        Action::Blackhole
    );
    assert_eq!(
        s.action("server0", "proxy3", at(5.0), 0.0),
        Action::Pass,
        "one way: proxy3 still receives"
    );
    assert_eq!(s.action("proxy2", "server0", at(5.0), 0.0), Action::Pass);
    assert_eq!(s.action("proxy3", "server0", at(10.0), 0.0), Action::Pass);
}

#[test]
fn a_cut_blocks_both_directions_and_the_latest_fault_applies() {
    let s = Schedule::new(vec![
        fault(0.0, "server*->proxy1", FaultKind::Delay, None),
        fault(1.0, "proxy1->server2", FaultKind::Cut, Some(1.0)),
    ])
    .expect("valid");
    let at = Duration::from_secs_f64;
    assert_eq!(
        s.action("server2", "proxy1", at(0.5), 0.5),
        Action::Delay(Duration::from_millis(5))
    );
    assert_eq!(
        s.action("server2", "proxy1", at(1.5), 0.0),
        Action::Blackhole
    );
    assert_eq!(
        s.action("proxy1", "server2", at(1.5), 0.0),
        Action::Blackhole
    );
    assert_eq!(
        s.action("server2", "proxy1", at(2.5), 0.0),
        Action::Delay(Duration::from_millis(5))
    );
}

#[test]
fn datagrams_are_dropped_duplicated_or_reordered_by_probability_and_dropped_by_a_cut() {
    let s = Schedule::new(vec![
        fault(0.0, "proxy0->proxy1", FaultKind::Drop, Some(1.0)),
        fault(1.0, "proxy0->proxy1", FaultKind::Duplicate, Some(1.0)),
        fault(2.0, "proxy0->proxy1", FaultKind::Reorder, Some(1.0)),
        fault(3.0, "proxy1->proxy0", FaultKind::CutOneWay, Some(1.0)),
    ])
    .expect("valid");
    let at = Duration::from_secs_f64;
    let d = |t: f64, chance: f64| s.datagram("proxy0", "proxy1", at(t), 0.0, chance);
    assert_eq!(
        (d(0.5, 0.4), d(0.5, 0.6)),
        (DatagramAction::Drop, DatagramAction::Pass)
    );
    assert_eq!(
        (d(1.5, 0.4), d(1.5, 0.6)),
        (DatagramAction::Duplicate, DatagramAction::Pass)
    );
    assert_eq!(
        (d(2.5, 0.4), d(2.5, 0.6)),
        (DatagramAction::Reorder, DatagramAction::Pass)
    );
    assert_eq!(
        d(3.5, 0.0),
        DatagramAction::Pass,
        "one way: datagrams of proxy0 still pass"
    );
    assert_eq!(
        s.datagram("proxy1", "proxy0", at(3.5), 0.0, 0.9),
        DatagramAction::Drop
    );
}

#[test]
fn an_invalid_fault_is_rejected_with_its_index() {
    let bad = |f: Fault| {
        Schedule::new(vec![fault(0.0, "a->b", FaultKind::Pass, None), f]).expect_err("bad")
    };
    assert_eq!(
        bad(fault(0.0, "ab", FaultKind::Cut, None)),
        FaultError::Link(1, "ab".into())
    );
    assert_eq!(
        bad(fault(0.0, "a->", FaultKind::Cut, None)),
        FaultError::Link(1, "a->".into())
    );
    assert_eq!(
        bad(fault(-1.0, "a->b", FaultKind::Cut, None)),
        FaultError::Time(1)
    );
    assert_eq!(
        bad(fault(0.0, "a->b", FaultKind::Cut, Some(f64::NAN))),
        FaultError::Time(1)
    );
    let mut rate = fault(0.0, "a->b", FaultKind::Rate, None);
    rate.bytes_per_s = 0.0;
    assert_eq!(bad(rate), FaultError::Missing(1, "rate", "bytes_per_s"));
    let mut drop = fault(0.0, "a->b", FaultKind::Drop, None);
    drop.share = 1.5;
    assert_eq!(
        bad(drop),
        FaultError::Missing(1, "datagram", "share (at most 1)")
    );
}

#[test]
fn faults_are_parsed_from_a_scenario_table() {
    #[derive(Deserialize)]
    struct File {
        fault: Vec<Fault>,
    }
    let text =
        "[[fault]]\nat_s = 12.0\nlink = \"proxy3->*\"\nkind = \"cut-one-way\"\nfor_s = 8.0\n";
    let file: File = toml::from_str(text).expect("read");
    let s = Schedule::new(file.fault).expect("valid");
    assert_eq!(s.faults()[0].kind, FaultKind::CutOneWay);
    let wrong = toml::from_str::<File>("[[fault]]\nat_s = 1.0\nlink = \"a->b\"\nkind = \"melt\"\n");
    assert!(wrong.is_err_and(|e| e.to_string().contains("melt")));
}

#[test]
fn an_invalid_fault_leaves_the_schedule_as_it_was() {
    let valid = Fault {
        at_s: 1.0,
        link: "a->b".to_string(),
        kind: FaultKind::Cut,
        for_s: None,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
        share: 0.0,
    };
    let mut schedule = Schedule::new(vec![valid.clone()]).expect("valid");
    let invalid = Fault {
        link: "a".to_string(),
        ..valid.clone()
    };
    assert!(schedule.push(invalid).is_err());
    assert_eq!(schedule.faults(), [valid]);
}
