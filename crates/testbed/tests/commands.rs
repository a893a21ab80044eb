//! The command line as a user meets it: results, exit codes, bad input in one line.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ironmast-testbed"))
        .args(args)
        .output()
        .expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn scenario(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../scenarios")
        .join(format!("{name}.toml"));
    path.to_string_lossy().into_owned()
}

/// A shipped scenario, cut short so that tests stay quick.
fn short(folder: &Path, name: &str, length_s: f64) -> String {
    let text = std::fs::read_to_string(scenario(name)).expect("shipped");
    let cut = text.replacen("length_s = 60.0", &format!("length_s = {length_s:.1}"), 1);
    assert_ne!(text, cut);
    let path = folder.join(format!("{name}.toml"));
    std::fs::write(&path, cut).expect("written");
    path.to_string_lossy().into_owned()
}

#[test]
fn all_shipped_scenarios_are_sound() {
    let files = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios"))
        .expect("there");
    let files: Vec<PathBuf> = files
        .flatten()
        .map(|f| f.path())
        .filter(|p| p.is_file())
        .collect();
    assert!(files.len() >= 10);
    for file in files {
        let out = lab(&["check", &file.to_string_lossy()]);
        let name = file
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        assert!(
            out.status.success() && text(&out.stdout).starts_with(&format!("sound: {name} ")),
            "{out:?}"
        );
    }
}

#[test]
fn a_run_is_told_in_json_and_repeats() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = short(folder.path(), "zone-loss", 20.0);
    let run = || {
        let out = lab(&["emulate", &file, "--seed", "3", "--json", "-"]);
        assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
        serde_json::from_slice::<serde_json::Value>(&out.stdout).expect("JSON")
    };
    let (a, b) = (run(), run());
    assert_eq!(a["digest"], b["digest"]);
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
        assert!(!a[key].is_null(), "{key} is missing");
    }
    let q = &a["requests"];
    let count = |key: &str| q[key].as_u64().expect("a count");
    assert_eq!(
        count("asked"),
        count("served") + count("late") + count("refused") + count("failed")
    );
    assert!(count("asked") > 1_000 && a["rules_broken"].as_array().is_some_and(Vec::is_empty));
}

#[test]
fn comparisons_and_sweeps_leave_tables_and_pictures() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = short(folder.path(), "rolling-deploy", 12.0);
    let out = folder.path().join("out");
    let to = out.to_string_lossy();
    let done = lab(&[
        "compare",
        &file,
        "--policies",
        "module,random",
        "--seeds",
        "2",
        "--out",
        &to,
    ]);
    assert_eq!(done.status.code(), Some(0), "{}", text(&done.stderr));
    assert!(
        text(&done.stdout).contains("service against module"),
        "{}",
        text(&done.stdout)
    );
    let csv = std::fs::read_to_string(out.join("runs.csv")).expect("written");
    assert_eq!(csv.lines().count(), 5, "a head and four runs");
    let columns = csv.lines().next().expect("a head").split(',').count();
    assert!(
        csv.lines().all(|l| l.split(',').count() == columns),
        "{csv}"
    );
    let page = std::fs::read_to_string(out.join("report.html")).expect("written");
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "it needs no other file"
    );
    let vary = [
        "--vary",
        "clients.rate=100..400:3",
        "--policies",
        "module",
        "--seeds",
        "2",
    ];
    let done = lab(&[&["sweep", file.as_str()], &vary[..], &["--out", &to]].concat());
    assert_eq!(done.status.code(), Some(0), "{}", text(&done.stderr));
    assert_eq!(
        std::fs::read_to_string(out.join("runs.csv"))
            .expect("written")
            .lines()
            .count(),
        7
    );
    assert!(out.join("service.svg").exists() && out.join("p99.svg").exists());
}

#[test]
fn bad_input_ends_with_one_line_before_anything_is_played() {
    let folder = tempfile::tempdir().expect("a folder");
    let bad = folder.path().join("bad.toml");
    let sound = std::fs::read_to_string(scenario("quiet")).expect("shipped");
    std::fs::write(&bad, sound.replacen("rate = 380.0", "rate = -1.0", 1)).expect("written");
    let (bad, quiet, large) = (bad.to_string_lossy(), scenario("quiet"), scenario("large"));
    let blocked = folder.path().join("file");
    std::fs::write(&blocked, "").expect("written");
    let inside = blocked.join("out").to_string_lossy().into_owned();
    let line = sound
        .lines()
        .position(|l| l.starts_with("rate"))
        .expect("there")
        + 1;
    for (args, told) in [
        (
            vec!["check", &*bad],
            format!("line {line}: clients.rate is -1, expected"),
        ),
        (
            vec!["check", "nowhere.toml"],
            "nowhere.toml: No such file".into(),
        ),
        // A run of these would take minutes: they are refused at once.
        (
            vec!["compare", &large, "--out", &inside],
            "Not a directory".into(),
        ),
        (
            vec!["emulate", &large, "--json", &inside],
            "Not a directory".into(),
        ),
        (
            vec!["hunt", "--seeds", "0..1000000", "--out", &inside],
            "Not a directory".into(),
        ),
        (
            vec![
                "sweep",
                &large,
                "--vary",
                "clients.speed=1..2",
                "--out",
                &inside,
            ],
            "unknown field `speed`".into(),
        ),
        (
            vec!["compare", &quiet, &quiet, "--out", &inside],
            "two scenarios are called `quiet`".into(),
        ),
    ] {
        let out = lab(&args);
        let said = text(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{args:?}: {said}");
        assert!(
            said.lines().count() == 1 && said.contains(&told),
            "{args:?}: {said}"
        );
    }
}

/// A short hunt for broken rules, panics and runs without end. Longer ones are run by hand.
#[test]
fn the_module_breaks_no_rule_in_a_short_hunt() {
    let folder = tempfile::tempdir().expect("a folder");
    let to = folder.path().to_string_lossy();
    let out = lab(&["hunt", "--seeds", "0..60", "--gap", "1", "--out", &to]);
    assert_eq!(
        out.status.code(),
        Some(0),
        "{}{}",
        text(&out.stdout),
        text(&out.stderr)
    );
    assert!(
        text(&out.stdout).contains("60 of 60 seeds played"),
        "{}",
        text(&out.stdout)
    );
}

/// A stand-in for the operators' bench: notes its call and prints a report that breaks a rule with
/// seed 2.
#[cfg(unix)]
fn stand_in_bench(folder: &Path) -> String {
    use std::os::unix::fs::PermissionsExt;
    let path = folder.join("bench");
    let script = format!(
        "#!/bin/sh\n\
         echo \"$*\" >> {}/calls\n\
         case \"$*\" in *'--seed 2 '*) broken='  BROKEN: CONFIG 3 (else 0.92)';; esac\n\
         echo 'day  own/srv  score  worth served refused failed  weakest part'\n\
         echo \"cut  11/16   1.00  0.800  0.961   0.004  0.012  worst windows 0.67$broken\"\n",
        folder.display()
    );
    std::fs::write(&path, script).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("set");
    path.to_string_lossy().into_owned()
}

#[cfg(unix)]
#[test]
fn days_are_played_once_and_broken_rules_are_listed() {
    let folder = tempfile::tempdir().expect("a folder");
    let bench = stand_in_bench(folder.path());
    let out = folder.path().join("out").to_string_lossy().into_owned();
    let play = |seeds: &str| {
        let given = [
            "--bench",
            &bench,
            "--site",
            "small.toml",
            "--seeds",
            seeds,
            "--jobs",
            "2",
        ];
        lab(&[
            &["days", "cut.toml", "--why", "a test", "--out", &out],
            &given[..],
        ]
        .concat())
    };
    let calls = || {
        std::fs::read_to_string(folder.path().join("calls"))
            .expect("calls")
            .lines()
            .map(String::from)
            .collect::<Vec<_>>()
    };

    let sound = play("1");
    assert_eq!(sound.status.code(), Some(0), "{}", text(&sound.stderr));
    assert_eq!(
        calls(),
        ["run small.toml cut.toml --jobs 1 --seed 1 --why a test"]
    );

    let broken = play("3");
    assert_eq!(broken.status.code(), Some(1), "{}", text(&broken.stderr));
    assert!(
        text(&broken.stdout).starts_with("cut on small, seed 2: worth 0.800, CONFIG 3\n"),
        "{broken:?}"
    );
    assert_eq!(calls().len(), 3, "what is kept is not played again");

    play("3");
    assert_eq!(calls().len(), 3);
}

#[cfg(target_os = "linux")]
#[test]
fn days_are_played_although_their_progress_cannot_be_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let bench = stand_in_bench(folder.path());
    let out = folder.path().join("out").to_string_lossy().into_owned();
    let full = std::fs::OpenOptions::new()
        .write(true)
        .open("/dev/full")
        .expect("a device");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ironmast-testbed"));
    command.args([
        "days",
        "cut.toml",
        "--why",
        "a test",
        "--out",
        &out,
        "--bench",
        &bench,
        "--site",
        "small.toml",
    ]);
    let played = command
        .args(["--first-seed", "3", "--seeds", "4"])
        .stderr(full)
        .output()
        .expect("it runs");
    assert_eq!(played.status.code(), Some(0), "{played:?}");
    assert!(
        text(&played.stdout).ends_with("cut  small      4       0      0          0       0.800\n"),
        "{played:?}"
    );
}

#[test]
fn a_bench_that_is_not_there_is_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().join("out").to_string_lossy().into_owned();
    let told = lab(&[
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
    assert_eq!(told.status.code(), Some(2));
    assert!(text(&told.stderr).contains("/nowhere/bench"), "{told:?}");
}
