//! The HTTP/1.1 client of attempts: awc over observed streams.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::{ActixStream, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};

use crate::attempt::AttemptObserver;
use crate::sockets::{DescriptorBudget, ObservedStream};

/// An HTTP client without a will of its own: no time-out, redirect, extra header or cap; a
/// connection must come up within `connect` and is not used again after `idle`. `wrap` decides what
/// its streams let through. Its connections are closed when it is dropped.
pub fn client<Io: ActixStream + std::fmt::Debug + 'static>(
    budget: DescriptorBudget,
    connect: Duration,
    idle: Duration,
    wrap: fn(ObservedStream<AttemptObserver>) -> Io,
) -> Client {
    let dial = move |info: ConnectInfo<Uri>| {
        let budget = budget.clone();
        async move {
            let refused = |why: &str| ConnectError::Io(io::Error::other(why.to_string()));
            let uri = info.request().clone();
            let address: Option<SocketAddr> = uri.authority().and_then(|a| a.as_str().parse().ok());
            let address = address.ok_or_else(|| refused("not an address"))?;
            let slot = budget
                .take()
                .ok_or_else(|| refused("no descriptor is free"))?;
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Io)?;
            let stream = ObservedStream::new(stream, AttemptObserver, slot);
            Ok::<_, ConnectError>(Connection::new(uri, wrap(stream)))
        }
    };
    // The pool is for one server; its age limit would close good connections.
    let connector = Connector::new()
        .connector(fn_service(dial))
        .timeout(connect)
        .conn_keep_alive(idle)
        .conn_lifetime(Duration::from_secs(365 * 86_400))
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
