//! Invalid scenarios are rejected with the line number and the expected value.

use ironmast_emulator::Scenario;

use crate::support::{DEPLOY, fleet};

/// Each case: text of the valid scenario, its replacement, and text of the expected error.
const INVALID: [(&str, &str, &str); 17] = [
    (
        "length_s = 12.0",
        "length_s = -1.0",
        "length_s is -1, expected 0.1 to 86400",
    ),
    (
        "length_s = 12.0",
        "lenght_s = 12.0",
        "unknown field `lenght_s`",
    ),
    (
        "kind = \"deploy\"",
        "kind = \"explode\"",
        "unknown variant `explode`",
    ),
    (
        "cores = 2",
        "cores = 0",
        "pool.0.cores is 0, expected 1 to 1024",
    ),
    (
        "cores = 2",
        "cores = \"two\"",
        "invalid type: string \"two\"",
    ),
    (
        "zone = \"*\"",
        "zone = \"c\"",
        "pool.0.zone is `c`, expected *, a, b",
    ),
    (
        "effect = \"once\"",
        "effect = \"twice\"",
        "unknown variant `twice`",
    ),
    (
        "at_s = 2.0",
        "at_s = 99.0",
        "trouble.0.at_s is 99, expected 0 to 12",
    ),
    (
        "at_s = 2.0",
        "at_s = nan",
        "trouble.0.at_s is NaN, expected 0 to 12",
    ),
    (
        "kind = \"deploy\"",
        "kind = \"zone-lost\"",
        "trouble.0.zone is missing, expected one of a, b",
    ),
    (
        "kind = \"deploy\"",
        "kind = \"grey\"",
        "trouble.0.class is ``, expected one of keep, once",
    ),
    (
        "zones = [\"a\", \"b\"]",
        "zones = [\"a\", \"a\"]",
        "zones contains `a` at index 1, expected distinct, non-empty names other than `*`",
    ),
    (
        "patience = [0.7, 1.0]",
        "patience = [0.7, 2.0]",
        "clients.patience is 0.7 to 2, expected two shares above 0 and up to 1 in ascending order",
    ),
    (
        "curve = []",
        "curve = [[2.0, 1.0], [1.0, 1.0]]",
        "clients.curve is invalid, expected increasing seconds",
    ),
    (
        "zone_weights = []",
        "zone_weights = [1.0]",
        "proxies.zone_weights are invalid, expected one finite weight of at least 0 for each zone, not all of them 0",
    ),
    (
        "speed = [1.0, 1.0]",
        "speed = [2.0, 1.0]",
        "pool.0.speed is 2 to 1, expected two speeds above 0 and up to 1000 in ascending order",
    ),
    (
        "name = \"once\"",
        "name = \"keep\"",
        "class.1.name is a duplicate",
    ),
];

#[test]
fn invalid_scenario_is_rejected_with_line_and_expectation() {
    let valid = fleet(DEPLOY).to_toml();
    assert_eq!(
        Scenario::parse(&valid),
        Ok(fleet(DEPLOY)),
        "a scenario that was written by to_toml parses to the same scenario"
    );
    let table = valid
        .lines()
        .position(|l| l == "[[trouble]]")
        .expect("the scenario has a fault")
        + 1;
    for (from, to, description) in INVALID {
        assert!(valid.contains(from), "{from} in {valid}");
        let invalid = valid.replacen(from, to, 1);
        let error = Scenario::parse(&invalid).expect_err(to);
        assert!(error.problem.to_string().contains(description), "{error}");
        // A missing key is reported at the start of its table.
        let changed = valid
            .lines()
            .zip(invalid.lines())
            .position(|(a, b)| a != b)
            .expect("the replacement changes a line")
            + 1;
        let expected_line = if description.contains("missing") || description.contains("``") {
            table
        } else {
            changed
        };
        assert_eq!(error.line, expected_line, "{error}\n{invalid}");
    }
}
