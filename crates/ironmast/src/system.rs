//! The command line of the system's roles: `ironmast gate`, `ironmast agent`, `ironmast
//! coordinator`. Each reads its settings from the file that `IRONMAST_CONFIG` names.

use std::ffi::OsString;
use std::process::ExitCode;

use eyre::{Result, WrapErr as _, bail};
use ironmast_schema::settings::Settings;
use lexopt::prelude::{Long, Short, Value, ValueExt as _};
use slog::Logger;

use crate::logging::{self, LogFormat, LogLevel};

/// A role of the system, each run as a process of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// Forwards clients' requests to servers.
    Gate,
    /// Passes the control plane's entries to the gate beside it and reports that gate's status.
    Agent,
    /// Replicates the control state.
    Coordinator,
}

impl Role {
    /// The role of a subcommand; `None` if the name is not that of a role.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        match name {
            "gate" => Some(Role::Gate),
            "agent" => Some(Role::Agent),
            "coordinator" => Some(Role::Coordinator),
            _ => None,
        }
    }
}

/// Runs a role with the arguments that follow its name.
pub(crate) fn main(role: Role, arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match run(role, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ironmast: {}", format!("{error:#}").replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run(role: Role, arguments: impl IntoIterator<Item = OsString>) -> Result<()> {
    let Some((format, level)) = log_options(arguments)? else {
        return Ok(());
    };
    let settings = Settings::from_environment()?;
    // A dedicated thread writes the log, so that a slow reader of the log does not block the role.
    let (log, _guard) = logging::root(format, level, &settings.node_name);
    start(role, settings, log)
}

fn start(role: Role, settings: Settings, log: Logger) -> Result<()> {
    match role {
        Role::Gate => ironmast_gate::run(settings, log),
        Role::Agent => ironmast_agent::run(settings, log),
        Role::Coordinator => ironmast_coordinator::run(settings, log),
    }
}

const USAGE: &str =
    "usage: ironmast gate|agent|coordinator [--log-format text|json] [--log-level warning|info|debug]
Settings are read from the YAML file that IRONMAST_CONFIG names.";

/// Parses the options for the log's format and lowest level; `None` if help was printed instead.
fn log_options(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Option<(LogFormat, LogLevel)>> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let (mut format, mut level) = (LogFormat::Text, LogLevel::Info);
    while let Some(argument) = parser.next().wrap_err(USAGE)? {
        match argument {
            Long("log-format") => format = parse_format(&parser.value()?.string()?)?,
            Long("log-level") => level = parse_level(&parser.value()?.string()?)?,
            Short('h') | Long("help") => {
                println!("{USAGE}");
                return Ok(None);
            }
            Value(value) => bail!("unexpected argument {value:?}; {USAGE}"),
            other => return Err(other.unexpected()).wrap_err(USAGE),
        }
    }
    Ok(Some((format, level)))
}

fn parse_format(name: &str) -> Result<LogFormat> {
    match name {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => bail!("--log-format {name}: must be text or json"),
    }
}

fn parse_level(name: &str) -> Result<LogLevel> {
    match name {
        "warning" => Ok(LogLevel::Warning),
        "info" => Ok(LogLevel::Info),
        "debug" => Ok(LogLevel::Debug),
        _ => bail!("--log-level {name}: must be warning, info or debug"),
    }
}
