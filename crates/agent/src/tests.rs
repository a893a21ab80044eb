use std::net::TcpStream;
use std::path::Path;

use ironmast_fault_injection::free_ports::find_consecutive_free_ports_for_process;
use slog::{Discard, o};

use super::*;

/// Guards against tasks of the gate link and the overlay that outlive the agent and keep its ports
/// open.
#[test]
fn an_agent_that_is_gone_leaves_no_listener() {
    actix_rt::System::new().block_on(async {
        let ip = Ipv4Addr::LOCALHOST.into();
        let first = find_consecutive_free_ports_for_process(&[ip], 4).expect("free ports");
        let text = format!(
            "node_name: a\nip_address: 127.0.0.1\nzone: z\nregion: r\n\
             internal_port_range: [{first}, {}]\n",
            first + 3
        );
        let settings = Settings::parse(Path::new("local.yaml"), &text).expect("valid settings");
        let log = Logger::root(Discard, o!());
        let agent = Agent::start(&settings, &log)
            .await
            .expect("the agent starts");
        let listeners = [InternalPort::Agent, InternalPort::Feed]
            .map(|listener| (Ipv4Addr::LOCALHOST, settings.internal_port(listener)));
        assert!(listeners.iter().all(|at| TcpStream::connect(at).is_ok()));
        drop(agent);
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        assert!(listeners.iter().all(|at| TcpStream::connect(at).is_err()));
    });
}
