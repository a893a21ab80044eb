//! The command line of `ironmast`: the client proxy (`run`, `check-config`) and the roles of the
//! system (`gate`, `agent`, `coordinator`).
#![forbid(unsafe_code)]

mod logging;
mod system;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::Result;
use ironmast_client_proxy::config::Config;
use ironmast_client_proxy::serve;
use logging::{LogFormat, LogLevel};

/// A client proxy with zone-first routing: requests stay in the proxy's zone while it has a usable
/// server, otherwise they go to all zones.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Format of the log on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// Lowest level that is logged; `debug` logs the course of each request.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

#[derive(Subcommand)]
enum Command {
    /// Serves until SIGTERM. Settings are read from the file that `GW_CONFIG` names; `GW_NAME`,
    /// `GW_LISTEN` and `GW_DISCOVERY` override it.
    Run,
    /// Reads a configuration as `run` does, prints a summary and exits: with 0 if the configuration
    /// is valid, otherwise with 1.
    CheckConfig {
        /// The configuration file; by default the one that `GW_CONFIG` names.
        path: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let role = arguments
        .next()
        .and_then(|name| system::Role::from_name(name.to_str()?));
    if let Some(role) = role {
        return system::main(role, arguments);
    }
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Run => run(cli.log_format, cli.log_level),
        Command::CheckConfig { path } => check_config(path.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ironmast: {}", format!("{error:#}").replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Runs the client proxy until a signal terminates it.
fn run(format: LogFormat, level: LogLevel) -> Result<()> {
    let config = Config::read(environment_variable)?;
    // A dedicated thread writes the log, so that a slow reader of the log does not block the proxy.
    let (log, _guard) = logging::root(format, level, &config.name);
    actix_rt::System::new().block_on(serve::run(config, log))
}

/// Reads the configuration at `path`, or the one that the environment names, and prints a summary.
fn check_config(path: Option<&Path>) -> Result<()> {
    let path = path.map(|path| path.to_string_lossy().into_owned());
    let env = |name: &str| {
        let path = path.clone().filter(|_| name == "GW_CONFIG");
        path.or_else(|| environment_variable(name))
    };
    println!("{}", Config::read(env)?.summary());
    Ok(())
}

/// The value of an environment variable; `None` if it is not set or not UTF-8.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
