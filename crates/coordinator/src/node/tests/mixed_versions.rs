//! Coordinators of two versions of the program: the older one cannot parse a configuration that the
//! newer ones have accepted.

use std::time::Duration;

use ironmast_schema::configuration::{Configuration, ConfigurationError};

use super::cluster::{Cluster, address, body, configure, evacuate, read_configuration, resolve};
use crate::directory::ConfigurationParser;

/// The generation that the older version cannot parse.
const UNREADABLE_GENERATION: u64 = 5;
/// Number of the coordinator that runs the older version.
const OLDER: usize = 0;
/// Number of a coordinator that runs the newer version.
const NEWER: usize = 1;

/// Parses like the older version: rejects the generation that it cannot read.
fn parse_older(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    let configuration = Configuration::parse(body)?;
    if configuration.generation == UNREADABLE_GENERATION {
        return Err(ConfigurationError::ZeroTimeout("r".to_string()));
    }
    Ok(configuration)
}

/// Three coordinators in contact; the first is of the older version. Each has a gate.
fn mixed_cluster() -> Cluster {
    let mut cluster = Cluster::with_parsers(3, |number| -> ConfigurationParser {
        match number {
            OLDER => parse_older,
            _ => Configuration::parse,
        }
    });
    report_gates(&mut cluster);
    cluster
}

fn report_gates(cluster: &mut Cluster) {
    (0..3).for_each(|number| cluster.report_gate(number, 80, "r0"));
}

/// Puts a generation in force that only the newer version can parse.
fn configure_unreadable(cluster: &mut Cluster, base: u64) {
    assert_eq!(
        cluster.status(NEWER, configure(UNREADABLE_GENERATION, base)),
        200
    );
    cluster.run(Duration::from_millis(500));
    report_gates(cluster);
}

/// The generation that the coordinator of the older version cannot parse, as known to another one.
fn unreadable_at_older(cluster: &Cluster, number: usize) -> Option<u64> {
    let peers = &cluster.members[number].node.peers;
    peers.unreadable_generation(address(OLDER))
}

#[test]
fn a_configuration_that_cannot_be_parsed_leaves_the_last_one_in_force() {
    let mut cluster = mixed_cluster();
    assert_eq!(cluster.status(OLDER, configure(3, 0)), 200);
    configure_unreadable(&mut cluster, 3);
    assert_eq!(cluster.members[OLDER].published_generation(), Some(3));
    assert_eq!(cluster.members[NEWER].published_generation(), Some(5));
    assert_eq!(cluster.status(OLDER, resolve("r0")), 200);
    let read = cluster.response(OLDER, read_configuration());
    assert_eq!(
        read.body,
        body(5),
        "the register's value is returned as it is"
    );
}

#[test]
fn while_the_configuration_cannot_be_parsed_nothing_is_published() {
    let mut cluster = mixed_cluster();
    let published =
        |cluster: &Cluster, number: usize| cluster.members[number].published_control_version();
    let before = published(&cluster, OLDER);
    assert_eq!(published(&cluster, NEWER), before);
    configure_unreadable(&mut cluster, 0);
    assert_eq!(cluster.status(NEWER, evacuate("z9")), 200);
    cluster.run(Duration::from_millis(500));
    assert_eq!(published(&cluster, OLDER), before);
    assert!(published(&cluster, NEWER) > before);
}

#[test]
fn without_any_configuration_that_can_be_parsed_clients_get_503() {
    let mut cluster = mixed_cluster();
    assert_eq!(cluster.status(OLDER, resolve("r0")), 200);
    configure_unreadable(&mut cluster, 0);
    assert_eq!(cluster.status(OLDER, resolve("r0")), 503);
    assert_eq!(cluster.status(NEWER, resolve("r0")), 200);
}

#[test]
fn an_evacuation_that_would_not_come_into_force_is_not_acknowledged() {
    let mut cluster = mixed_cluster();
    configure_unreadable(&mut cluster, 0);
    assert_eq!(cluster.status(OLDER, evacuate("z9")), 503);
    assert_eq!(cluster.status(NEWER, evacuate("z9")), 200);
}

#[test]
fn a_coordinator_that_cannot_parse_the_configuration_is_visible_to_its_peers_and_agents() {
    let mut cluster = mixed_cluster();
    configure_unreadable(&mut cluster, 0);
    assert_eq!(
        unreadable_at_older(&cluster, NEWER),
        Some(UNREADABLE_GENERATION)
    );
    assert_eq!(
        unreadable_at_older(&cluster, 2),
        Some(UNREADABLE_GENERATION)
    );
    assert!(!cluster.members[OLDER].published.in_contact.get());
    assert_eq!(cluster.members[OLDER].keep_alive_in_contact(), Some(false));
    assert_eq!(cluster.members[NEWER].keep_alive_in_contact(), Some(true));
}

#[test]
fn a_new_link_says_that_the_configuration_cannot_be_parsed() {
    let mut cluster = mixed_cluster();
    cluster.partitions.insert((OLDER, NEWER));
    configure_unreadable(&mut cluster, 0);
    assert_eq!(unreadable_at_older(&cluster, NEWER), None);
    cluster.partitions.clear();
    cluster.link(OLDER, NEWER);
    cluster.run(Duration::from_millis(100));
    assert_eq!(
        unreadable_at_older(&cluster, NEWER),
        Some(UNREADABLE_GENERATION)
    );
}

#[test]
fn a_later_configuration_that_can_be_parsed_is_put_in_force() {
    let mut cluster = mixed_cluster();
    configure_unreadable(&mut cluster, 0);
    assert_eq!(cluster.status(OLDER, evacuate("z9")), 503);
    assert_eq!(
        cluster.status(OLDER, configure(7, UNREADABLE_GENERATION)),
        200
    );
    cluster.run(Duration::from_millis(500));
    assert_eq!(cluster.members[OLDER].published_generation(), Some(7));
    assert_eq!(cluster.status(OLDER, evacuate("z9")), 200);
    assert!(cluster.members[OLDER].published.in_contact.get());
    assert_eq!(cluster.members[OLDER].keep_alive_in_contact(), Some(true));
    assert_eq!(unreadable_at_older(&cluster, NEWER), None);
}
