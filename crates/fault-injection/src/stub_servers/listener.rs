//! A listening socket on loopback with a thread for each connection.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A listening socket. When it is dropped it accepts no more connections.
#[derive(Debug)]
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Listener {
    /// Listens on a port of the system's choice and calls `serve` on a thread of its own for each
    /// connection, with the flag that is set when the listener is dropped.
    pub(super) fn start(
        serve: impl Fn(TcpStream, &AtomicBool) + Send + Sync + 'static,
    ) -> std::io::Result<Listener> {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let (is_stopped, serve) = (Arc::clone(&stop), Arc::new(serve));
        std::thread::spawn(move || {
            for connection in socket.incoming() {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(connection) = connection else { continue };
                let (is_stopped, serve) = (Arc::clone(&is_stopped), Arc::clone(&serve));
                std::thread::spawn(move || serve(connection, &is_stopped));
            }
        });
        Ok(Listener { address, stop })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The accepting thread is blocked until a connection arrives.
        let _ = TcpStream::connect(self.address);
    }
}
