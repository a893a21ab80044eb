//! Several client proxies as processes, with crashes, pauses and faults on their links. Each run is
//! checked against the pay servers' execution record.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ironmast_fault_injection::deployment::{Deployment, Layout, ZoneLayout};
use ironmast_fault_injection::fault::{Fault, FaultKind, Schedule};
use ironmast_fault_injection::load::{LoadProfile, LoadReport, Outcome, SentRequest};
use ironmast_fault_injection::process::ProcessSignal;
use ironmast_fault_injection::verdict::{Verdict, check_executions, recovery_time};

/// How long a client waits for its response, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1500;
/// The longest time from a kill until the proxy is ready again, and until it serves again.
const RESTART_LIMIT: Duration = Duration::from_secs(2);
/// A class whose requests must not be executed twice.
const ORDER_PATH: &str = "/deposit-order";
/// A class whose requests may be executed any number of times, and its path.
const BALANCE_CLASS: &str = "balance";
const BALANCE_PATH: &str = "/balance";

/// Pay servers in the proxies' zone, and proxies with a relay on each link.
fn deployment(servers: usize, proxies: usize, faults: Vec<Fault>) -> Deployment {
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
    let schedule = Schedule::new(faults).expect("a valid schedule");
    Deployment::new(layout, schedule).expect("the deployment is set up")
}

fn load(path: &str, rate: f64, duration_s: f64) -> LoadProfile {
    let duration = Duration::from_secs_f64(duration_s);
    LoadProfile::new(rate, duration, path, CLIENT_TIMEOUT_MS)
}

/// A fault of the given kind that lasts `for_s` seconds.
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

/// Asserts that no request was executed twice unless its class allows it, and that no request was served
/// without being executed.
fn assert_executions(deployment: &Deployment, reports: &[LoadReport]) -> Verdict {
    let sent: Vec<SentRequest> = reports
        .iter()
        .flat_map(|report| report.sent.iter().cloned())
        .collect();
    let executions = deployment.record.executions();
    let verdict = check_executions(&sent, &executions, &[BALANCE_CLASS]);
    let is_broken = |request: &&SentRequest| request.outcome == Outcome::Broken;
    eprintln!(
        "sent {}, served {}, broken {}, executions {}",
        verdict.sent,
        verdict.served,
        sent.iter().filter(is_broken).count(),
        executions.len()
    );
    assert!(
        verdict.executed_twice.is_empty(),
        "{:?}",
        verdict.executed_twice
    );
    assert!(
        verdict.fabricated.is_empty(),
        "served, but not executed: {:?}",
        verdict.fabricated
    );
    verdict
}

/// Asserts that at least this share of the requests was served.
fn assert_served(verdict: &Verdict, least_share: f64) {
    let (served, sent) = (verdict.served, verdict.sent);
    assert!(
        served as f64 >= sent as f64 * least_share,
        "served {served} of {sent}"
    );
}

/// Kills a proxy and starts it again; returns when it was killed.
fn kill_and_restart(deployment: &mut Deployment, proxy: usize) -> Duration {
    signal(deployment, proxy, ProcessSignal::Kill);
    let killed = deployment.faults.elapsed();
    deployment.proxies[proxy] = None;
    let ready_after = deployment.start(proxy).expect("it starts again");
    assert!(
        ready_after < RESTART_LIMIT,
        "proxy{proxy} was ready again after {ready_after:?}"
    );
    killed
}

fn signal(deployment: &Deployment, proxy: usize, signal: ProcessSignal) {
    let process = deployment.proxy(proxy);
    process.signal(signal).expect("the signal is sent");
}

#[test]
fn proxies_killed_in_turn_under_load_execute_nothing_twice_and_serve_again_within_2_s() {
    let mut deployment = deployment(2, 3, vec![]);
    let mut kills = Vec::new();
    let reports = deployment.run_load(&load(ORDER_PATH, 40.0, 6.0), |deployment| {
        for proxy in 0..3 {
            // The load is open loop: the times of the kills are part of the scenario.
            std::thread::sleep(Duration::from_millis(1200));
            kills.push(kill_and_restart(deployment, proxy));
        }
    });
    let verdict = assert_executions(&deployment, &reports);
    for (proxy, &killed) in kills.iter().enumerate() {
        let from = killed.saturating_sub(Duration::from_millis(100));
        let recovered = recovery_time(&reports[proxy].sent, from, Duration::from_millis(500));
        let recovered = recovered.unwrap_or_else(|| panic!("proxy{proxy} never served again"));
        assert!(
            recovered <= killed + RESTART_LIMIT,
            "proxy{proxy}: killed at {killed:?}, served again at {recovered:?}"
        );
    }
    assert_served(&verdict, 0.8);
}

/// For 2 s the proxies receive nothing from seattle-0, which receives and executes what they send.
#[test]
fn requests_whose_responses_are_lost_are_not_executed_again_where_the_class_forbids_it() {
    let cut = fault(1.0, "seattle-0->proxy*", FaultKind::CutOneWay, 2.0);
    let mut deployment = deployment(2, 2, vec![cut]);
    let reports = deployment.run_load(&load(ORDER_PATH, 50.0, 5.0), |_| {});
    let verdict = assert_executions(&deployment, &reports);
    let executions = deployment.record.executions();
    assert!(
        executions.iter().any(|run| run.server == "seattle-0"),
        "the cut affected no request: seattle-0 executed nothing"
    );
    for report in &reports {
        let end_of_cut = Duration::from_secs(3);
        let recovered = recovery_time(&report.sent, end_of_cut, Duration::from_secs(1));
        assert!(
            recovered.is_some(),
            "no full second after the cut was served without a failure"
        );
    }
    assert!(
        verdict.served > verdict.sent / 2,
        "served {} of {}",
        verdict.served,
        verdict.sent
    );
}

#[test]
fn a_paused_proxy_serves_the_requests_of_its_backlog_when_it_continues() {
    let mut deployment = deployment(2, 1, vec![]);
    let reports = deployment.run_load(&load(BALANCE_PATH, 30.0, 3.0), |deployment| {
        // The load is open loop: the times of the pause are part of the scenario.
        std::thread::sleep(Duration::from_millis(800));
        signal(deployment, 0, ProcessSignal::Stop);
        std::thread::sleep(Duration::from_millis(700));
        signal(deployment, 0, ProcessSignal::Continue);
    });
    assert_executions(&deployment, &reports);
    // Requests sent during the pause are served late; none is lost.
    let is_in_pause = |request: &&SentRequest| {
        request.at > Duration::from_millis(900) && request.at < Duration::from_millis(1400)
    };
    let waited: Vec<&SentRequest> = reports[0].sent.iter().filter(is_in_pause).collect();
    assert!(!waited.is_empty());
    let is_served = |request: &&SentRequest| request.outcome == Outcome::Served;
    assert!(waited.iter().all(is_served), "{waited:?}");
    let is_late = |request: &&SentRequest| request.latency > Duration::from_millis(100);
    assert!(waited.iter().any(is_late), "nothing waited: {waited:?}");
}

/// A second of each kind of fault on the link to seattle-0, while lists from discovery are late.
fn one_fault_after_another() -> Vec<Fault> {
    let slow_responses = Fault {
        delay_ms: 30.0,
        jitter_ms: 20.0,
        ..fault(3.5, "seattle-0->proxy0", FaultKind::Delay, 1.0)
    };
    let narrow_link = Fault {
        bytes_per_s: 2000.0,
        ..fault(4.5, "seattle-0->proxy0", FaultKind::Rate, 1.0)
    };
    let late_lists = Fault {
        delay_ms: 200.0,
        ..fault(0.0, "discovery->proxy0", FaultKind::Delay, 6.0)
    };
    vec![
        fault(0.5, "proxy0->seattle-0", FaultKind::Cut, 1.0),
        fault(1.5, "proxy0->seattle-0", FaultKind::Reset, 1.0),
        fault(2.5, "proxy0->seattle-0", FaultKind::Refuse, 1.0),
        slow_responses,
        narrow_link,
        late_lists,
    ]
}

#[test]
fn each_kind_of_fault_on_one_pay_server_leaves_the_other_serving_and_executes_nothing_twice() {
    let mut deployment = deployment(2, 1, one_fault_after_another());
    let reports = deployment.run_load(&load(ORDER_PATH, 40.0, 6.0), |_| {});
    let verdict = assert_executions(&deployment, &reports);
    let counts = &deployment.relays[0].counts;
    let resets = counts.resets.load(Ordering::Relaxed);
    eprintln!(
        "to seattle-0: {} connections, {} chunks held by the cut, {resets} reset or refused",
        counts.connections.load(Ordering::Relaxed),
        counts.held.load(Ordering::Relaxed),
    );
    assert!(resets > 0, "no connection met the reset or the refusal");
    // Within the second of each fault the proxy serves by seattle-1 again.
    for start_s in [0.5, 1.5, 2.5] {
        let start = Duration::from_secs_f64(start_s);
        let recovered = recovery_time(&reports[0].sent, start, Duration::from_millis(300))
            .expect("served again");
        assert!(
            recovered < start + Duration::from_secs(1),
            "fault at {start_s} s: served again at {recovered:?}"
        );
    }
    assert_served(&verdict, 0.9);
}
