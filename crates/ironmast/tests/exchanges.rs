//! Plays scripted exchanges (`tests/exchanges/*.txt`) against the program over sockets and compares what
//! the program sends with `tests/snapshots/`.

mod common;
#[path = "exchanges/deployments.rs"]
mod deployments;
#[path = "exchanges/player.rs"]
mod player;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Output};

use common::{Running, TIMEOUT, uninterrupted, wait_log};
use ironmast_fault_injection::deployment::reserve_port;
use player::{listens_at, play, start};

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
    watch_fails scarce crowded reload spoilt noisy unfinished replaced
    window_over left_connecting copy_loses left_flooding left_muttering
    scarce_in_outage ending_half_read ending_twice pipelined_flood flood_waits
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let sound = ironmast_fault_injection::CONFIG.replace("{discovery}", "127.0.0.1:9");
    for (from, to, expected) in [
        ("{\"name\"", "\"name\"", "config"),
        ("\"8c1f30d27a5be964\"", "\"green\"", "seed"),
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "GW_LISTEN",
        ),
        ("\"zone\":\"seattle\"", "\"zone\":\"boise\"", "zone"),
        (
            "\"objective\":400000",
            "\"objective\":\"soon\"",
            "classes.0.objective",
        ),
    ] {
        let Output { status, stderr, .. } = start(&sound.replacen(from, to, 1))
            .0
            .wait_with_output()
            .expect("an end");
        let text = String::from_utf8_lossy(&stderr);
        assert_eq!(status.code(), Some(1), "{text}");
        assert!(
            text.lines().count() == 1 && (expected == "config" || text.contains(expected)),
            "{text}"
        );
    }
}

#[test]
fn check_config_validates_a_configuration_without_serving() {
    let sound = ironmast_fault_injection::CONFIG.replace("{discovery}", "127.0.0.1:9");
    let bad = sound.replace("\"zone\":\"seattle\"", "\"zone\":\"boise\"");
    for (text, code, expected) in [
        (
            sound.as_str(),
            0,
            "sound: n1 listens on 127.0.0.1:0 in zone seattle",
        ),
        (&bad, 1, "zone: `boise` is not"),
    ] {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast"));
        let out = command
            .arg("check-config")
            .arg(file.path())
            .output()
            .expect("it runs");
        let lines = String::from_utf8([out.stdout, out.stderr].concat()).expect("text");
        assert_eq!(out.status.code(), Some(code), "{lines}");
        assert!(
            lines.lines().count() == 1 && lines.contains(expected),
            "{lines}"
        );
    }
}

/// With automatic discovery, the agent counts a list as known to the proxy from the start of the process
/// and right after an outage. So the proxy has to open the watch before any request needs it, and again
/// as soon as it ends. The list is sent as indented JSON.
#[test]
fn pushed_lists_are_watched_from_the_start_and_again_right_after_an_outage() {
    let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = agent.local_addr().expect("bound").to_string();
    let config = ironmast_fault_injection::CONFIG.replace("{discovery}", &at);
    let config = config.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"");
    let (child, _file) = start(&config);
    let mut child = Running(child);
    let mut log = BufReader::new(child.0.stderr.take().expect("piped"));
    let list = "{\n \"rev\": 4,\n \"all\": true,\n \"targets\": [\n  {\"uid\": \"s-1\", \"endpoint\": \"127.0.0.1:9\",\n   \
        \"az\": \"seattle\", \"state\": \"up\", \"boot_ms\": 0}\n ]\n}\n";
    let began = std::time::Instant::now();
    for outage in [false, true] {
        let (mut stream, _) = agent.accept().expect("a watch");
        let mut head = [0; 4096];
        let read = uninterrupted(|| stream.read(&mut head)).expect("a head");
        assert!(
            String::from_utf8_lossy(&head[..read]).contains("stream=1"),
            "a watch"
        );
        let answer = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
            list.len()
        );
        stream.write_all(answer.as_bytes()).expect("written");
        if outage {
            wait_log(&mut log, "endpoint update: Complete, known: 1");
        }
    }
    assert!(
        began.elapsed() < TIMEOUT,
        "the watch was not opened twice in time"
    );
}

/// A watch may end instead of reporting a drain. All proxies then reconnect, discovery answers them one
/// after another, and the last one has to learn of the drain in time as well. So no proxy waits as it
/// does after a failed call.
#[test]
fn a_watch_that_ends_after_a_list_is_reopened_at_once() {
    const ENDS: u32 = 5;
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = discovery.local_addr().expect("bound").to_string();
    let config = ironmast_fault_injection::CONFIG.replace("{discovery}", &at);
    // With this setting, the delay after a failed call is at least 0.75 s.
    let asked = "\"ask_within\":10000000";
    assert!(config.contains(asked));
    let (child, _file) = start(&config.replace(asked, "\"ask_within\":400000000"));
    let _child = Running(child);
    let mut began = None;
    for _ in 0..=ENDS {
        let (mut stream, _) = discovery.accept().expect("a watch");
        began.get_or_insert_with(std::time::Instant::now);
        let mut head = [0; 4096];
        let read = uninterrupted(|| stream.read(&mut head)).expect("a head");
        assert!(
            String::from_utf8_lossy(&head[..read]).contains("stream=1"),
            "a watch"
        );
        let list = "{\"rev\":4,\"all\":true,\"targets\":[]}\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n0\r\n\r\n",
            list.len()
        );
        stream.write_all(answer.as_bytes()).expect("written");
    }
    let took = began.expect("called").elapsed();
    assert!(
        took < ENDS * std::time::Duration::from_millis(600),
        "{took:?} for {ENDS} watches"
    );
}

#[test]
fn log_format_json_logs_json() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let text = ironmast_fault_injection::CONFIG.replace("{discovery}", "127.0.0.1:9");
    std::fs::write(file.path(), text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast"));
    command
        .args(["run", "--log-format", "json"])
        .env("GW_CONFIG", file.path());
    let mut child = Running(
        command
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("it starts"),
    );
    let mut line = String::new();
    let log = child.0.stderr.take().expect("piped");
    BufReader::new(log).read_line(&mut line).expect("a line");
    let record: serde_json::Value = serde_json::from_str(&line).expect("an object");
    assert_eq!(
        (record["proxy"].as_str(), record["level"].as_str()),
        (Some("n1"), Some("INFO")),
        "{line}"
    );
}

/// One of many proxies restarts with a stale list while discovery is silent and its peers send invalid
/// datagrams. It serves from the list, reports its rate in six bytes and does not flood its log.
#[test]
fn one_of_many_proxies_serves_despite_a_stale_list_a_silent_discovery_and_invalid_datagrams() {
    let timeout = Some(TIMEOUT);
    let tcp = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, server) = (tcp(), tcp());
    // The port is reserved so that no other test listens there.
    let gone = reserve_port().expect("a port");
    let udp = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (peer, stranger) = (udp(), udp());
    peer.set_read_timeout(timeout).expect("set");
    let at = peer.local_addr().expect("bound");
    let live = server.local_addr().expect("bound");
    let target = |uid: &str, at| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{at}","az":"seattle","model":"m","state":"up","capacity_hint":1.0}}"#
        )
    };
    let known = format!(
        r#"{{"rev":7,"all":true,"targets":[{},{}]}}"#,
        target("gone", gone.address),
        target("live", live)
    );
    let config = ironmast_fault_injection::CONFIG
        .replace("{discovery}", &discovery.local_addr().expect("bound").to_string())
        .replace("\"balancers\":1,", "\"balancers\":16,")
        .replace(
            "\"peers\":[],",
            &format!(
                r#""peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9","{at}"],"peers_all":"{at}","known":{known},"#
            ),
        );
    let (child, _file) = start(&config);
    let mut child = Running(child);
    let mut log = BufReader::new(child.0.stderr.take().expect("piped"));
    let listen = listens_at(&mut log);
    let mut datagram = [0; 300];
    let (bytes, proxy) =
        uninterrupted(|| peer.recv_from(&mut datagram)).expect("the proxy reports its rate");
    assert_eq!(
        (bytes, datagram[0], datagram[1]),
        (6, 1, 0),
        "version 1, zone 0 and a rate"
    );
    let good: &[u8] = &[1, 0, 0xff, 0xff, 0xff, 0xff];
    for _ in 0..50 {
        for bad in [
            &good[..5],
            &[9, 0, 1, 1, 1, 1],
            &[],
            &[0; 257],
            &[1; 256],
            good,
            good,
        ] {
            peer.send_to(bad, proxy).expect("sent");
            stranger.send_to(bad, proxy).expect("sent");
        }
    }
    std::thread::spawn(move || {
        for stream in server.incoming() {
            let mut stream = stream.expect("a connection");
            std::thread::spawn(move || {
                let mut buffer = [0; 4096];
                while uninterrupted(|| stream.read(&mut buffer)).is_ok_and(|bytes| bytes > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).expect("written");
                }
            });
        }
    });
    let mut client = TcpStream::connect(listen).expect("it listens");
    client.set_read_timeout(timeout).expect("set");
    for n in 0..8 {
        write!(
            client,
            "GET /balance HTTP/1.1\r\nHost: a\r\nX-Txn: t{n}\r\n\r\n"
        )
        .expect("written");
        let (mut answer, mut part) = (Vec::new(), [0; 1024]);
        while !answer.ends_with(b"\r\n\r\nok") {
            let bytes = uninterrupted(|| client.read(&mut part)).expect("an answer");
            answer.extend_from_slice(&part[..bytes]);
            assert!(
                bytes > 0 && answer.starts_with(b"HTTP/1.1 200"),
                "{}",
                answer.escape_ascii()
            );
        }
    }
    drop(child);
    let lines = log.lines().count();
    assert!(lines < 20, "{lines} lines of log");
}
