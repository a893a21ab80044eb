//! The command line. Doc comments here are printed by `--help`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use ironmast_emulator::PolicyName;

use crate::{days, hunt, sweep};

/// Simulates fleets of proxies and servers, compares policies, searches for broken rules, and runs
/// real proxies with injected faults.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Validates a scenario and prints a summary of it.
    Check {
        /// The scenario's file.
        scenario: PathBuf,
    },
    /// Runs a fault-injection scenario with real proxies on loopback: one row a second, then the
    /// verdict. The exit code is 1 if a non-idempotent request was executed twice, a request was
    /// answered as served without an execution, or the result differs from the scenario's [expect]
    /// table.
    #[allow(rustdoc::broken_intra_doc_links, reason = "printed by --help as it is")]
    Stage {
        /// The scenario's file (see scenarios/stage/).
        scenario: PathBuf,
        /// The ironmast program [default: the one beside this program].
        #[arg(long, value_name = "PATH")]
        proxy: Option<PathBuf>,
        /// Writes the verdict as JSON to this file; - for standard output.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes each proxy's log into this directory.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
    },
    /// Runs an example of fault injection: servers of the service pay in two zones, discovery, and
    /// three proxies under load; the proxies are partitioned from the servers of their zone for 10
    /// s. One row a second for 30 s.
    Demo {
        /// The ironmast program [default: the one beside this program].
        #[arg(long, value_name = "PATH")]
        proxy: Option<PathBuf>,
    },
    /// Simulates the proxies' membership protocol: false downs (living members declared down) under
    /// datagram loss, bytes a second, and the time until all members know of a crash. The exit code
    /// is 1 if that is more than 60 s.
    Membership {
        /// The number of members, 2 to 5,000.
        #[arg(long, default_value_t = 16)]
        members: usize,
        /// The probability that a datagram is lost, 0 to 0.9.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// The time with loss before the crash in seconds, 1 to 3,600.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// The seed of the losses.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints one line of JSON in place of text.
        #[arg(long)]
        json: bool,
    },
    /// Runs a scenario once and prints the result. The exit code is 1 if a rule was broken.
    Emulate {
        /// The scenario's file.
        scenario: PathBuf,
        /// The seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The policy of the proxies.
        #[arg(long, default_value = "module")]
        policy: PolicyName,
        /// Writes the result as JSON to this file in place of text; - for standard output.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Runs scenarios under several policies with the same seeds; writes tables, CSV, charts and a
    /// report.
    Compare {
        /// The scenarios' files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[command(flatten)]
        comparison: ComparisonArguments,
    },
    /// Runs a scenario with one of its numbers varied.
    Sweep {
        /// The scenario's file.
        scenario: PathBuf,
        /// What to vary: PATH=FROM..TO[:STEPS], as in clients.rate=100..900:9 or
        /// trouble.0.factor=1..8.
        #[allow(rustdoc::broken_intra_doc_links, reason = "printed by --help as it is")]
        #[arg(long)]
        vary: sweep::Variation,
        #[command(flatten)]
        comparison: ComparisonArguments,
    },
    /// Searches random scenarios for broken rules, panics, runs that do not terminate and service
    /// far below that of a reference policy, and shrinks each finding to a simpler scenario. The
    /// exit code is 1 if there is a finding.
    Hunt(hunt::Hunt),
    /// Runs day files of the system on the operators' bench, over seeds, and lists broken rules.
    /// Runs that are stored from an earlier call are not repeated. The exit code is 1 if a rule was
    /// broken or a run gave no report.
    Days(days::Days),
}

/// The arguments that `compare` and `sweep` share.
#[derive(Args)]
pub(crate) struct ComparisonArguments {
    /// The policies; differences are computed against the first.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module,two-choices,zone-round-robin,ceiling"
    )]
    pub policies: Vec<PolicyName>,
    /// The number of seeds N; each policy is run with the seeds 1 to N.
    #[arg(long, default_value_t = 8)]
    pub seeds: u64,
    /// The directory for tables, charts and the report.
    #[arg(long)]
    pub out: PathBuf,
}
