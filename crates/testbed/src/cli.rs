//! The command line. Doc comments here are printed by `--help`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use ironmast_emulator::PolicyName;

use crate::{days, hunt, sweep};

/// Emulates fleets of proxies and servers, compares policies, and hunts for broken rules.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Reads a scenario and says what it is, or what is wrong with it.
    Check {
        /// The scenario's file.
        scenario: PathBuf,
    },
    /// Plays a stage scenario with real proxies on loopback: a table a second, then one verdict.
    /// Ends with 1 where something ran twice, was served without a run, or is not as the scenario's
    /// [expect] table says.
    #[allow(rustdoc::broken_intra_doc_links, reason = "printed by --help as it is")]
    Stage {
        /// The stage scenario's file (see scenarios/stage/).
        scenario: PathBuf,
        /// The ironmast program; by default the one beside this program.
        #[arg(long, value_name = "PATH")]
        proxy: Option<PathBuf>,
        /// Writes the verdict as JSON there; - for standard output.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes each proxy's log into this folder.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
    },
    /// Pay servers in two zones, discovery, three proxies and their load; the proxies' zone is cut
    /// off for 10 s and comes back. A table a second for 30 s.
    Demo {
        /// The ironmast program; by default the one beside this program.
        #[arg(long, value_name = "PATH")]
        proxy: Option<PathBuf>,
    },
    /// Plays the proxies' membership protocol in simulated time: false downs under loss, bytes a
    /// second, the time a death takes to be known to all. Ends with 1 where it was not known within
    /// 60 s.
    Membership {
        /// Members of the tier, 2 to 5,000.
        #[arg(long, default_value_t = 16)]
        members: usize,
        /// The share of datagrams lost, 0 to 0.9.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Seconds under loss before the death, 1 to 3,600.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// The seed of the losses.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// One line of JSON in place of the line for people.
        #[arg(long)]
        json: bool,
    },
    /// Plays one run and prints what the judge found. Ends with 1 where a rule was broken.
    Emulate {
        /// The scenario's file.
        scenario: PathBuf,
        /// The seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The policy in the proxies.
        #[arg(long, default_value = "module")]
        policy: PolicyName,
        /// Writes the result as JSON there; - for standard output, in place of the lines for
        /// people.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Plays scenarios under several policies and the same seeds; tables, CSV, pictures and a
    /// report.
    Compare {
        /// The scenarios' files.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[command(flatten)]
        comparison: ComparisonArguments,
    },
    /// Plays a scenario with one figure varied.
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
    /// Draws random troubles, looks for broken rules, panics, stuck requests and service far under
    /// a reference, and shrinks what it finds. Ends with 1 where something was found.
    Hunt(hunt::Hunt),
    /// Plays days of the system on the operators' bench, over seeds, and lists what broke. Plays
    /// that are kept from an earlier call aren't repeated. Ends with 1 where a rule was broken or a
    /// play gave no report.
    Days(days::Days),
}

#[derive(Args)]
pub(crate) struct ComparisonArguments {
    /// The policies, the one that others are held against first.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module,two-choices,zone-round-robin,ceiling"
    )]
    pub policies: Vec<PolicyName>,
    /// Seeds 1 to N, the same for every policy.
    #[arg(long, default_value_t = 8)]
    pub seeds: u64,
    /// Where tables, pictures and the report go.
    #[arg(long)]
    pub out: PathBuf,
}
