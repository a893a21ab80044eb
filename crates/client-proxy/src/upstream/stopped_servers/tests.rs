//! Tests of `stopped_servers.rs`.

use super::*;

#[test]
fn a_server_is_stopped_until_it_resumes_and_is_forgotten_once_another_stops_after_the_retention() {
    let [first, second] = ["a", "b"].map(ServerId::from_name);
    let servers = StoppedServers::default();
    let clone = servers.clone();
    servers.insert(first, 1_000);
    assert!(clone.contains(first) && !clone.contains(second));
    servers.insert(second, 1_000 + RETENTION - 1);
    assert!(clone.contains(first) && clone.contains(second));
    servers.remove(second);
    assert!(!clone.contains(second));
    servers.insert(second, 1_000 + RETENTION);
    assert!(!clone.contains(first) && clone.contains(second));
}
