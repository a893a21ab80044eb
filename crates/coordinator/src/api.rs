//! The HTTP API: configuration and zone changes by operators, registration of servers, and address
//! resolution for clients.
//!
//! Handlers parse and validate requests and submit them to the node as [`Command`]s. [`reply`] maps
//! outcomes to HTTP statuses and bodies; no other module contains any.

use std::fmt::Display;
use std::net::SocketAddr;

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data, Path, PayloadConfig, Query, ServiceConfig};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use eyre::{Result, WrapErr as _};
use futures_util::FutureExt as _;
use ironmast_schema::registration::Heartbeat;
use ironmast_transport::tasks::Tasks;
use tokio::sync::{mpsc, oneshot};

use crate::command::Command;
use crate::directory::ConfigurationParser;
use crate::resolve;
use crate::value::ConfigurationDocument;

use reply::Reply;

pub(crate) mod reply;
mod zone_orders;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The sending half of the node's command queue.
pub(crate) type Commands = mpsc::UnboundedSender<Command>;

/// Starts the HTTP server for operators and registrations at `control_plane` and, if `directory` is
/// given, the one for address resolution there.
///
/// # Errors
/// Fails if an address cannot be bound; the error names it.
pub(crate) fn start(
    control_plane: SocketAddr,
    directory: Option<SocketAddr>,
    commands: &Commands,
    parse: ConfigurationParser,
    tasks: &Tasks,
) -> Result<Vec<ServerHandle>> {
    let control_routes = move |routes: &mut ServiceConfig| control_routes(routes, parse);
    let mut handles = vec![listen(control_plane, commands, control_routes, tasks)?];
    if let Some(directory) = directory {
        handles.push(listen(directory, commands, directory_routes, tasks)?);
    }
    Ok(handles)
}

fn listen(
    address: SocketAddr,
    commands: &Commands,
    routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    tasks: &Tasks,
) -> Result<ServerHandle> {
    let commands = commands.clone();
    let app = move || {
        let commands = Data::new(commands.clone());
        App::new()
            .app_data(commands)
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .configure(&routes)
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .on_connect(zone_orders::record_accept)
        // A handler ends when its caller closes the connection; orders for zones rely on that.
        .h1_allow_half_closed(false)
        .shutdown_timeout(2);
    let server = server
        .bind(address)
        .wrap_err_with(|| format!("listening at {address}"))?
        .run();
    let handle = server.handle();
    // The caller stops the server through its handle. The result of the task is ignored: the only
    // possible error is a failure to bind, and the address is bound already.
    tasks.spawn_essential("HTTP server", server.map(drop));
    Ok(handle)
}

fn control_routes(routes: &mut ServiceConfig, parse: ConfigurationParser) {
    routes
        .app_data(Data::new(parse))
        .route("/api/instances/{id}", web::put().to(heartbeat))
        .route("/api/instances/{id}", web::delete().to(deregister))
        .route("/api/config", web::put().to(configure))
        .route("/api/config", web::get().to(read_configuration))
        .route(
            "/api/evacuate/{zone}",
            web::post().to(zone_orders::evacuate),
        )
        .route(
            "/api/evacuate/{zone}",
            web::delete().to(zone_orders::restore),
        );
}

fn directory_routes(routes: &mut ServiceConfig) {
    routes.route("/api/resolve", web::get().to(resolve));
}

/// Submits a command and waits for its outcome.
async fn submit<Outcome>(
    commands: &Commands,
    command: impl FnOnce(oneshot::Sender<Outcome>) -> Command,
) -> HttpResponse
where
    Reply: From<Outcome>,
{
    let (reply, outcome) = oneshot::channel();
    // If the node has stopped, the command and its reply channel are dropped, and awaiting the
    // outcome fails.
    let _ = commands.send(command(reply));
    outcome
        .await
        .map_or_else(
            |_| Reply::error(StatusCode::SERVICE_UNAVAILABLE, &"the coordinator ends"),
            Reply::from,
        )
        .into()
}

/// The response to an invalid request.
fn bad_request(error: &impl Display) -> HttpResponse {
    Reply::error(StatusCode::BAD_REQUEST, error).into()
}

async fn heartbeat(commands: Data<Commands>, id: Path<String>, body: Bytes) -> HttpResponse {
    let heartbeat = match Heartbeat::parse(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return bad_request(&error),
    };
    submit(&commands, |reply| Command::Heartbeat {
        id: id.into_inner(),
        heartbeat,
        reply,
    })
    .await
}

async fn deregister(commands: Data<Commands>, id: Path<String>) -> HttpResponse {
    submit(&commands, |reply| Command::Deregister {
        id: id.into_inner(),
        reply,
    })
    .await
}

async fn configure(
    commands: Data<Commands>,
    parse: Data<ConfigurationParser>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let Some(base) = if_match(&request) else {
        return bad_request(&"If-Match must hold the version that this one builds on, 0 at first");
    };
    let generation = match parse(&body) {
        Ok(configuration) => configuration.generation,
        Err(error) => return bad_request(&error),
    };
    let document = ConfigurationDocument {
        generation,
        body: body.to_vec(),
    };
    submit(&commands, |reply| Command::Configure {
        document,
        base,
        reply,
    })
    .await
}

/// The generation in the `If-Match` header, with or without quotation marks; `None` if the header
/// is missing or not a number.
fn if_match(request: &HttpRequest) -> Option<u64> {
    let header = request.headers().get("If-Match")?;
    header.to_str().ok()?.trim_matches('"').parse().ok()
}

async fn read_configuration(commands: Data<Commands>) -> HttpResponse {
    submit(&commands, |reply| Command::ReadConfiguration { reply }).await
}

async fn resolve(commands: Data<Commands>, query: Query<resolve::Query>) -> HttpResponse {
    submit(&commands, |reply| Command::Resolve {
        query: query.into_inner(),
        reply,
    })
    .await
}
