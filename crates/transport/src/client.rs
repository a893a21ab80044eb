//! The HTTP/1.1 client for one upstream server, built on awc and [`ObservedStream`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::{ActixStream, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};

use crate::attempt::AttemptObserver;
use crate::descriptors::DescriptorBudget;
use crate::observed_stream::ObservedStream;

/// Builds an HTTP client with a connection pool and without a request timeout, redirects, default
/// headers or awc's connection limit. Each connection holds a permit of `budget`.
///
/// A connection must be established within `connect_timeout`, and is not reused once it has been
/// idle for `idle_timeout`. `wrap` turns a new stream into the one that awc reads, see
/// [`ValidatingStream`](crate::response_validation::ValidatingStream). Dropping the client closes
/// its connections.
pub fn client<Io: ActixStream + std::fmt::Debug + 'static>(
    budget: DescriptorBudget,
    connect_timeout: Duration,
    idle_timeout: Duration,
    wrap: fn(ObservedStream<AttemptObserver>) -> Io,
) -> Client {
    let connect = move |info: ConnectInfo<Uri>| {
        let budget = budget.clone();
        async move {
            let connect_error =
                |reason: &str| ConnectError::Io(io::Error::other(reason.to_string()));
            let uri = info.request().clone();
            let address: Option<SocketAddr> = uri
                .authority()
                .and_then(|authority| authority.as_str().parse().ok());
            let address = address.ok_or_else(|| {
                connect_error("the server's authority is not an IP address and port")
            })?;
            let permit = budget.try_acquire().ok_or_else(|| {
                connect_error("no file descriptor is free for a connection to the server")
            })?;
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Io)?;
            let stream = ObservedStream::new(stream, AttemptObserver, permit);
            Ok::<_, ConnectError>(Connection::new(uri, wrap(stream)))
        }
    };
    // The pool is for one server, so awc's limits on age and number would only close good
    // connections.
    let connector = Connector::new()
        .connector(fn_service(connect))
        .timeout(connect_timeout)
        .conn_keep_alive(idle_timeout)
        .conn_lifetime(Duration::from_secs(365 * 86_400))
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
