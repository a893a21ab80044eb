//! A test environment with pay servers, discovery and a runtime folder, in which proxies are started as
//! processes that can replace each other.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{ChildStderr, Command, Stdio};
use std::sync::Arc;

use crate::common::{Running, TIMEOUT, wait_log, wait_until};

/// The servers, addresses and files that the proxies of a test share.
pub(crate) struct Stage {
    pub folder: tempfile::TempDir,
    pub listen: SocketAddr,
    discovery: SocketAddr,
    /// The file descriptor limit (`limits.sockets`) of each proxy that is started.
    pub sockets: usize,
    _port: OwnedFd,
}

/// A running proxy, its log and the address for operator commands.
pub(crate) struct Process {
    pub child: Running,
    pub log: BufReader<ChildStderr>,
    pub ops: SocketAddr,
}

pub(crate) fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    stream
}

/// Listens on a free port and serves each connection in its own thread.
pub(crate) fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, serve) = (
                with_read_timeout(stream.expect("a connection")),
                Arc::clone(&serve),
            );
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Reads the head of the next message; `None` if the connection ends before it is complete.
pub(crate) fn read_head(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

impl Stage {
    /// A stage whose discovery lists pay servers at these addresses as `s-0`, `s-1` and so on.
    pub(crate) fn new(servers: &[SocketAddr]) -> Stage {
        let target = |uid: &str, at: SocketAddr| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{at}","az":"seattle","state":"up","capacity_hint":1.0}}"#
            )
        };
        let targets: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(n, &at)| target(&format!("s-{n}"), at))
            .collect();
        let targets = targets.join(",");
        let line = format!("{{\"rev\":1,\"all\":true,\"targets\":[{targets}]}}\n");
        let discovery = listen(move |stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while read_head(&mut reader).is_some() {
                let text = format!(
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
                    line.len()
                );
                if (&stream).write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
        // The port is bound without listening, so that only the proxies can use it.
        let port = ironmast_fault_injection::deployment::reserve_port().expect("a port");
        let (listen, port) = (port.address, port.descriptor);
        Stage {
            folder: tempfile::tempdir().expect("a folder"),
            listen,
            discovery,
            sockets: 1024,
            _port: port,
        }
    }

    /// Starts a proxy with `tmpdir` as its runtime folder, and waits until it accepts operator commands.
    pub(crate) fn start(&self, tmpdir: Option<&Path>) -> Process {
        self.start_with(tmpdir, &[])
    }

    /// Like [`Self::start`], with additional environment variables.
    pub(crate) fn start_with(&self, tmpdir: Option<&Path>, variables: &[(&str, &str)]) -> Process {
        let config = self.folder.path().join("config.json");
        let text = ironmast_fault_injection::CONFIG
            .replace("{discovery}", &self.discovery.to_string())
            .replace("127.0.0.1:0", &self.listen.to_string())
            .replace("\"sockets\":1024", &format!("\"sockets\":{}", self.sockets));
        std::fs::write(&config, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast"));
        command
            .arg("run")
            .env("GW_CONFIG", config)
            .env("GW_OPS", "127.0.0.1:0")
            .stderr(Stdio::piped());
        for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "TMPDIR"] {
            command.env_remove(name);
        }
        if let Some(tmpdir) = tmpdir {
            command.env("TMPDIR", tmpdir);
        }
        command.envs(variables.iter().copied());
        let mut child = Running(command.spawn().expect("it starts"));
        let mut log = BufReader::new(child.0.stderr.take().expect("piped"));
        let line = wait_log(&mut log, "listening for operator commands");
        let ops = line
            .split_once("ops: ")
            .and_then(|(_, rest)| rest.split(',').next())
            .expect("an address");
        Process {
            child,
            log,
            ops: ops.trim().parse().expect("an address"),
        }
    }

    /// The runtime folder through which the proxies of this stage find each other, for `start`.
    #[expect(
        clippy::unnecessary_wraps,
        reason = "passed to `start`, whose folder is optional"
    )]
    pub(crate) fn runtime_folder(&self) -> Option<&Path> {
        Some(self.folder.path())
    }

    /// Sends one request on a new connection and returns the whole response.
    pub(crate) fn request(&self, txn: &str) -> String {
        let mut stream = with_read_timeout(TcpStream::connect(self.listen).expect("it listens"));
        write!(
            stream,
            "GET /balance HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Txn: {txn}\r\n\r\n"
        )
        .expect("written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }
}

impl Drop for Process {
    /// Prints the rest of the program's log if the test fails.
    fn drop(&mut self) {
        if std::thread::panicking() {
            let _ = self.child.0.kill();
            let mut log = Vec::new();
            let _ = self.log.read_to_end(&mut log);
            println!("logged after the last line that was waited for:");
            println!("{}", String::from_utf8_lossy(&log));
        }
    }
}

impl Process {
    /// Sends one operator command on a new connection and returns the response.
    pub(crate) fn send_command(&self, line: &str) -> String {
        let mut stream = with_read_timeout(
            TcpStream::connect(self.ops).expect("the operator port accepts connections"),
        );
        stream.write_all(line.as_bytes()).expect("written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    /// Waits until the proxy reports that it is ready.
    pub(crate) fn ready(&self) {
        wait_until("the proxy is ready", || {
            self.send_command("ready\n").starts_with("+OK")
        });
    }
}
