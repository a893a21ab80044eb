//! Which coordinator the agent's link is to, with coordinators that the test plays.

use std::path::Path;

use ironmast_schema::settings::Settings;
use tokio::net::TcpListener;

use super::*;

const FRONTEND: &str = "10.0.0.1:80";

fn state() -> Shared {
    let text = "node_name: a\nip_address: 10.0.0.1\nzone: z\nregion: r\ninternal_port_range: [7000, 7009]\n";
    let state = State::new(&Settings::parse(Path::new("local.yaml"), text).expect("sound"));
    let state = Rc::new(RefCell::new(state));
    state
        .borrow_mut()
        .status(FRONTEND.parse().expect("an address"), true, false);
    state
}

/// A coordinator that says whether it is in contact to whoever calls.
struct Coordinator {
    listener: TcpListener,
    in_contact: bool,
}

impl Coordinator {
    async fn new(state: &Shared, in_contact: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        add(state, &[listener.local_addr().expect("bound")]);
        Coordinator {
            listener,
            in_contact,
        }
    }

    fn alive(&self) -> FromCoordinator {
        FromCoordinator::KeepAlive {
            coordinators: Vec::new(),
            heard: Vec::new(),
            in_contact: self.in_contact,
        }
    }

    /// Serves callers until one has told the gate's status that many times on one link.
    async fn until_told(&self, times: usize) {
        loop {
            let (stream, _) = self.listener.accept().await.expect("a caller");
            if self.serve(stream, times).await.is_ok() {
                return;
            }
        }
    }

    async fn serve(&self, stream: tokio::net::TcpStream, times: usize) -> Result<()> {
        let (mut receiver, mut sender) = link::split::<ToCoordinator, FromCoordinator>(stream)?;
        let mut told = 0;
        while told < times {
            sender.send(&self.alive()).await?;
            match receiver.next().await? {
                Some(ToCoordinator::Entries(_)) => told += 1,
                Some(_) => {}
                None => bail!("the agent closed the link"),
            }
        }
        Ok(())
    }

    /// Lets callers in and says that it is there, for good.
    async fn play(&self) {
        loop {
            let (stream, _) = self.listener.accept().await.expect("a caller");
            let _ = self.serve(stream, usize::MAX).await;
        }
    }
}

/// Runs the agent and what else is given until `end`.
async fn run(state: &Shared, others: impl Future<Output = ()>, end: impl Future<Output = ()>) {
    tokio::select! {
        () = keep(Rc::clone(state)) => {}
        () = others => {}
        () = end => {}
        () = tokio::time::sleep(Duration::from_secs(60)) => panic!("not in time"),
    }
}

#[tokio::test]
async fn the_link_goes_to_the_coordinator_in_contact() {
    let state = state();
    let (out, within) = (
        Coordinator::new(&state, false).await,
        Coordinator::new(&state, true).await,
    );
    run(&state, out.play(), within.until_told(3)).await;
}

/// The agent has only met the one that is out of contact when its link comes up; then it hears of
/// another.
#[tokio::test]
async fn the_link_moves_once_a_coordinator_in_contact_is_known() {
    let state = state();
    let out = Coordinator::new(&state, false).await;
    run(&state, std::future::pending(), out.until_told(2)).await;
    let within = Coordinator::new(&state, true).await;
    run(&state, out.play(), within.until_told(2)).await;
}

/// Several links are opened to look for a better one; the one that carries the status stays.
#[tokio::test]
async fn any_link_is_kept_where_nobody_is_in_contact() {
    let state = state();
    let only = Coordinator::new(&state, false).await;
    let dead = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port")
        .local_addr()
        .expect("bound");
    add(&state, &[dead]);
    run(&state, std::future::pending(), only.until_told(6)).await;
}
