//! Tests of `scenario.rs`.

use super::*;

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
    assert!(bad("name = \"portland\"", "name = \"seattle\"").contains("`seattle` is there twice"));
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
