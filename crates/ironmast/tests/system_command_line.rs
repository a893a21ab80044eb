//! Tests of the roles' command line: an invalid setting or argument is reported in one line on standard
//! error, and the exit code is not 0.

use std::path::Path;
use std::process::{Command, Output};

const ROLES: [&str; 3] = ["coordinator", "agent", "gate"];

fn run(role: &str, settings: Option<&Path>, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast"));
    command
        .arg(role)
        .args(arguments)
        .env_remove("IRONMAST_CONFIG");
    if let Some(settings) = settings {
        command.env("IRONMAST_CONFIG", settings);
    }
    command.output().expect("the program runs")
}

/// Asserts that the program failed with one line on standard error; returns that line.
fn error_line(output: &Output) -> String {
    assert!(!output.status.success(), "the program exited with success");
    let text = String::from_utf8(output.stderr.clone()).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

fn write_settings(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    file
}

#[test]
fn a_missing_configuration_path_is_reported_in_one_line() {
    for role in ROLES {
        let line = error_line(&run(role, None, &[]));
        assert!(line.contains("IRONMAST_CONFIG"), "{line}");
    }
}

#[test]
fn a_configuration_file_that_does_not_exist_is_reported_in_one_line() {
    for role in ROLES {
        let line = error_line(&run(role, Some(Path::new("/nonexistent/local.yaml")), &[]));
        assert!(line.contains("/nonexistent/local.yaml"), "{line}");
    }
}

#[test]
fn an_invalid_setting_is_reported_in_one_line_with_the_file() {
    let file = write_settings(
        "node_name: \"\"\nip_address: 127.0.0.1\nzone: z\nregion: r\ninternal_port_range: [1, 9]\n",
    );
    for role in ROLES {
        let line = error_line(&run(role, Some(file.path()), &[]));
        assert!(
            line.contains("node_name") && line.contains(&file.path().display().to_string()),
            "{line}"
        );
    }
}

#[test]
fn a_configuration_that_is_not_yaml_is_reported_in_one_line() {
    let file = write_settings("node_name: [\n");
    for role in ROLES {
        let line = error_line(&run(role, Some(file.path()), &[]));
        assert!(line.contains(&file.path().display().to_string()), "{line}");
    }
}

#[test]
fn a_missing_listener_is_reported_in_one_line() {
    let file = write_settings(
        "node_name: a\nip_address: 127.0.0.1\nzone: z\nregion: r\ninternal_port_range: [1, 9]\n",
    );
    let line = error_line(&run("coordinator", Some(file.path()), &[]));
    assert!(line.contains("listeners_map.control_plane"), "{line}");
}

#[test]
fn an_unknown_argument_is_reported_in_one_line() {
    let output = run("coordinator", None, &["--nothing"]);
    assert!(error_line(&output).contains("--nothing"));
}

#[test]
fn help_exits_with_success() {
    let output = run("coordinator", None, &["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("usage: ironmast"));
}
