//! Tests of `hunt.rs`.

use super::*;

#[test]
fn drawn_scenarios_are_sound_and_differ() {
    let drawn: Vec<Scenario> = (0..300)
        .map(|seed| {
            let mut scenario = generate_scenario(seed);
            add_faults(&mut scenario, seed);
            assert_eq!(scenario.validate(), Ok(()), "{}", scenario.to_toml());
            assert_eq!(Scenario::parse(&scenario.to_toml()).as_ref(), Ok(&scenario));
            scenario
        })
        .collect();
    let kinds: std::collections::BTreeSet<_> = drawn
        .iter()
        .flat_map(|s| s.faults.iter().map(|t| t.kind))
        .collect();
    assert_eq!(kinds.len(), 12, "every kind of trouble is drawn");
}

/// What is found is shrunk to what matters, and the file still shows it.
#[test]
fn a_poor_policy_is_found_and_its_scenario_shrunk() {
    let folder = tempfile::tempdir().expect("a folder");
    let (policy, reference) = (PolicyName::ZoneRoundRobin, PolicyName::Module);
    let out = folder.path().to_path_buf();
    let hunt = Hunt {
        base: None,
        seeds: Seeds(0, 12),
        minutes: None,
        policy,
        reference,
        gap: 0.2,
        out,
    };
    run(&hunt).expect("it runs");
    let files = std::fs::read_dir(folder.path())
        .expect("a folder")
        .flatten()
        .map(|f| f.path());
    let files: Vec<PathBuf> = files.collect();
    assert!(!files.is_empty(), "something is found in these seeds");
    for file in files {
        let loaded = files::load_scenario(&file).expect("sound");
        let seed = loaded
            .scenario
            .name
            .trim_start_matches("found-")
            .parse()
            .expect("a seed");
        assert!(
            matches!(
                hunt.check(&loaded.scenario, seed),
                Some(Finding::PoorService(..))
            ),
            "{}",
            loaded.text
        );
        let mut whole = generate_scenario(seed);
        add_faults(&mut whole, seed);
        assert!(loaded.scenario.faults.len() <= whole.faults.len());
    }
}
