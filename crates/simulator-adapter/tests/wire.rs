//! Tests of the line protocol: every event and action, unusual but valid input, and errors for
//! malformed input.

use std::fmt::Write as _;

use ironmast_simulator_adapter::Host;

const CREATE: &str = "CREATE\t3\t77\tbalancers=2\tclasses.count=2\tclasses.0.name=status\tclasses.0.objective=200000\t\
    classes.0.hard_limit=1000000\tclasses.0.effect=free\tclasses.0.worth=2.0\tclasses.1.name=submit\t\
    classes.1.objective=300000\tclasses.1.hard_limit=1000000\tclasses.1.effect=single_shot\tclasses.1.worth=8.0\t\
    discovery=subscribe\tlimits.cancelling=true\tlimits.may_duplicate=true\tlimits.retry_after=true\t\
    limits.most_tries=3\tload_report.names=active,cpu\tnew.unknown.key=7\ttick=5000\tzone=north\tzones=north,south";

const LIST: &str = "SHEET\t0\t2\nITEM\t10.0.0.1:80\tnorth\tfast\t0\tin_service\t1.5\t-\n\
    ITEM\t10.0.0.2:80\tsouth\t-\t1\tin_service\t1\t0\nVIEW\t3\t1\tC\t0";

/// Runs batches of lines; each item is the clock time of a batch in microseconds and its lines.
fn run(batches: &[(u64, &str)]) -> Result<String, String> {
    let mut input = String::new();
    for (number, (clock, lines)) in batches.iter().enumerate() {
        let lines = if lines.is_empty() {
            String::new()
        } else {
            format!("{lines}\n")
        };
        write!(input, "CLOCK\t{clock}\t{number}\n{lines}OVER_TO_YOU\n").expect("a string");
    }
    run_raw(&input)
}

fn run_raw(input: &str) -> Result<String, String> {
    let mut output = Vec::new();
    Host::new()
        .run(input.as_bytes(), &mut output)
        .map_err(|error| error.to_string())?;
    Ok(String::from_utf8(output).expect("UTF-8"))
}

fn start() -> String {
    format!("{CREATE}\n{LIST}")
}

fn after_start(lines: &str) -> String {
    run(&[(1_000_000, &start()), (1_100_000, lines)]).expect("well-formed")
}

fn error_after_start(lines: &str) -> String {
    run(&[(1_000_000, &start()), (1_100_000, lines)]).expect_err("malformed")
}

const REQUEST: &str = "REQ\t3\t9\tstatus\t1\t55\t12000\t-\t1600000";

#[test]
fn empty_batches_are_each_answered() {
    assert_eq!(run(&[(5, ""), (6, "")]).unwrap(), "EOR\t0\nEOR\t1\n");
    assert_eq!(run_raw("").unwrap(), "");
}

#[test]
fn request_is_sent_to_its_own_zone_and_ends_with_the_answer() {
    let out = after_start(REQUEST);
    assert!(out.contains("WATCH\t3\t1\n"), "{out}");
    assert!(out.contains("SEND\t3\t9\t10.0.0.1:80\t0\n"), "{out}");
    let served = format!("{REQUEST}\nSETTLED\t3\t9\tpass\t10.0.0.1:80\t0\t18500\t1\t4,0.5");
    let out = after_start(&format!("{served}\nHANGUP\t3\t9"));
    assert!(
        !out.contains("END_FAILED") && !out.contains("NOT_NOW"),
        "{out}"
    );
}

#[test]
fn every_event_is_accepted() {
    let lines = [
        REQUEST,
        "HEADERS\t3\t9\t0\t10.0.0.1:80\t900",
        "CHECKED\t3\t10.0.0.1:80\tpass\t1200\t-",
        "INBOX\t3\t1\t0a0bff",
        "INBOX\t3\t1\t-",
        "DEADLINE_HIT\t3\t123456",
        "HANGUP\t3\t404",
        "SETTLED\t3\t404\tcut\t10.0.0.1:80\t0\t5\t1\t-",
        "VIEW\t3\t2\tX\t-",
        "DOWN\t3",
    ];
    after_start(&lines.join("\n"));
}

#[test]
fn every_ending_is_decoded() {
    for ending in [
        "fault",
        "no_room",
        "too_slow",
        "no_route",
        "cut",
        "undone",
        "stale_send",
    ] {
        let settled = format!("SETTLED\t3\t9\t{ending}\t10.0.0.1:80\t0\t1000\t0\t-");
        let out = after_start(&format!("{REQUEST}\n{settled}"));
        assert!(
            out.contains("SEND\t3\t9\t10.0.0.2:80") || out.contains("\t9"),
            "{ending}: {out}"
        );
    }
}

#[test]
fn rejections_failures_and_cancellations_are_encoded() {
    let submit = "REQ\t3\t8\tsubmit\t0\t-\t-\t0\t1600000";
    let out = after_start(&format!(
        "{submit}\nSETTLED\t3\t8\tcut\t10.0.0.1:80\t0\t1000\t0\t-"
    ));
    assert!(out.contains("END_FAILED\t3\t8\n"), "{out}");
    let late = "REQ\t3\t7\tstatus\t0\t-\t-\t-\t1100000";
    let out = after_start(late);
    let retry_after: u64 = out
        .rsplit_once("NOT_NOW\t3\t7\t")
        .expect("a rejection")
        .1
        .lines()
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (1..=1_000_000).contains(&retry_after),
        "a retry delay of at most the longest: {out}"
    );
    let disconnected = format!("{REQUEST}\nHANGUP\t3\t9");
    assert!(after_start(&disconnected).contains("REVOKE\t3\t9\t0\n"));
}

#[test]
fn view_uses_the_list_as_it_is_at_that_line() {
    let other =
        "SHEET\t0\t1\nITEM\t10.0.0.7:80\tnorth\tfast\t0\tin_service\t1\t-\nVIEW\t3\t2\tF\t0";
    let again = "SHEET\t0\t1\nITEM\t10.0.0.8:80\tnorth\tfast\t0\tin_service\t1\t-";
    let out = after_start(&format!("{other}\n{again}\n{REQUEST}"));
    assert!(out.contains("SEND\t3\t9\t10.0.0.7:80"), "{out}");
}

#[test]
fn changes_and_servers_of_unknown_zones_are_applied() {
    let gone = "SHEET\t1\t2\nITEM\t10.0.0.1:80\tnorth\tfast\t0\tterminated\t1\t-\n\
        ITEM\t10.0.0.9:80\tnowhere\tfast\t0\tterminating\t1\t-\nVIEW\t3\t2\tD\t1";
    let out = after_start(&format!("{gone}\n{REQUEST}"));
    assert!(
        out.contains("SEND\t3\t9\t10.0.0.2:80"),
        "the remaining server is used: {out}"
    );
}

#[test]
fn instance_created_again_within_a_batch_has_no_state() {
    let list = "SHEET\t2\t0\nVIEW\t3\t1\tC\t2";
    let out = after_start(&format!(
        "{REQUEST}\nDOWN\t3\n{CREATE}\n{list}\nREQ\t3\t10\tstatus\t0\t-\t-\t-\t1600000"
    ));
    let second = out.split("EOR\t0\n").nth(1).expect("a second reply");
    assert!(
        second.contains("SEND\t3\t9\t") && !second.contains("SEND\t3\t10\t"),
        "{second}"
    );
    assert_eq!(second.matches("WATCH").count(), 1, "{second}");
}

#[test]
fn instances_share_nothing() {
    let other = CREATE.replace("CREATE\t3", "CREATE\t4");
    let view = "VIEW\t4\t1\tC\t0";
    let both = format!("{}\n{other}\n{view}", start());
    let request = REQUEST.replace("REQ\t3", "REQ\t4");
    let together = run(&[
        (1_000_000, &both),
        (1_100_000, &format!("{REQUEST}\n{request}")),
    ])
    .unwrap();
    let alone = run(&[(1_000_000, &start()), (1_100_000, REQUEST)]).unwrap();
    let of_instance_three = |output: &str| {
        output
            .lines()
            .filter(|line| line.contains("\t3\t"))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    assert_eq!(of_instance_three(&together), of_instance_three(&alone));
}

#[test]
fn error_of_a_malformed_line_names_its_field() {
    for (line, field) in [
        ("REQ\t3\t9\tstatus\t1\t55", "hint"),
        ("REQ\t3\tnine\tstatus\t1\t55\t-\t-\t1600000", "handle"),
        ("REQ\t3\t9\tunheard\t1\t55\t-\t-\t1600000", "band"),
        ("REQ\t3\t9\tstatus\t1\t55\t-\t-\t1600000\tmore", "(end)"),
        ("REQ\t5\t9\tstatus\t1\t55\t-\t-\t1600000", "who"),
        ("SETTLED\t3\t9\tgreat\t10.0.0.1:80\t0\t1\t1\t-", "ending"),
        ("SETTLED\t3\t9\tpass\t10.0.0.1:80\t0\t1\t2\t-", "over"),
        (
            "SETTLED\t3\t9\tpass\t10.0.0.1:80\t0\t1\t1\thigh",
            "feedback",
        ),
        ("VIEW\t3\t2\tF\t12", "page"),
        ("VIEW\t3\t2\tQ\t0", "scope"),
        ("SHEET\t16\t0", "page"),
        (
            "SHEET\t1\t1\nITEM\t10.0.0.1:80\tnorth\tfast\t0\twell\t1\t-",
            "phase",
        ),
        (
            "SHEET\t1\t2\nITEM\t10.0.0.1:80\tnorth\tfast\t0\tin_service\t1\t-\nDOWN\t3",
            "elements",
        ),
        (
            "ITEM\t10.0.0.1:80\tnorth\tfast\t0\tin_service\t1\t-",
            "(message)",
        ),
        ("INBOX\t3\t1\tabc", "raw"),
        ("NEWS\t3", "(message)"),
        ("DOWN\t4", "who"),
        ("CLOCK\t1\t1", "(message)"),
        ("CREATE\t6\t1\tclasses.count=1", "classes.0.name"),
        ("CREATE\t6\t1\tclasses.count=0\tzone=a\tzones=a", "params"),
    ] {
        let message = error_after_start(line);
        assert!(
            message.contains(&format!("field `{field}`")),
            "{line}: {message}"
        );
        assert!(message.starts_with("line "), "{message}");
    }
    assert!(run_raw("REQ\t3\n").unwrap_err().starts_with("line 1: REQ"));
}

#[test]
fn input_that_ends_inside_a_batch_is_rejected() {
    assert!(
        run_raw("CLOCK\t1\t1\n")
            .unwrap_err()
            .contains("ends inside a batch")
    );
    assert!(
        run_raw("CLOCK\t1")
            .unwrap_err()
            .contains("ends inside a batch")
    );
}
