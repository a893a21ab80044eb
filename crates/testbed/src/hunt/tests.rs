//! Tests of the generator of scenarios, and of shrinking.

use super::*;

#[test]
fn generated_scenarios_are_valid_and_have_every_kind_of_fault() {
    let generated: Vec<Scenario> = (0..300)
        .map(|seed| {
            let mut scenario = generate_scenario(seed);
            add_faults(&mut scenario, seed);
            assert_eq!(scenario.validate(), Ok(()), "{}", scenario.to_toml());
            assert_eq!(Scenario::parse(&scenario.to_toml()).as_ref(), Ok(&scenario));
            scenario
        })
        .collect();
    let kinds: std::collections::BTreeSet<_> = generated
        .iter()
        .flat_map(|scenario| scenario.faults.iter().map(|fault| fault.kind))
        .collect();
    assert_eq!(kinds.len(), 12, "every kind of fault is generated");
}

#[test]
fn the_shrunk_scenario_of_a_poor_policy_still_shows_the_finding() {
    let directory = tempfile::tempdir().expect("a directory");
    let (policy, reference) = (PolicyName::ZoneRoundRobin, PolicyName::Module);
    let out = directory.path().to_path_buf();
    let hunt = Hunt {
        scenario: None,
        seeds: Seeds { from: 0, to: 12 },
        minutes: None,
        policy,
        reference,
        gap: 0.2,
        out,
    };
    run(&hunt).expect("it runs");
    let files = std::fs::read_dir(directory.path())
        .expect("a directory")
        .flatten()
        .map(|entry| entry.path());
    let files: Vec<PathBuf> = files.collect();
    assert!(!files.is_empty(), "something is found in these seeds");
    for file in files {
        let loaded = load_scenario(&file).expect("a valid scenario");
        let seed = loaded
            .scenario
            .name
            .trim_start_matches("found-")
            .parse()
            .expect("a seed");
        assert!(
            matches!(
                hunt.check(&loaded.scenario, seed),
                Some(Finding::PoorService { .. })
            ),
            "{}",
            loaded.text
        );
        let mut original = generate_scenario(seed);
        add_faults(&mut original, seed);
        assert!(loaded.scenario.faults.len() <= original.faults.len());
    }
}
