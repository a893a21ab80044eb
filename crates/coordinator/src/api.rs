//! HTTP: the operator's API, servers' registrations, and address resolution. Bodies are read and
//! checked here; the rest is the state's.

use std::net::SocketAddr;

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::web::{self, Bytes, Data, Path, PayloadConfig, Query, ServiceConfig};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use eyre::{Result, WrapErr as _};
use ironmast_schema::configuration::Configuration;
use ironmast_schema::registration::Heartbeat;
use tokio::sync::{mpsc, oneshot};

use crate::node::{Command, Reply};
use crate::resolve;

/// The longest body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The way to the state.
pub(crate) type Commands = mpsc::UnboundedSender<Command>;

/// Listens where the operator, servers and clients call.
///
/// # Errors
/// The address that can't be listened at.
pub(crate) fn start(
    control_plane: SocketAddr,
    directory: Option<SocketAddr>,
    commands: &Commands,
) -> Result<Vec<ServerHandle>> {
    let mut handles = vec![listen(control_plane, commands, control_routes)?];
    if let Some(directory) = directory {
        handles.push(listen(directory, commands, directory_routes)?);
    }
    Ok(handles)
}

fn listen(
    at: SocketAddr,
    commands: &Commands,
    routes: fn(&mut ServiceConfig),
) -> Result<ServerHandle> {
    let commands = commands.clone();
    let app = move || {
        let commands = Data::new(commands.clone());
        App::new()
            .app_data(commands)
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .configure(routes)
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(2);
    let server = server
        .bind(at)
        .wrap_err_with(|| format!("listening at {at}"))?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn control_routes(routes: &mut ServiceConfig) {
    routes
        .route("/api/instances/{id}", web::put().to(heartbeat))
        .route("/api/instances/{id}", web::delete().to(leave))
        .route("/api/config", web::put().to(configure))
        .route("/api/config", web::get().to(read_configuration))
        .route("/api/evacuate/{zone}", web::post().to(evacuate))
        .route("/api/evacuate/{zone}", web::delete().to(take_back));
}

fn directory_routes(routes: &mut ServiceConfig) {
    routes.route("/api/resolve", web::get().to(resolve));
}

async fn ask(
    commands: &Commands,
    command: impl FnOnce(oneshot::Sender<Reply>) -> Command,
) -> HttpResponse {
    let (to, reply) = oneshot::channel();
    let _ = commands.send(command(to));
    respond(
        reply
            .await
            .unwrap_or(Reply::refused(503, "the coordinator ends")),
    )
}

fn respond(reply: Reply) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content = if status.is_success() {
        "application/json"
    } else {
        "text/plain"
    };
    HttpResponse::build(status)
        .content_type(content)
        .body(reply.body)
}

async fn heartbeat(commands: Data<Commands>, id: Path<String>, body: Bytes) -> HttpResponse {
    match Heartbeat::parse(&body) {
        Ok(heartbeat) => {
            ask(&commands, |to| {
                Command::Heartbeat(id.into_inner(), heartbeat, to)
            })
            .await
        }
        Err(error) => respond(Reply::refused(400, &error.to_string())),
    }
}

async fn leave(commands: Data<Commands>, id: Path<String>) -> HttpResponse {
    ask(&commands, |to| Command::Leave(id.into_inner(), to)).await
}

async fn configure(commands: Data<Commands>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let base = request
        .headers()
        .get("If-Match")
        .and_then(|v| v.to_str().ok()?.trim_matches('"').parse().ok());
    let Some(base) = base else {
        return respond(Reply::refused(
            400,
            "If-Match must hold the version that this one builds on, 0 at first",
        ));
    };
    match Configuration::parse(&body) {
        Ok(configuration) => {
            let generation = configuration.generation;
            ask(&commands, |to| {
                Command::Configure(generation, body.to_vec(), base, to)
            })
            .await
        }
        Err(error) => respond(Reply::refused(400, &error.to_string())),
    }
}

async fn read_configuration(commands: Data<Commands>) -> HttpResponse {
    ask(&commands, Command::ReadConfiguration).await
}

async fn evacuate(commands: Data<Commands>, zone: Path<String>) -> HttpResponse {
    ask(&commands, |to| {
        Command::Evacuate(zone.into_inner(), true, to)
    })
    .await
}

async fn take_back(commands: Data<Commands>, zone: Path<String>) -> HttpResponse {
    ask(&commands, |to| {
        Command::Evacuate(zone.into_inner(), false, to)
    })
    .await
}

async fn resolve(commands: Data<Commands>, query: Query<resolve::Query>) -> HttpResponse {
    ask(&commands, |to| Command::Resolve(query.into_inner(), to)).await
}
