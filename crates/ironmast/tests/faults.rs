//! Several proxies as real processes on the fault stage: crashes, pauses and faults on their links,
//! judged from the pay servers' execution record.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ironmast_fault_injection::deployment::{Deployment, Layout, ZoneLayout};
use ironmast_fault_injection::fault::{Fault, FaultKind, Schedule};
use ironmast_fault_injection::load::{LoadProfile, LoadReport, Outcome};
use ironmast_fault_injection::process::ProcessSignal;
use ironmast_fault_injection::verdict;

/// `servers` pay servers in the proxies' zone, `proxies` proxies, every link through a relay under
/// `faults`.
fn stage(servers: usize, proxies: usize, faults: Vec<Fault>) -> Deployment {
    let layout = Layout {
        program: PathBuf::from(env!("CARGO_BIN_EXE_ironmast")),
        zones: vec![ZoneLayout {
            name: "seattle".into(),
            servers,
        }],
        proxies,
        service_time: Duration::from_millis(5),
        start_timeout: Duration::from_secs(20),
    };
    Deployment::new(layout, Schedule::new(faults).expect("a valid schedule"))
        .expect("the stage is set up")
}

fn shape(path: &str, rate: f64, seconds: f64) -> LoadProfile {
    LoadProfile::new(rate, Duration::from_secs_f64(seconds), path, 1500)
}

fn judged(stage: &Deployment, reports: &[LoadReport]) -> verdict::Verdict {
    let sent: Vec<_> = reports
        .iter()
        .flat_map(|r| r.sent.iter().cloned())
        .collect();
    let v = verdict::check_executions(&sent, &stage.record.executions(), &["balance"]);
    let broken = sent.iter().filter(|s| s.outcome == Outcome::Broken).count();
    eprintln!(
        "sent {}, served {}, broken {broken}, runs {}",
        v.sent,
        v.served,
        stage.record.executions().len()
    );
    assert!(
        v.executed_twice.is_empty(),
        "ran twice: {:?}",
        v.executed_twice
    );
    assert!(
        v.fabricated.is_empty(),
        "served without a run: {:?}",
        v.fabricated
    );
    v
}

#[test]
fn each_of_three_proxies_killed_in_turn_under_load_runs_nothing_twice_and_serves_again_within_2_s()
{
    let mut stage = stage(2, 3, vec![]);
    let mut kills = Vec::new();
    let reports = stage.run_load(&shape("/deposit-order", 40.0, 6.0), |stage| {
        for p in 0..3 {
            std::thread::sleep(Duration::from_millis(1200));
            stage
                .proxy(p)
                .signal(ProcessSignal::Kill)
                .expect("signalled");
            let killed = stage.faults.elapsed();
            stage.proxies[p] = None;
            let ready = stage.start(p).expect("it starts again");
            assert!(
                ready < Duration::from_secs(2),
                "proxy{p} took {ready:?} to say yes again"
            );
            kills.push(killed);
        }
    });
    let v = judged(&stage, &reports);
    for (p, killed) in kills.iter().enumerate() {
        let from = killed.saturating_sub(Duration::from_millis(100));
        let back = verdict::recovery_time(&reports[p].sent, from, Duration::from_millis(500));
        let back = back.unwrap_or_else(|| panic!("proxy{p} never served again after its kill"));
        assert!(
            back <= *killed + Duration::from_secs(2),
            "proxy{p}: served again at {back:?}, killed at {killed:?}"
        );
    }
    assert!(
        v.served * 10 >= v.sent * 8,
        "served {} of {}",
        v.served,
        v.sent
    );
}

#[test]
fn answers_lost_one_way_never_make_a_single_shot_run_twice() {
    // For 2 s the proxies hear nothing of seattle-0, which still hears and runs what they send.
    let cut = Fault {
        at_s: 1.0,
        link: "seattle-0->proxy*".into(),
        kind: FaultKind::CutOneWay,
        for_s: Some(2.0),
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
        share: 0.0,
    };
    let mut stage = stage(2, 2, vec![cut]);
    let reports = stage.run_load(&shape("/deposit-order", 50.0, 5.0), |_| {});
    let v = judged(&stage, &reports);
    let runs = stage.record.executions();
    let on_s0 = runs.iter().filter(|r| r.server == "seattle-0").count();
    assert!(
        on_s0 > 0,
        "seattle-0 ran nothing: the cut was not under requests"
    );
    // After the cut, service is whole again for a second.
    for report in &reports {
        assert!(
            verdict::recovery_time(&report.sent, Duration::from_secs(3), Duration::from_secs(1))
                .is_some()
        );
    }
    assert!(v.served > v.sent / 2, "served {} of {}", v.served, v.sent);
}

#[test]
fn a_paused_proxy_serves_what_waited_in_its_backlog_once_it_goes_on() {
    let mut stage = stage(2, 1, vec![]);
    let reports = stage.run_load(&shape("/balance", 30.0, 3.0), |stage| {
        std::thread::sleep(Duration::from_millis(800));
        stage
            .proxy(0)
            .signal(ProcessSignal::Stop)
            .expect("signalled");
        std::thread::sleep(Duration::from_millis(700));
        stage
            .proxy(0)
            .signal(ProcessSignal::Continue)
            .expect("signalled");
    });
    judged(&stage, &reports);
    let sent = &reports[0].sent;
    // Requests meant to go during the pause waited and were served late, not lost.
    let waited: Vec<_> = sent
        .iter()
        .filter(|s| s.at > Duration::from_millis(900) && s.at < Duration::from_millis(1400))
        .collect();
    assert!(!waited.is_empty());
    assert!(
        waited.iter().all(|s| s.outcome == Outcome::Served),
        "{waited:?}"
    );
    assert!(
        waited
            .iter()
            .any(|s| s.latency > Duration::from_millis(100)),
        "nothing waited: {waited:?}"
    );
}

fn fault(at_s: f64, link: &str, kind: FaultKind, for_s: f64) -> Fault {
    Fault {
        at_s,
        link: link.into(),
        kind,
        for_s: Some(for_s),
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
        share: 0.0,
    }
}

#[test]
fn each_fault_kind_on_one_pay_server_leaves_the_other_serving_and_nothing_twice() {
    let slow = Fault {
        delay_ms: 30.0,
        jitter_ms: 20.0,
        ..fault(3.5, "seattle-0->proxy0", FaultKind::Delay, 1.0)
    };
    let narrow = Fault {
        bytes_per_s: 2000.0,
        ..fault(4.5, "seattle-0->proxy0", FaultKind::Rate, 1.0)
    };
    let late_lists = Fault {
        delay_ms: 200.0,
        ..fault(0.0, "discovery->proxy0", FaultKind::Delay, 6.0)
    };
    let schedule = vec![
        fault(0.5, "proxy0->seattle-0", FaultKind::Cut, 1.0),
        fault(1.5, "proxy0->seattle-0", FaultKind::Reset, 1.0),
        fault(2.5, "proxy0->seattle-0", FaultKind::Refuse, 1.0),
        slow,
        narrow,
        late_lists,
    ];
    let mut stage = stage(2, 1, schedule);
    let reports = stage.run_load(&shape("/deposit-order", 40.0, 6.0), |_| {});
    let v = judged(&stage, &reports);
    let to_s0 = &stage.relays[0].counts;
    let (held, resets) = (
        to_s0.held.load(Ordering::Relaxed),
        to_s0.resets.load(Ordering::Relaxed),
    );
    eprintln!(
        "to seattle-0: {} connections, {held} pieces held by the cut, {resets} reset or refused",
        { to_s0.connections.load(Ordering::Relaxed) }
    );
    assert!(resets > 0, "no connection met the reset or the refusal");
    // Each fault lasts a second; within it the proxy turns to s-1 and serves whole spans again.
    for start in [0.5, 1.5, 2.5] {
        let from = Duration::from_secs_f64(start);
        let back = verdict::recovery_time(&reports[0].sent, from, Duration::from_millis(300))
            .expect("served again");
        assert!(
            back < from + Duration::from_secs(1),
            "fault at {start} s: whole again only at {back:?}"
        );
    }
    assert!(
        v.served * 10 >= v.sent * 9,
        "served {} of {}",
        v.served,
        v.sent
    );
}
