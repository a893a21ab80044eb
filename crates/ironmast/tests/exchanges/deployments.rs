//! Deployments that differ in classes, effects, tenants, zones and discovery mode. `check-config` accepts
//! the settings of each, and the proxy serves one request of each class; class and tenant names come
//! from the settings alone.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;

use serde_json::{Value, json};

use crate::common::{Running, TIMEOUT, wait_log};
use crate::player::{listens_at, message, start};

/// A request class: name, effect, deduplication scope and window in ms (if any), latency objective and
/// client timeout in ms.
type Class = (
    &'static str,
    &'static str,
    Option<(&'static str, u64)>,
    u64,
    u64,
);

struct Deployment {
    name: &'static str,
    /// The discovery mode.
    discovery: &'static str,
    /// The names in load reports.
    reports: &'static [&'static str],
    zones: &'static [&'static str],
    tenants: &'static [(&'static str, f64)],
    classes: &'static [Class],
    /// The limits `cancelling`, `may_duplicate`, `probes`, `peers` and `retry_after`.
    allowed: [bool; 5],
    most_tries: u32,
    drain_grace_ms: u64,
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        name: "harbour-berths",
        discovery: "automatic",
        reports: &["active", "cpu"],
        zones: &["north-quay", "south-quay"],
        tenants: &[("ferries", 0.5), ("trawlers", 0.3), ("yachts", 0.2)],
        classes: &[
            ("tide-table", "free", None, 90, 250),
            ("book-berth", "guarded", Some(("zone", 900)), 400, 1_500),
            ("open-lock", "single_shot", None, 800, 4_000),
        ],
        allowed: [false, true, false, false, false],
        most_tries: 2,
        drain_grace_ms: 400,
    },
    Deployment {
        name: "orchard-orders",
        discovery: "subscribe",
        reports: &["inflight"],
        zones: &["valley", "ridge", "coast"],
        tenants: &[],
        classes: &[
            ("crate-count", "free", None, 200, 600),
            ("order-crates", "guarded", Some(("all", 5_000)), 500, 2_000),
            ("press-run", "single_shot", None, 600, 2_500),
        ],
        allowed: [true, false, true, true, true],
        most_tries: 3,
        drain_grace_ms: 200,
    },
    Deployment {
        name: "two tenants, cells and copies that can't be cancelled",
        discovery: "subscribe",
        reports: &["inflight", "latency_ms", "util"],
        zones: &["upper", "lower"],
        tenants: &[("rescue", 0.68), ("paperwork", 0.32)],
        classes: &[
            ("inbox", "free", None, 250, 500),
            ("preferences", "free", None, 750, 3_000),
            ("notice", "guarded", Some(("cell", 1_500)), 750, 2_500),
            ("siren", "single_shot", None, 800, 1_500),
        ],
        allowed: [false, true, true, false, true],
        most_tries: 3,
        drain_grace_ms: 250,
    },
    Deployment {
        name: "one class in one zone",
        discovery: "automatic",
        reports: &[],
        zones: &["only"],
        tenants: &[],
        classes: &[("x", "single_shot", None, 5, 60_000)],
        allowed: [false, false, false, false, false],
        most_tries: 1,
        drain_grace_ms: 0,
    },
];

impl Deployment {
    fn config(&self, discovery: SocketAddr) -> Value {
        let class = |&(name, effect, deduplication, target, timeout): &Class| {
            let mut class = json!({"name": name, "effect": effect, "objective": target * 1_000, "hard_limit": timeout * 1_000, "worth": 2.5});
            if let Some((scope, window)) = deduplication {
                (class["dedup_scope"], class["dedup_window"]) =
                    (json!(scope), json!(window * 1_000));
            }
            class
        };
        let tenant = |&(name, share): &(&str, f64)| json!({"name": name, "share": share, "allowance_per_s": 100.0 * share});
        let [cancelling, may_duplicate, probes, peers, retry_after] = self.allowed;
        json!({
            "name": "d-1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "00000000000000ff",
            "limits": {"cores": 0.3, "memory_mb": 48, "sockets": 512}, "peers": [],
            "settings": {
                "balancers": 3, "me": 1, "discovery": self.discovery, "tick": 5_000, "weight_source": "nominal",
                "zone": self.zones[0], "zones": self.zones, "over_share_worth": 0.05,
                "tenants": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
                "load_report": {"how": "on_probe", "names": self.reports},
                "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
                "limits": {"cancelling": cancelling, "may_duplicate": may_duplicate, "most_tries": self.most_tries,
                    "connect_timeout": 120_000, "keepalive": 30_000_000, "max_retry_after": 2_000_000,
                    "probes": probes, "peers": peers, "retry_after": retry_after},
                "safety": {"answer_slack": 20_000, "ask_within": 8_000_000, "cold": 9_000_000, "cold_share": 0.33,
                    "drain_grace": self.drain_grace_ms * 1_000, "fall": 3_000_000, "fall_multiple": 4.0},
                "penalties": {"cross_zone": 0.1, "late_fail": 0.028, "waste": 0.066},
            },
        })
    }
}

/// Starts a stub server that answers each request with the text that `answer` returns for it.
fn start_stub_server(
    listener: TcpListener,
    answer: impl Fn(&[String], &[u8]) -> String + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut from, answer) = (
                BufReader::new(stream.expect("a connection")),
                answer.clone(),
            );
            std::thread::spawn(move || {
                while let Some((head, body)) = message(&mut from) {
                    if from
                        .get_mut()
                        .write_all(answer(&head, &body).as_bytes())
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one deployment after the other, from its settings to a served request"
)]
fn each_deployment_is_read_and_each_of_its_classes_is_served() {
    for deployment in &DEPLOYMENTS {
        let name = deployment.name;
        let [discovery, server] =
            [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let config = deployment.config(discovery.local_addr().expect("bound"));
        let list = json!({"rev": 1, "all": true, "targets": [{
            "uid": "s-1", "endpoint": server.local_addr().expect("bound").to_string(), "az": deployment.zones[0],
            "model": "m", "pod_group": 3, "state": "up", "capacity_hint": 1.0, "boot_ms": 0,
        }]});
        start_stub_server(discovery, move |_, _| {
            let line = format!("{list}\n");
            format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
                line.len()
            )
        });
        // The pay server echoes the request line, the idempotency key and the body.
        start_stub_server(server, |head, body| {
            let key = head
                .iter()
                .find(|line| line.starts_with("idempotency-key: "))
                .map_or("", |key| key);
            let echo = format!("{} {key} {}", head[0], String::from_utf8_lossy(body));
            format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{echo}",
                echo.len()
            )
        });

        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), config.to_string()).expect("written");
        let mut checked = Command::new(env!("CARGO_BIN_EXE_ironmast"));
        let checked = checked
            .arg("check-config")
            .arg(file.path())
            .output()
            .expect("it runs");
        let said = String::from_utf8([checked.stdout, checked.stderr].concat()).expect("text");
        assert!(
            checked.status.success() && said.lines().count() == 1,
            "{name}: {said}"
        );
        assert!(
            said.contains(&format!("in zone {}", deployment.zones[0])),
            "{name}: {said}"
        );

        let (child, _file) = start(&config.to_string());
        let mut child = Running(child);
        let mut log = BufReader::new(child.0.stderr.take().expect("piped"));
        let listen = listens_at(&mut log);
        wait_log(&mut log, "endpoint update: Complete");
        let connect = || {
            let stream = TcpStream::connect(&listen).expect("it listens");
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
            BufReader::new(stream)
        };
        let mut client = connect();
        for (n, &(class, effect, deduplication, ..)) in deployment.classes.iter().enumerate() {
            let tenant = deployment
                .tenants
                .iter()
                .map(|t| format!("X-Org: {}\r\n", t.0))
                .next()
                .unwrap_or_default();
            let method = if effect == "free" { "GET" } else { "POST" };
            let (key, body) = match effect {
                "free" => ("", ""),
                _ if deduplication.is_some() => ("idempotency-key: k7", "hi"),
                _ => ("", "hi"),
            };
            let header = if key.is_empty() {
                String::new()
            } else {
                format!("{key}\r\n")
            };
            let length = if effect == "free" {
                String::new()
            } else {
                "Content-Length: 2\r\n".to_string()
            };
            let request = format!(
                "{method} /{class}/a?k=9 HTTP/1.1\r\nHost: a\r\nX-Txn: t{n}\r\n{tenant}{header}{length}\r\n{body}"
            );
            client
                .get_mut()
                .write_all(request.as_bytes())
                .expect("written");
            let (head, echo) = message(&mut client).expect("an answer");
            let echo = String::from_utf8(echo).expect("text");
            assert_eq!(head[0], "HTTP/1.1 200 OK", "{name}, {class}: {echo}");
            assert_eq!(
                echo,
                format!("{method} /{class}/a?k=9 HTTP/1.1 {key} {body}"),
                "{name}"
            );
        }
        // Classes of the other deployments are unknown to this proxy.
        let others = DEPLOYMENTS.iter().flat_map(|d| d.classes).map(|c| c.0);
        for class in others.filter(|other| deployment.classes.iter().all(|own| own.0 != *other)) {
            let mut stranger = connect();
            let request = format!("GET /{class} HTTP/1.1\r\nHost: a\r\nX-Txn: s\r\n\r\n");
            stranger
                .get_mut()
                .write_all(request.as_bytes())
                .expect("written");
            let (head, _) = message(&mut stranger).expect("an answer");
            assert_eq!(head[0], "HTTP/1.1 404 Not Found", "{name}, {class}");
        }
    }
}
