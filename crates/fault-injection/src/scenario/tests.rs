//! Tests of `scenario.rs`.

use super::*;
use crate::fault::FaultKind;
use crate::stub_servers::DEDUPLICATION_WINDOW;

const DEMO: &str = include_str!("../../../../scenarios/stage/zone-cut.toml");

#[test]
fn the_shipped_scenarios_parse() {
    assert!(parse(DEMO, "demo").is_ok());
    assert!(
        parse(
            include_str!("../../../../scenarios/stage/crash-and-pause.toml"),
            "c"
        )
        .is_ok()
    );
}

#[test]
fn an_invalid_scenario_is_rejected_with_one_line_that_names_the_key() {
    let bad = |from: &str, to: &str| {
        parse(&DEMO.replace(from, to), "x")
            .expect_err("bad")
            .to_string()
    };
    assert!(bad("proxies = 3", "proxies = 0").contains("1 to 16 proxies"));
    assert!(bad("kind = \"cut\"", "kind = \"melt\"").contains("melt"));
    assert!(bad("link = \"proxy*->seattle-*\"", "link = \"nowhere\"").contains("FROM->TO"));
    assert!(bad("rate = 20.0", "rate = 0.0").contains("load"));
    let signal = format!("{DEMO}\n[[signal]]\nat_s = 1.0\nproxy = 7\nkind = \"kill\"\n");
    assert_eq!(
        parse(&signal, "x").expect_err("bad").to_string(),
        "x: signal.proxy: no proxy 7; there are 0 to 2"
    );
    assert!(
        parse(&signal.replace("at_s = 1.0", "at_s = 99.0"), "x")
            .expect_err("bad")
            .to_string()
            .contains("signal.at_s")
    );
    let error = bad("path = \"/balance\"", "path = \"/nonsense\"");
    assert_eq!(
        error,
        "x: load.path: no class `nonsense`; there are timesheet-post, deposit-order, balance"
    );
    let error = bad("proxy*->seattle-*", "proxy*->tacoma-*");
    assert!(
        error
            .starts_with("x: fault.link: no link `proxy*->tacoma-*`; there are proxy0 to proxy2, "),
        "{error}"
    );
    assert!(
        bad("name = \"portland\"", "name = \"seattle\"")
            .contains("more than one zone is called `seattle`")
    );
    let span = format!(
        "{DEMO}\n[[expect.span]]\nfrom_s = 1.0\nto_s = 2.0\nzone = \"tacoma\"\nruns = 0.5\n"
    );
    assert!(
        parse(&span, "x")
            .expect_err("bad")
            .to_string()
            .contains("no zone `tacoma`; there is seattle, portland")
    );
}

/// Minimum time from the end of a cut, when relays forward the held bytes, to the end of the
/// deduplication window: far more than a busy machine delays the threads of a relay.
const DELIVERY_MARGIN: Duration = Duration::from_secs(1);

/// The deduplication window of a class in the proxies' configuration; `None` if the class is not
/// deduplicated.
fn deduplication_window(class: &str) -> Option<Duration> {
    let configuration: serde_json::Value = serde_json::from_str(crate::CONFIG).expect("JSON");
    let classes = configuration["settings"]["classes"].as_array();
    let is_named = |candidate: &&serde_json::Value| candidate["name"] == class;
    let settings = classes.expect("a list").iter().find(is_named);
    let window_us = settings.expect("a class")["dedup_window"].as_u64();
    window_us.map(Duration::from_micros)
}

fn shipped_scenarios() -> Vec<Scenario> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/stage");
    let files = std::fs::read_dir(directory).expect("the scenarios");
    let read = |file: std::io::Result<std::fs::DirEntry>| {
        let path = file.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a text file");
        parse(&text, &path.display().to_string()).expect("valid").0
    };
    files.map(read).collect()
}

/// After a cut, a relay forwards the bytes that it held for connections that were not reset. A pay
/// server that receives the late copy of a deduplicated request after its window executes the request
/// again. Proxies reset the connections of requests that they give up; a partition longer than the
/// window is tested in `ironmast/tests/silent_zone.rs`.
#[test]
fn shipped_cuts_of_a_deduplicated_class_end_before_its_window() {
    let mut checked = 0;
    for scenario in shipped_scenarios() {
        let Some(window) = deduplication_window(&scenario.load.path[1..]) else {
            continue;
        };
        assert_eq!(
            window, DEDUPLICATION_WINDOW,
            "window of the stub pay servers"
        );
        for fault in &scenario.faults {
            let is_cut = matches!(fault.kind, FaultKind::Cut | FaultKind::CutOneWay);
            let cut_duration = fault.for_s.filter(|_| is_cut).map(Duration::from_secs_f64);
            let Some(cut_duration) = cut_duration else {
                continue;
            };
            assert!(
                cut_duration + DELIVERY_MARGIN <= window,
                "{}: {fault:?}",
                scenario.name
            );
            checked += 1;
        }
    }
    assert!(checked > 0, "no shipped scenario cuts a deduplicated class");
}
