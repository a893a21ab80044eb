//! The routes, the service and the servers of the simulated region.

use ironmast_routing::{
    RouteKind, RouteSpec, ServerSpec, ServerState, ServiceSpec, Table, TableSpec, WeightedBackend,
};

use super::{SERVERS, SLOTS};

/// The routing table of the region. Its routes use prefix affinity if `affinity` is true.
pub(super) fn table(affinity: bool) -> Table {
    let route = |number: usize| RouteSpec {
        name: format!("{number}").into(),
        host: "a".into(),
        prefix: format!("/{number}/").into(),
        kind: RouteKind::Stream { resumable: false },
        backends: vec![WeightedBackend {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 1,
        timeout_ms: 15_000,
        target_latency_ms: [1200, 600, 800][number],
        max_event_gap_ms: Some(600),
        priority: [1, 0, 2][number],
        affinity,
        allowed_regions: Vec::new(),
    };
    let service = ServiceSpec {
        name: "desk".into(),
        health_check: "/".into(),
        slots: SLOTS,
        kv_cache_tokens: 411_300,
        max_connections: 360,
        warmup_per_s: 0.0,
    };
    let server = |number: usize| ServerSpec {
        instance: format!("i-{number}").into(),
        service: "desk".into(),
        address: format!("10.0.0.1:{}", 8000 + number)
            .parse()
            .expect("an address"),
        zone: "z".into(),
        region: "r".into(),
        capacity: SLOTS,
        state: ServerState::Ready,
        evacuated: false,
        warming_up: false,
        heartbeats_missing_since: None,
        models: Vec::new(),
        sequence: 1,
    };
    let spec = TableSpec {
        gates: 7,
        routes: (0..3).map(route).collect(),
        services: vec![service],
        servers: (0..SERVERS).map(server).collect(),
    };
    Table::build(spec).expect("a table")
}
