//! The laboratory's command line: plays scenarios in the emulator and shows what came of it.
#![forbid(unsafe_code)]

mod compare;
mod days;
mod files;
mod hunt;
mod membership;
mod pictures;
mod play;
mod stage;
mod statistics;
mod sweep;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use ironmast_emulator::PolicyName;

use files::{Loaded, load};
use play::{Jobs, MeasuredReport, Trial};

/// Emulates fleets of proxies and servers, compares policies, and hunts for broken rules.
#[derive(Parser)]
#[command(version, about, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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
        many: Many,
    },
    /// Plays a scenario with one figure varied.
    Sweep {
        /// The scenario's file.
        scenario: PathBuf,
        /// What to vary: PATH=FROM..TO[:STEPS], as in clients.rate=100..900:9 or
        /// trouble.0.factor=1..8.
        #[allow(rustdoc::broken_intra_doc_links, reason = "printed by --help as it is")]
        #[arg(long)]
        vary: sweep::Vary,
        #[command(flatten)]
        many: Many,
    },
    /// Draws random troubles, looks for broken rules, panics, stuck requests and service far under
    /// a reference, and shrinks what it finds. Ends with 1 where something was found.
    Hunt {
        /// Draw troubles for this scenario; whole scenarios are drawn where it is left out.
        scenario: Option<PathBuf>,
        /// The seeds, as in 0..2000 (the last one is left out).
        #[arg(long, default_value = "0..200")]
        seeds: hunt::Seeds,
        /// Ends after this time, with what was found so far.
        #[arg(long)]
        minutes: Option<f64>,
        /// The policy that is hunted.
        #[arg(long, default_value = "module")]
        policy: PolicyName,
        /// The policy whose service is the reference.
        #[arg(long, default_value = "two-choices")]
        reference: PolicyName,
        /// Service this far under the reference's is a finding.
        #[arg(long, default_value_t = 0.25)]
        gap: f64,
        /// Where scenario files of findings go.
        #[arg(long)]
        out: PathBuf,
    },
    /// Plays days of the system on the operators' bench, over seeds, and lists what broke. Plays
    /// that are kept from an earlier call aren't repeated. Ends with 1 where a rule was broken or a
    /// play gave no report.
    Days(days::Days),
}

#[derive(Args)]
struct Many {
    /// The policies, the one that others are held against first.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "module,two-choices,zone-round-robin,ceiling"
    )]
    policies: Vec<PolicyName>,
    /// Seeds 1 to N, the same for every policy.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Where tables, pictures and the report go.
    #[arg(long)]
    out: PathBuf,
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(problem) => {
            eprintln!("ironmast-testbed: {problem}");
            ExitCode::from(2)
        }
    }
}

#[expect(clippy::too_many_lines, reason = "one arm for each subcommand")]
fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Check { scenario } => {
            let Loaded { scenario, .. } = load(&scenario)?;
            let servers: u32 = scenario.pool.iter().map(|p| p.servers).sum();
            let load = scenario.clients.rate / scenario.capacity();
            println!(
                "sound: {} for {} s, {} proxies, {servers} servers, {} requests a second ({:.0} % of what warm \
                 servers can do), {} troubles",
                scenario.name,
                scenario.length_s,
                scenario.proxies.count,
                scenario.clients.rate,
                load * 100.0,
                scenario.trouble.len()
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Emulate {
            scenario,
            seed,
            policy,
            json,
        } => {
            let Loaded { scenario, .. } = load(&scenario)?;
            let jobs = Jobs::begin(1)?;
            if let Some(path) = json.as_deref().filter(|p| *p != Path::new("-")) {
                files::check_writable(path)?;
            }
            let Some(note) = jobs.run(&Trial {
                scenario: &scenario,
                policy,
                seed,
            }) else {
                return Ok(ExitCode::from(130));
            };
            jobs.end();
            match json.as_deref() {
                Some(path) => files::write_json(path, &note)?,
                None => println!("{}", lines(&note)),
            }
            Ok(if note.report.breaks == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(1)
            })
        }
        Command::Compare { scenarios, many } => {
            let loaded = scenarios
                .iter()
                .map(|p| load(p))
                .collect::<Result<Vec<_>, _>>()?;
            let scenarios = loaded.into_iter().map(|l| l.scenario).collect();
            compare::run(scenarios, &distinct(many.policies), many.seeds, &many.out)
        }
        Command::Sweep {
            scenario,
            vary,
            many,
        } => sweep::run(
            &load(&scenario)?,
            &vary,
            &distinct(many.policies),
            many.seeds,
            &many.out,
        ),
        Command::Stage {
            scenario,
            proxy,
            json,
            logs,
        } => stage::run(stage::StageArguments {
            scenario: Some(scenario),
            proxy,
            json,
            logs,
        }),
        Command::Membership {
            members,
            loss,
            seconds,
            seed,
            json,
        } => membership::run(&membership::Trial {
            members,
            loss,
            seconds,
            seed,
            json,
        }),
        Command::Demo { proxy } => stage::run(stage::StageArguments {
            scenario: None,
            proxy,
            json: None,
            logs: None,
        }),
        Command::Days(days) => days::run(&days),
        Command::Hunt {
            scenario,
            seeds,
            minutes,
            policy,
            reference,
            gap,
            out,
        } => {
            let base = scenario
                .map(|path| load(&path))
                .transpose()?
                .map(|l| l.scenario);
            hunt::run(&hunt::Hunt {
                base,
                seeds,
                minutes,
                policy,
                reference,
                gap,
                out,
            })
        }
    }
}

/// The policies in their order, each once.
fn distinct(policies: Vec<PolicyName>) -> Vec<PolicyName> {
    let mut kept = Vec::new();
    for policy in policies {
        if !kept.contains(&policy) {
            kept.push(policy);
        }
    }
    kept
}

/// A run's result for people.
fn lines(note: &MeasuredReport) -> String {
    let r = &note.report;
    let (q, l) = (&r.requests, &r.latency_us);
    let ms = |us: u64| us as f64 / 1e3;
    let mut text = format!(
        "{} seed {} under {}: service {:.4}, worst window {:.3}, worst class {:.3}, worst zone {:.3}\n\
         requests: {} asked, {} served in time, {} late, {} refused, {} failed\n\
         latency, ms: {:.1} median, {:.1} of nine in ten, {:.1} of 99 in 100, {:.1} of 999 in 1000, {:.1} most\n\
         servers: {:.1} % busy, the busiest {:.1} %; {} attempts, {} across zones, {} probes\n",
        r.scenario,
        r.seed,
        r.policy,
        r.service,
        r.worst_window,
        r.worst_class,
        r.worst_zone,
        q.asked,
        q.served,
        q.late,
        q.refused,
        q.failed,
        ms(l.p50),
        ms(l.p90),
        ms(l.p99),
        ms(l.p999),
        ms(l.max),
        r.servers.mean * 100.0,
        r.servers.greatest * 100.0,
        r.traffic.attempts,
        r.traffic.cross_zone,
        r.traffic.probes
    );
    for (name, class) in &r.by_class {
        text += &format!(
            "class {name}: service {:.4} of {} asked\n",
            class.service, class.counts.asked
        );
    }
    text += &format!(
        "digest {}; {} events in {:.2} s, {} MB at most\n",
        r.digest, r.events, note.wall_s, note.peak_rss_mb
    );
    text += &match r.breaks {
        0 => "no rule broken".to_string(),
        n => format!("{n} RULES BROKEN, the first:"),
    };
    for b in r.rules_broken.iter().take(5) {
        text += &format!(
            "\n  {:?} at {:.3} s by proxy {}, server {:?}, request {:?}: {}",
            b.rule, b.at_s, b.proxy, b.server, b.request, b.what
        );
    }
    text
}
