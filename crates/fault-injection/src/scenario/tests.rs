//! Tests of `scenario.rs`.

use super::*;

const DEMO: &str = include_str!("../../../../scenarios/stage/zone-cut.toml");

#[test]
fn the_shipped_stage_scenarios_read() {
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
fn bad_stage_scenarios_are_told_in_one_line() {
    let bad = |from: &str, to: &str| parse(&DEMO.replace(from, to), "x").expect_err("bad");
    assert!(bad("proxies = 3", "proxies = 0").contains("1 to 16 proxies"));
    assert!(bad("kind = \"cut\"", "kind = \"melt\"").contains("melt"));
    assert!(bad("link = \"proxy*->seattle-*\"", "link = \"nowhere\"").contains("FROM->TO"));
    assert!(bad("rate = 20.0", "rate = 0.0").contains("load"));
    let signal = format!("{DEMO}\n[[signal]]\nat_s = 1.0\nproxy = 7\nkind = \"kill\"\n");
    assert_eq!(
        parse(&signal, "x").expect_err("bad"),
        "x: signal.proxy: no proxy 7; there are 0 to 2"
    );
    assert!(
        parse(&signal.replace("at_s = 1.0", "at_s = 99.0"), "x")
            .expect_err("bad")
            .contains("signal.at_s")
    );
    let told = bad("path = \"/balance\"", "path = \"/nonsense\"");
    assert_eq!(
        told,
        "x: load.path: no class `nonsense`; there are timesheet-post, deposit-order, balance"
    );
    let told = bad("proxy*->seattle-*", "proxy*->tacoma-*");
    assert!(
        told.starts_with("x: fault.link: no link `proxy*->tacoma-*`; there are proxy0 to proxy2, "),
        "{told}"
    );
    assert!(bad("name = \"portland\"", "name = \"seattle\"").contains("`seattle` is there twice"));
    let span = format!(
        "{DEMO}\n[[expect.span]]\nfrom_s = 1.0\nto_s = 2.0\nzone = \"tacoma\"\nruns = 0.5\n"
    );
    assert!(
        parse(&span, "x")
            .expect_err("bad")
            .contains("no zone `tacoma`; there is seattle, portland")
    );
}
