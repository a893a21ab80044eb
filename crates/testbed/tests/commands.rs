//! Tests of the command line: results, exit codes, and invalid input reported in one line.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Runs `ironmast-testbed` with these arguments.
fn testbed(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ironmast-testbed"))
        .args(arguments)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Asserts the exit code; a failure shows the output of the program.
#[track_caller]
fn assert_exit_code(output: &Output, expected: i32) {
    let printed = text(&output.stdout) + &text(&output.stderr);
    assert_eq!(output.status.code(), Some(expected), "{printed}");
}

fn scenarios_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

/// The path of a shipped scenario.
fn scenario(name: &str) -> String {
    let path = scenarios_directory().join(format!("{name}.toml"));
    path.to_string_lossy().into_owned()
}

/// Writes a shipped scenario with a shorter length, so that the test is quick, and returns its
/// path.
fn shortened_scenario(directory: &Path, name: &str, length_s: f64) -> String {
    let original = fs::read_to_string(scenario(name)).expect("shipped");
    let length = format!("length_s = {length_s:.1}");
    let shortened = original.replacen("length_s = 60.0", &length, 1);
    assert_ne!(original, shortened);
    let path = directory.join(format!("{name}.toml"));
    fs::write(&path, shortened).expect("written");
    path.to_string_lossy().into_owned()
}

/// The lines of the CSV file that a command wrote.
fn csv_lines(out: &Path) -> Vec<String> {
    let csv = fs::read_to_string(out.join("runs.csv")).expect("written");
    csv.lines().map(String::from).collect()
}

#[test]
fn all_shipped_scenarios_are_valid() {
    let entries = fs::read_dir(scenarios_directory()).expect("the scenarios");
    let paths = entries.flatten().map(|entry| entry.path());
    let files: Vec<PathBuf> = paths.filter(|path| path.is_file()).collect();
    assert!(files.len() >= 10);
    for file in files {
        let output = testbed(&["check", &file.to_string_lossy()]);
        let name = file.file_stem().expect("a name").to_string_lossy();
        assert!(
            output.status.success() && text(&output.stdout).starts_with(&format!("sound: {name} ")),
            "{output:?}"
        );
    }
}

#[test]
fn the_json_of_a_run_has_all_keys_and_repeats_with_the_seed() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = shortened_scenario(directory.path(), "zone-loss", 20.0);
    let run = || {
        let output = testbed(&["emulate", &file, "--seed", "3", "--json", "-"]);
        assert_exit_code(&output, 0);
        serde_json::from_slice::<serde_json::Value>(&output.stdout).expect("JSON")
    };
    let (first, second) = (run(), run());
    assert_eq!(first["digest"], second["digest"]);
    for key in [
        "scenario",
        "seed",
        "policy",
        "digest",
        "service",
        "by_class",
        "worst_window",
        "requests",
        "rules_broken",
        "latency_us",
        "servers",
        "events",
        "wall_s",
        "peak_rss_mb",
    ] {
        assert!(!first[key].is_null(), "{key} is missing");
    }
    let requests = &first["requests"];
    let count = |key: &str| requests[key].as_u64().expect("a count");
    assert_eq!(
        count("asked"),
        count("served") + count("late") + count("refused") + count("failed")
    );
    assert!(count("asked") > 1_000);
    assert!(first["rules_broken"].as_array().is_some_and(Vec::is_empty));
}

#[test]
fn a_comparison_writes_a_table_csv_and_a_report_that_needs_no_other_file() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = shortened_scenario(directory.path(), "rolling-deploy", 12.0);
    let out = directory.path().join("out");
    let output = testbed(&[
        "compare",
        &file,
        "--policies",
        "module,random",
        "--seeds",
        "2",
        "--out",
        &out.to_string_lossy(),
    ]);
    assert_exit_code(&output, 0);
    let table = text(&output.stdout);
    assert!(table.contains("service against module"), "{table}");
    let csv = csv_lines(&out);
    assert_eq!(csv.len(), 5, "a header and four runs");
    let columns = |line: &String| line.split(',').count();
    assert!(
        csv.iter().all(|line| columns(line) == columns(&csv[0])),
        "{csv:?}"
    );
    let report = fs::read_to_string(out.join("report.html")).expect("written");
    assert_eq!(report.matches("<svg").count(), 5);
    assert!(!report.contains("src=") && !report.contains("href="));
}

#[test]
fn a_sweep_writes_csv_and_charts() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = shortened_scenario(directory.path(), "rolling-deploy", 12.0);
    let out = directory.path().join("out");
    let output = testbed(&[
        "sweep",
        &file,
        "--vary",
        "clients.rate=100..400:3",
        "--policies",
        "module",
        "--seeds",
        "2",
        "--out",
        &out.to_string_lossy(),
    ]);
    assert_exit_code(&output, 0);
    assert_eq!(csv_lines(&out).len(), 7, "a header and six runs");
    assert!(out.join("service.svg").exists() && out.join("p99.svg").exists());
}

#[test]
fn invalid_input_is_reported_in_one_line_before_anything_is_run() {
    let directory = tempfile::tempdir().expect("a directory");
    let (quiet, large) = (scenario("quiet"), scenario("large"));
    let valid = fs::read_to_string(&quiet).expect("shipped");
    let rate_line = valid.lines().position(|line| line.starts_with("rate"));
    let rate_line = rate_line.expect("a rate") + 1;
    let invalid = directory.path().join("bad.toml");
    fs::write(&invalid, valid.replacen("rate = 380.0", "rate = -1.0", 1)).expect("written");
    let invalid = invalid.to_string_lossy();
    let file = directory.path().join("file");
    fs::write(&file, "").expect("written");
    let below_file = file.join("out").to_string_lossy().into_owned();
    for (arguments, expected) in [
        (
            vec!["check", &*invalid],
            format!("line {rate_line}: clients.rate is -1, expected"),
        ),
        (
            vec!["check", "nowhere.toml"],
            "nowhere.toml: No such file".into(),
        ),
        // Runs with these arguments would take minutes: they must be rejected before any run.
        (
            vec!["compare", &large, "--out", &below_file],
            "Not a directory".into(),
        ),
        (
            vec!["emulate", &large, "--json", &below_file],
            "Not a directory".into(),
        ),
        (
            vec!["hunt", "--seeds", "0..1000000", "--out", &below_file],
            "Not a directory".into(),
        ),
        (
            vec![
                "sweep",
                &large,
                "--vary",
                "clients.speed=1..2",
                "--out",
                &below_file,
            ],
            "unknown field `speed`".into(),
        ),
        (
            vec!["compare", &quiet, &quiet, "--out", &below_file],
            "two scenarios are called `quiet`".into(),
        ),
    ] {
        let output = testbed(&arguments);
        let message = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {message}");
        assert!(
            message.lines().count() == 1 && message.contains(&expected),
            "{arguments:?}: {message}"
        );
    }
}

/// Searches 60 seeds for broken rules, panics and runs that do not terminate; a gap of 1 accepts
/// any service. Longer hunts are run by hand.
#[test]
fn the_module_breaks_no_rule_in_a_short_hunt() {
    let directory = tempfile::tempdir().expect("a directory");
    let out = directory.path().to_string_lossy();
    let output = testbed(&["hunt", "--seeds", "0..60", "--gap", "1", "--out", &out]);
    assert_exit_code(&output, 0);
    let printed = text(&output.stdout);
    assert!(printed.contains("60 of 60 seeds played"), "{printed}");
}

/// A stub of the operators' bench, and the directory in which its output is stored.
#[cfg(unix)]
struct StubBench {
    directory: tempfile::TempDir,
    out: String,
    program: String,
}

#[cfg(unix)]
impl StubBench {
    /// Writes the stub, a shell script: it records its calls and prints a report, with a broken
    /// rule for seed 2.
    fn new() -> StubBench {
        use std::os::unix::fs::PermissionsExt;
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("bench");
        let script = format!(
            "#!/bin/sh\n\
             echo \"$*\" >> {}/calls\n\
             case \"$*\" in *'--seed 2 '*) broken='  BROKEN: CONFIG 3 (else 0.92)';; esac\n\
             echo 'day  own/srv  score  worth served refused failed  weakest part'\n\
             echo \"cut  11/16   1.00  0.800  0.961   0.004  0.012  worst windows 0.67$broken\"\n",
            directory.path().display()
        );
        fs::write(&path, script).expect("written");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("set");
        StubBench {
            out: directory.path().join("out").to_string_lossy().into_owned(),
            program: path.to_string_lossy().into_owned(),
            directory,
        }
    }

    /// The command that runs the day `cut` on the site `small`, with further arguments.
    fn command(&self, extra: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast-testbed"));
        command.args(["days", "cut.toml", "--site", "small.toml"]);
        command.args(["--why", "a test", "--out", &self.out]);
        command.args(["--bench", &self.program]).args(extra);
        command
    }

    fn run(&self, seeds: &str) -> Output {
        let mut command = self.command(&["--seeds", seeds, "--jobs", "2"]);
        command.output().expect("it runs")
    }

    /// The arguments of each call so far.
    fn calls(&self) -> Vec<String> {
        let calls = fs::read_to_string(self.directory.path().join("calls")).expect("calls");
        calls.lines().map(String::from).collect()
    }
}

#[cfg(unix)]
#[test]
fn a_day_without_broken_rules_is_run_with_its_seed_and_reason() {
    let bench = StubBench::new();
    assert_exit_code(&bench.run("1"), 0);
    assert_eq!(
        bench.calls(),
        ["run small.toml cut.toml --jobs 1 --seed 1 --why a test"]
    );
}

#[cfg(unix)]
#[test]
fn days_are_run_once_and_broken_rules_are_listed() {
    let bench = StubBench::new();
    assert_exit_code(&bench.run("1"), 0);

    let output = bench.run("3");
    assert_exit_code(&output, 1);
    assert!(
        text(&output.stdout).starts_with("cut on small, seed 2: worth 0.800, CONFIG 3\n"),
        "{output:?}"
    );
    assert_eq!(bench.calls().len(), 3, "a stored run is not repeated");

    bench.run("3");
    assert_eq!(bench.calls().len(), 3);
}

#[cfg(target_os = "linux")]
#[test]
fn days_are_run_although_their_progress_cannot_be_written() {
    let bench = StubBench::new();
    let mut options = fs::OpenOptions::new();
    let full_disk = options.write(true).open("/dev/full").expect("a device");
    let output = bench
        .command(&["--first-seed", "3", "--seeds", "4"])
        .stderr(full_disk)
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(
        text(&output.stdout).ends_with("cut  small      4       0      0          0       0.800\n"),
        "{output:?}"
    );
}

#[test]
fn a_bench_that_does_not_exist_is_reported() {
    let directory = tempfile::tempdir().expect("a directory");
    let out = directory.path().join("out").to_string_lossy().into_owned();
    let output = testbed(&[
        "days",
        "cut.toml",
        "--bench",
        "/nowhere/bench",
        "--site",
        "s.toml",
        "--why",
        "-",
        "--out",
        &out,
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output.stderr).contains("/nowhere/bench"),
        "{output:?}"
    );
}
