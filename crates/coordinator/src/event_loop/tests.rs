use std::net::{Ipv4Addr, TcpStream};

use ironmast_fault_injection::free_ports::find_consecutive_free_ports_for_process;
use ironmast_schema::configuration::Configuration;
use slog::{Discard, o};
use tokio::signal::unix::{SignalKind, signal};

use super::*;

/// Dropping the loop ends the tasks of links and overlay, so that nothing listens on their ports.
#[test]
fn an_event_loop_that_is_gone_leaves_no_listener() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let ip = Ipv4Addr::new(127, 92, 17, 1);
        let first_port = find_consecutive_free_ports_for_process(&[ip.into()], 4).expect("free ports");
        let text = format!(
            "node_name: m1\nip_address: {ip}\nzone: z\nregion: r\ninternal_port_range: [{first_port}, {}]\n\
             bootstrap: true\ndata_directory: {}\nlimits: {{disk_mb: 16}}\n",
            first_port + 3,
            folder.path().display()
        );
        let settings = Settings::parse(folder.path(), &text).expect("valid settings");
        let (_commands, received) = mpsc::unbounded_channel();
        let reload = signal(SignalKind::hangup()).expect("a handler");
        let log = Logger::root(Discard, o!());
        let event_loop = EventLoop::start(&settings, received, reload, &log, Configuration::parse);
        let event_loop = event_loop.await.expect("it starts");
        let listeners = [InternalPort::Coordinator, InternalPort::Agent]
            .map(|listener| (ip, settings.internal_port(listener)));
        assert!(listeners.iter().all(|at| TcpStream::connect(at).is_ok()));
        drop(event_loop);
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        assert!(listeners.iter().all(|at| TcpStream::connect(at).is_err()));
    });
}
