//! Tests of the overload limit of servers that are warming up.

use super::*;

/// One request above N + 2 sqrt(N) + 2 within the window overloads a server that is warming up,
/// whichever proxies sent it. Requests that are spread over a longer time do not.
#[test]
fn warming_server_is_overloaded_by_one_request_above_its_limit() {
    let text = r#"
        name = "cold"
        length_s = 4.0
        zones = ["a"]
        clients = { rate = 1.0 }
        proxies = { count = 30 }
        rules = { cold_multiple = 4.0, cold_window_s = 2.0 }
        [[class]]
        name = "one"
        effect = "free"
        work_ms = 20.0
        aim_ms = 300.0
        deadline_ms = 900.0
        [[pool]]
        kind = "std"
        servers = 1
        cores = 1
    "#;
    let scenario = Scenario::parse(text).expect("a valid scenario");
    // 4 times the capacity of half a core, over 2 s, is 200 requests of 20 ms. The allowance for
    // random variation, 2 x 14.1 + 2, raises the limit to 230.
    let (capacity, work, max_requests) = (0.5, 20_000.0, 230);
    for (senders, informed, expected_violations) in [(1, true, 1), (30, true, 1), (30, false, 0)] {
        let mut judge = Judge::new(&scenario, 0);
        let add_work = |judge: &mut Judge, at, n: u32| {
            judge.work_reached_warming_server(WarmUpWork {
                at,
                server: 7,
                proxy: n % senders,
                work,
                capacity,
                informed,
            })
        };
        assert!(
            (0..max_requests).all(|n| !add_work(&mut judge, 1_000 * u64::from(n), n)),
            "{senders}"
        );
        assert!(
            add_work(&mut judge, 1_000 * u64::from(max_requests), max_requests),
            "{senders} senders: one more request than the limit"
        );
        assert_eq!(judge.violations.count, expected_violations, "{senders}");
    }
    let mut judge = Judge::new(&scenario, 0);
    for n in 0..2 * u64::from(max_requests) {
        assert!(
            !judge.work_reached_warming_server(WarmUpWork {
                at: n * 10_000,
                server: 7,
                proxy: 0,
                work,
                capacity,
                informed: true,
            }),
            "100 requests per second overload the server: request {n}"
        );
    }
}
