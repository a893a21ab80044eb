//! Tests of `admin.rs`.

use super::*;
use crate::listing::Target;

const BAN: Micros = 5_000_000;
const BACK: Micros = 9_000_000;

fn entry(uid: &str, state: &str, boot_ms: u64) -> Entry {
    let target = Target {
        uid: uid.to_string(),
        endpoint: "127.0.0.1:1".parse().expect("an address"),
        az: "a".to_string(),
        pod_group: 1,
        state: state.to_string(),
        capacity_hint: None,
        boot_ms,
    };
    target.entry(|_| 0).expect("it makes sense")
}

fn news(scope: Scope, entries: &[(&str, &str, u64)]) -> News {
    let entries = entries
        .iter()
        .map(|&(uid, state, boot)| entry(uid, state, boot))
        .collect();
    News {
        scope,
        rev: Some(1),
        entries,
    }
}

/// Phase and start of each, as the module sees them.
fn seen(news: &News) -> Vec<(String, Phase, Option<Micros>)> {
    let one = |e: &Entry| (e.target.uid.clone(), e.server.phase, e.server.started);
    let mut all: Vec<_> = news.entries.iter().map(one).collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}

fn out() -> Admin {
    let mut admin = Admin::default();
    admin.listed(news(
        Scope::Complete,
        &[("s1", "up", 1_000), ("s2", "up", 0)],
    ));
    let (reply, change) = admin.disable("s1", BAN);
    assert_eq!(reply, Ok("s1 is out of use".into()));
    let change = change.expect("news");
    assert_eq!(change.scope, Scope::Cached, "discovery has told nothing");
    assert_eq!(
        seen(&change),
        [
            ("s1".into(), Phase::Draining, Some(1_000_000)),
            ("s2".into(), Phase::Ready, None)
        ]
    );
    admin
}

/// Whatever discovery says, in whatever order, a server that is out is never shown as one to use.
#[test]
fn no_order_of_news_shows_a_banned_server_as_ready() {
    type Told = (&'static str, &'static str, u64);
    let says: [(Scope, &[Told]); 7] = [
        (Scope::Changes, &[("s1", "up", 6_000)]),
        (Scope::Changes, &[("s1", "removed", 0)]),
        (Scope::Changes, &[("s1", "draining", 1_000)]),
        (Scope::Complete, &[("s1", "up", 1_000), ("s2", "up", 0)]),
        (Scope::Complete, &[("s2", "up", 0)]),
        (Scope::Cached, &[("s1", "up", 0)]),
        (Scope::Failed, &[]),
    ];
    for first in 0..says.len() {
        for second in 0..says.len() {
            for third in 0..says.len() {
                let mut admin = out();
                for (scope, entries) in [first, second, third].map(|i| says[i]) {
                    let shown = admin.listed(news(scope, entries));
                    let ready = |e: &Entry| e.target.uid == "s1" && e.server.phase == Phase::Ready;
                    assert!(!shown.entries.iter().any(ready), "{first} {second} {third}");
                }
                assert!(
                    admin.enable("s1", BACK).0.is_ok(),
                    "it is called back whether listed or not"
                );
                let shown = admin.listed(news(Scope::Changes, &[("s1", "up", 1_000)]));
                assert_eq!(shown.entries[0].server.phase, Phase::Ready);
            }
        }
    }
}

#[test]
fn a_start_that_was_not_told_of_counts_from_the_return() {
    let mut admin = out();
    let back = admin.enable("s1", BACK).1.expect("news");
    assert_eq!(seen(&back)[0], ("s1".into(), Phase::Ready, Some(BACK)));
    // Discovery repeats what it knew: still in doubt. Then it tells of the start.
    let same = admin.listed(news(Scope::Complete, &[("s1", "up", 1_000)]));
    assert_eq!(seen(&same)[0].2, Some(BACK));
    let told = admin.listed(news(Scope::Changes, &[("s1", "up", 7_500)]));
    assert_eq!(seen(&told)[0].2, Some(7_500_000));
    assert!(
        admin.bans().back.is_empty(),
        "nothing is remembered without need"
    );
}

#[test]
fn a_start_told_during_the_ban_is_taken_as_it_is() {
    let mut admin = out();
    admin.listed(news(Scope::Changes, &[("s1", "up", 7_000)]));
    let back = admin.enable("s1", BACK).1.expect("news");
    assert_eq!(seen(&back)[0], ("s1".into(), Phase::Ready, Some(7_000_000)));
}

#[test]
fn a_server_that_drains_or_is_gone_when_called_back_stays_so() {
    let mut admin = out();
    admin.listed(news(Scope::Changes, &[("s1", "draining", 1_000)]));
    assert_eq!(
        seen(&admin.enable("s1", BACK).1.expect("news"))[0].1,
        Phase::Draining
    );
    let mut admin = out();
    admin.listed(news(Scope::Changes, &[("s1", "removed", 1_000)]));
    assert!(admin.enable("s1", BACK).1.is_none());
}

#[test]
fn calls_out_do_not_add_up_and_ids_that_nobody_has_are_told_so() {
    let mut admin = out();
    let (again, change) = admin.disable("s1", BAN + 1);
    assert!(again.is_ok() && change.is_none());
    assert_eq!(admin.bans().out["s1"], BAN, "the first call counts");
    assert!(
        admin.enable("s1", BACK).1.is_some(),
        "one call back is enough"
    );
    let (harmless, change) = admin.enable("s1", BACK + 1);
    assert!(harmless.is_ok() && change.is_none());
    assert!(admin.enable("s2", BACK).0.is_ok(), "it was never out");
    for unknown in ["s3", "S1", "s", ""] {
        assert!(admin.disable(unknown, BAN).0.is_err() && admin.enable(unknown, BAN).0.is_err());
    }
    admin.listed(news(Scope::Changes, &[("s2", "removed", 0)]));
    assert!(
        admin.disable("s2", BAN).0.is_err(),
        "a server that has gone"
    );
}

/// What one process is called for holds in the other, and what is on disk in the next.
#[test]
fn bans_travel_one_by_one_and_through_text() {
    let (mut old, mut new) = (out(), Admin::default());
    new.listed(news(
        Scope::Complete,
        &[("s1", "up", 1_000), ("s2", "up", 0)],
    ));
    assert_eq!(
        seen(&new.adopt(old.change_of("s1")).expect("news"))[0].1,
        Phase::Draining
    );
    let text = serde_json::to_string(old.bans()).expect("text");
    assert_eq!(
        &serde_json::from_str::<Bans>(&text).expect("read"),
        new.bans()
    );
    assert!(old.enable("s1", BACK).0.is_ok());
    assert_eq!(
        seen(&new.adopt(old.change_of("s1")).expect("news"))[0].2,
        Some(BACK)
    );
    assert_eq!(old.bans(), new.bans());
    assert!(
        new.adopt(Change {
            uid: "s9".into(),
            out: Some(1),
            back: None
        })
        .is_none()
    );
}

#[test]
fn cold_servers_are_left_to_a_successor_and_taken_back() {
    let mut admin = Admin::default();
    admin.listed(news(
        Scope::Complete,
        &[("s1", "up", 9_000), ("s2", "up", 1_000), ("s3", "up", 0)],
    ));
    let phases = |news: &News| -> Vec<Phase> { seen(news).iter().map(|one| one.1).collect() };
    let left = admin.leave_cold(Some(8_000_000)).expect("news");
    assert_eq!(phases(&left), [Phase::Draining, Phase::Ready, Phase::Ready]);
    let told = admin.listed(news(
        Scope::Changes,
        &[("s4", "up", 9_500), ("s5", "up", 0)],
    ));
    assert_eq!(phases(&told), [Phase::Draining, Phase::Ready]);
    assert_eq!(
        phases(&admin.leave_cold(None).expect("news")),
        [Phase::Ready; 5]
    );
    assert!(admin.leave_cold(None).is_none(), "nothing new");
}

#[test]
fn the_list_a_successor_starts_from_is_what_discovery_told() {
    let mut admin = out();
    let known = admin.known().expect("a list");
    assert_eq!(
        (
            known["rev"].as_u64(),
            known["targets"].as_array().map(Vec::len)
        ),
        (Some(1), Some(2))
    );
    assert_eq!(known["targets"][0]["state"], "up", "the ban travels apart");
    admin.listed(News {
        scope: Scope::Failed,
        rev: None,
        entries: Vec::new(),
    });
    assert_eq!(admin.known(), Some(known));
}
