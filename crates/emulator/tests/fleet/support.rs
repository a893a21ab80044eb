//! The scenario shared by the tests, and faults that a test can append to it.

use ironmast_emulator::Scenario;

/// A small fleet of 6 servers and 4 proxies in two zones; `more` is appended to the TOML text.
pub(crate) fn fleet(more: &str) -> Scenario {
    let text = format!(
        r#"
        name = "fleet"
        length_s = 12.0
        window_s = 2.0
        zones = ["a", "b"]
        clients = {{ rate = 120.0, retries = 1, patience = [0.7, 1.0], walk_away = 0.02 }}
        proxies = {{ count = 4 }}
        discovery = {{ start_s = 0.4, drain_s = 0.2, gone_s = 0.5 }}
        [[class]]
        name = "keep"
        share = 2.0
        effect = "keyed"
        dedup_s = 1.0
        work_ms = 20.0
        aim_ms = 300.0
        deadline_ms = 800.0
        [[class]]
        name = "once"
        effect = "once"
        work_ms = 30.0
        aim_ms = 400.0
        deadline_ms = 1200.0
        [[pool]]
        kind = "std"
        servers = 6
        cores = 2
        cold_share = 0.3
        cold_s = 4.0
        {more}
        "#
    );
    Scenario::parse(&text).expect("a valid scenario")
}

/// A rolling deploy of all servers in batches of a third of the fleet.
pub(crate) const DEPLOY: &str =
    "[[trouble]]\nkind = \"deploy\"\nat_s = 2.0\nfor_s = 6.0\nbatch = 0.34\ndrain_s = 2.0";
/// A slowdown of 60 % of the servers by a factor of 20 for 6 s.
pub(crate) const SLOW: &str =
    "[[trouble]]\nkind = \"slow\"\nat_s = 2.0\nfor_s = 6.0\nshare = 0.6\nfactor = 20.0";
