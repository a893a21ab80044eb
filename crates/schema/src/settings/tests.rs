//! Settings files: defaults, rejections and the texts of errors.

use std::path::Path;

use assert_matches::assert_matches;

use super::*;

const PATH: &str = "/etc/ironmast/local.yaml";

const VALID: &str = r#"
node_name: "core-1"
role: "coordinator"
tier:
  - "core"
ip_address: "10.1.0.35"
zone: "north-a"
region: "north"
zones:
  north-a: "north"
  south-a: "south"
listeners_map:
  control_plane: "10.1.0.35:8146"
internal_port_range:
  - 7660
  - 7675
seed_nodes:
  - "10.1.0.35:8146"
  - "10.2.0.30:8146"
bootstrap: true
limits:
  cpu_quota: 0.25
  memory_mb: 260
  max_fds: 4100
  disk_mb: 128
data_directory: "/var/lib/ironmast"
heartbeat_interval_ms: 1200
fault_tolerance:
  hosts_lost: 1
  zones: 1
timing_bounds:
  contact_ms: 5000
  drain_timeout_ms: 3000
  retry_budget_ratio: 0.2
"#;

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(Path::new(PATH), text)
}

/// Returns the error text for the valid file with one part of it replaced.
fn rejection(original: &str, replacement: &str) -> String {
    assert!(VALID.contains(original), "{original}");
    match parse(&VALID.replacen(original, replacement, 1)) {
        Ok(_) => panic!("{replacement:?} is accepted"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn a_complete_file_is_read_and_unknown_keys_are_ignored() {
    let settings = parse(VALID).expect("valid");
    assert_eq!(settings.node_name, "core-1");
    assert_eq!(settings.internal_port(InternalPort::Feed), 7662);
    assert_eq!(
        settings.seed_coordinators()[1].to_string(),
        "10.2.0.30:7660"
    );
    assert_eq!(settings.limits.disk_mb, 128);
    assert_eq!(settings.timing_bounds.retry_budget_ratio, 0.2);
}

#[test]
fn missing_optional_keys_have_defaults() {
    let minimal = "node_name: a\nip_address: 10.0.0.1\nzone: z\nregion: r\ninternal_port_range: [7000, 7009]\n";
    let settings = parse(minimal).expect("valid");
    assert!(!settings.bootstrap);
    assert_eq!(settings.heartbeat_interval_ms, 1_200);
    assert_eq!(settings.fault_tolerance.hosts_lost, 1);
    assert_eq!(settings.listeners_map.control_plane, None);
    assert_eq!(settings.data_directory, None);
}

#[test]
fn keys_without_a_value_have_defaults() {
    let settings = parse(&VALID.replace("\"/var/lib/ironmast\"", "null")).expect("valid");
    assert_eq!(settings.data_directory, None);
}

#[test]
fn an_unknown_zone_is_its_own_region() {
    let settings = parse(VALID).expect("valid");
    assert_eq!(settings.region_of("south-a"), "south");
    assert_eq!(settings.region_of("west-a"), "west-a");
}

#[test]
fn each_invalid_field_yields_one_line_with_path_and_reason() {
    let cases = [
        ("\"core-1\"", "\"\"", "node_name"),
        ("zone: \"north-a\"\nregion", "zone: \"\"\nregion", "zone"),
        ("region: \"north\"", "region: \"\"", "region"),
        ("\"10.1.0.35\"\n", "\"nowhere\"\n", "ip_address"),
        ("7675", "7661", "internal_port_range"),
        ("7675", "7000", "internal_port_range"),
        ("- 7660\n  - 7675", "- 0\n  - 65535", "internal_port_range"),
        (
            "- 7660\n  - 7675",
            "- 65535\n  - 65535",
            "internal_port_range",
        ),
        ("memory_mb: 260", "memory_mb: 0", "memory_mb"),
        ("max_fds: 4100", "max_fds: 3", "max_fds"),
        (
            "heartbeat_interval_ms: 1200",
            "heartbeat_interval_ms: 0",
            "heartbeat_interval_ms",
        ),
        ("contact_ms: 5000", "contact_ms: 0", "contact_ms"),
        (
            "retry_budget_ratio: 0.2",
            "retry_budget_ratio: -1",
            "retry_budget_ratio",
        ),
        ("contact_ms: 5000", "contact_ms: .inf", "contact_ms"),
        ("contact_ms: 5000", "contact_ms: .nan", "contact_ms"),
    ];
    for (original, replacement, field) in cases {
        let line = rejection(original, replacement);
        assert!(line.starts_with(PATH), "{line}");
        assert!(line.contains(field), "{replacement:?}: {line}");
        assert!(!line.contains('\n'), "{line:?}");
    }
}

#[test]
fn non_finite_and_oversized_bounds_are_rejected() {
    let fields = [
        "grace_period_s",
        "retry_budget_ratio",
        "retry_window_s",
        "retry_burst",
        "warmup_overshoot",
        "warmup_tolerance",
        "ttl_max_s",
    ];
    for field in fields {
        for value in [".inf", "-.inf", ".nan", "1e300"] {
            let line = rejection("retry_budget_ratio: 0.2", &format!("{field}: {value}"));
            assert!(line.contains(field), "{field}: {value}: {line}");
        }
    }
}

#[test]
fn a_port_range_up_to_the_last_port_is_accepted() {
    let text = VALID.replacen("- 7660\n  - 7675", "- 65532\n  - 65535", 1);
    let settings = parse(&text).expect("four ports");
    assert_eq!(settings.internal_port(InternalPort::Gate), 65_535);
}

#[test]
fn several_invalid_fields_yield_one_line() {
    let text = VALID
        .replace("\"core-1\"", "\"\"")
        .replace("memory_mb: 260", "memory_mb: 0");
    let line = parse(&text).expect_err("out of range").to_string();
    assert!(
        line.contains("node_name") && line.contains("memory_mb") && !line.contains('\n'),
        "{line:?}"
    );
}

/// The text is logged for operators when a process can't start.
#[test]
fn the_text_of_a_rejection_names_path_fields_and_reasons() {
    let text = VALID
        .replace("\"core-1\"", "\"\"")
        .replace("7675", "7661")
        .replace("memory_mb: 260", "memory_mb: 0");
    let line = parse(&text).expect_err("out of range").to_string();
    assert_eq!(
        line,
        "/etc/ironmast/local.yaml: internal_port_range: needs 4 ports, first to last; \
         limits.memory_mb: lower than 1; node_name: length is lower than 1"
    );
}

#[test]
fn the_text_of_a_parse_error_is_one_line_with_path_and_position() {
    let line = rejection("max_fds: 4100", "max_fds: many");
    assert!(
        line.starts_with("/etc/ironmast/local.yaml: error: line 24 column 12: invalid u64; "),
        "{line}"
    );
    assert!(line.contains("; 24 |   max_fds: many; "), "{line}");
    assert!(!line.contains('\n'), "{line:?}");
}

#[test]
fn a_missing_field_is_named() {
    let line = rejection("node_name: \"core-1\"\n", "");
    assert!(line.contains("node_name"), "{line}");
}

#[test]
fn a_truncated_file_is_malformed() {
    let end = VALID.find("/var").expect("a path") + 2;
    assert_matches!(parse(&VALID[..end]), Err(SettingsError::Malformed { .. }));
}

#[test]
fn an_empty_file_is_malformed() {
    assert_matches!(parse(""), Err(SettingsError::Malformed { .. }));
}

#[test]
fn a_missing_file_is_reported_with_its_path() {
    let error = Settings::read(Path::new("/nonexistent/settings.yaml")).expect_err("no such file");
    assert!(
        error
            .to_string()
            .starts_with("/nonexistent/settings.yaml: cannot be read"),
        "{error}"
    );
}

/// Durations in ms may be written as integers or as fractions.
#[test]
fn fractions_of_milliseconds_are_truncated() {
    let text = VALID
        .replace("contact_ms: 5000", "contact_ms: 5000.5")
        .replace("3000", "3000.0");
    let bounds = parse(&text).expect("valid").timing_bounds;
    assert_eq!((bounds.contact_ms, bounds.drain_timeout_ms), (5_000, 3_000));
}

#[test]
fn a_missing_listener_is_named() {
    let line = SettingsError::MissingListener {
        name: "control_plane",
    }
    .to_string();
    assert!(line.contains("listeners_map.control_plane"), "{line}");
}
