//! Recorded exchanges (`tests/exchanges/*.txt`) played against the program over sockets. What the program says
//! is compared with `tests/snapshots/`.

mod common;

use std::process::Output;

use common::proxy::{play, start};

macro_rules! exchanges {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(play(include_str!(concat!("exchanges/", stringify!($name), ".txt"))));
        }
    )*};
}

exchanges! {
    served bad_requests refused_connect resets broken_answer idle_closed cancelled drained removed ending turned_away
    watch_fails scarce crowded reload spoilt noisy unfinished
}

#[test]
fn a_bad_configuration_is_told_in_one_line() {
    let sound = include_str!("exchanges/config.json").replace("{discovery}", "127.0.0.1:9");
    for (from, to, told) in [
        ("{\"name\"", "\"name\"", "config"),
        ("\"8c1f30d27a5be964\"", "\"green\"", "seed"),
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "GW_LISTEN"),
        ("\"zone\":\"seattle\"", "\"zone\":\"boise\"", "zone"),
        ("\"objective\":400000", "\"objective\":\"soon\"", "classes.0.objective"),
    ] {
        let Output { status, stderr, .. } =
            start(&sound.replacen(from, to, 1)).0.wait_with_output().expect("an end");
        let text = String::from_utf8_lossy(&stderr);
        assert_eq!(status.code(), Some(1), "{text}");
        assert!(text.lines().count() == 1 && (told == "config" || text.contains(told)), "{text}");
    }
}
