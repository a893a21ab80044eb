//! Converts the operators' configuration and servers' heartbeats into the specifications from which
//! `ironmast-routing` builds its tables.

use ironmast_routing::{
    Micros, RouteKind, RouteSpec, ServerSpec, ServerState, ServiceSpec, TableSpec, WeightedBackend,
};
use ironmast_schema::configuration::{self, Configuration, Route, RouteType, Service};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use ironmast_schema::settings::Settings;

/// Weights are fixed-point numbers: a weight of 1 is this integer.
const WEIGHT_SCALE: f64 = 1_000.0;

/// Builds the specification of a table from a configuration, the number of gates and the servers.
pub(crate) fn table_spec(
    configuration: &Configuration,
    gates: u32,
    servers: Vec<ServerSpec>,
) -> TableSpec {
    TableSpec {
        gates,
        routes: configuration.routes.iter().map(route_spec).collect(),
        services: configuration.services.iter().map(service_spec).collect(),
        servers,
    }
}

/// The state of a server that its heartbeat does not report.
pub(crate) struct ServerStatus {
    /// Whether the zone of the server is evacuated.
    pub evacuated: bool,
    /// Since when heartbeats of the server are missing, if they are.
    pub heartbeats_missing_since: Option<Micros>,
}

/// Builds the specification of the server with the incarnation id `id`.
pub(crate) fn server_spec(
    settings: &Settings,
    id: &str,
    heartbeat: &Heartbeat,
    status: &ServerStatus,
) -> ServerSpec {
    ServerSpec {
        instance: id.into(),
        service: heartbeat.backend.as_str().into(),
        address: heartbeat.address,
        zone: heartbeat.zone.as_str().into(),
        region: settings.region_of(&heartbeat.zone).into(),
        capacity: u32::try_from(heartbeat.capacity).unwrap_or(u32::MAX),
        state: match heartbeat.state {
            InstanceState::Ready => ServerState::Ready,
            InstanceState::Draining => ServerState::Draining,
        },
        evacuated: status.evacuated,
        // Warm-up can end between two tables, so the limits decide it at each request.
        warming_up: true,
        heartbeats_missing_since: status.heartbeats_missing_since,
        models: Vec::new(),
        sequence: heartbeat.sequence,
    }
}

fn route_spec(route: &Route) -> RouteSpec {
    let weighted_backend = |backend: configuration::WeightedBackend<'_>| WeightedBackend {
        service: backend.service.into(),
        weight: fixed_point_weight(backend.weight),
    };
    RouteSpec {
        name: route.name.as_str().into(),
        host: route.hostname.as_str().into(),
        prefix: route.path_prefix.as_str().into(),
        kind: match route.kind {
            RouteType::Safe => RouteKind::Idempotent,
            RouteType::Unsafe => RouteKind::NonIdempotent,
            RouteType::Streaming => RouteKind::Stream {
                resumable: route.resumable,
            },
        },
        backends: route
            .weighted_backends()
            .into_iter()
            .map(weighted_backend)
            .collect(),
        max_attempts: route.max_attempts,
        timeout_ms: route.timeout_ms,
        target_latency_ms: route.target_latency_ms.max(0.0) as u64,
        max_event_gap_ms: (route.event_gap_target_ms > 0.0)
            .then_some(route.event_gap_target_ms as u64),
        priority: route.priority,
        affinity: route.session_affinity,
        allowed_regions: route
            .allowed_regions
            .iter()
            .map(|region| region.as_str().into())
            .collect(),
    }
}

/// Converts a weight to a fixed-point number; a positive weight stays positive.
fn fixed_point_weight(weight: f64) -> u32 {
    let scaled = (weight * WEIGHT_SCALE)
        .round()
        .clamp(0.0, f64::from(u32::MAX / 1_000));
    if weight > 0.0 {
        (scaled as u32).max(1)
    } else {
        0
    }
}

fn service_spec(service: &Service) -> ServiceSpec {
    let runtime = service.runtime.as_ref();
    ServiceSpec {
        name: service.name.as_str().into(),
        health_check: service.health_check.as_str().into(),
        slots: runtime.map_or(0, |runtime| {
            u32::try_from(runtime.capacity).unwrap_or(u32::MAX)
        }),
        kv_cache_tokens: runtime.map_or(0, |runtime| runtime.kv_cache_tokens),
        max_connections: u32::try_from(service.max_connections).unwrap_or(u32::MAX),
        warmup_per_s: service.warmup_per_s,
    }
}
