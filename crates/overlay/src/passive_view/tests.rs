use std::net::Ipv4Addr;

use rand::SeedableRng as _;

use super::*;
use crate::node::{Locality, Role};

fn node(index: u32, region: u32, role: Role) -> Descriptor {
    let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index), 7_000));
    Descriptor {
        address,
        locality: Locality {
            region,
            zone: region,
        },
        role,
        incarnation: 1,
    }
}

fn agent(index: u32, region: u32) -> Descriptor {
    node(index, region, Role::Agent)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn oldest_nodes_are_evicted_from_a_full_partition() {
    let mut view = PassiveView::new(agent(0, 1), &Settings::default());
    for index in 1..=100 {
        view.record(seconds(1_000), agent(index, 1), seconds(u64::from(index)));
        view.record(
            seconds(1_000),
            agent(1_000 + index, 2),
            seconds(u64::from(index)),
        );
    }
    let settings = Settings::default();
    assert_eq!(view.local_agents().count(), settings.passive_view_size);
    assert_eq!(view.remote_agents().count(), settings.passive_view_size / 2);
    assert!(view.get(agent(1, 1).address).is_some());
    assert!(view.get(agent(100, 1).address).is_none());
}

#[test]
fn coordinator_view_holds_nodes_of_every_region() {
    let settings = Settings::default();
    let mut view = PassiveView::new(node(0, 0, Role::Coordinator), &settings);
    for index in 1..=500 {
        view.record(seconds(1), agent(index, index % 10), Duration::ZERO);
    }
    for region in 1..10 {
        let known = view
            .remote_agents()
            .filter(|node| node.locality.region == region)
            .count();
        assert_eq!(known, settings.region_passive_view_size);
    }
}

#[test]
fn only_a_higher_incarnation_counts_as_added() {
    let mut view = PassiveView::new(agent(0, 1), &Settings::default());
    let restarted = Descriptor {
        incarnation: 2,
        ..agent(1, 1)
    };
    assert_eq!(
        view.record(seconds(1), agent(1, 1), Duration::ZERO),
        ViewUpdate::Added
    );
    assert_eq!(
        view.record(seconds(1), restarted, Duration::ZERO),
        ViewUpdate::Added
    );
    assert_eq!(
        view.record(seconds(1), agent(1, 1), Duration::ZERO),
        ViewUpdate::Unchanged
    );
    assert_eq!(
        view.get(restarted.address)
            .map(|known| known.node.incarnation),
        Some(2)
    );
}

#[test]
fn expired_nodes_are_removed_and_not_added_again() {
    let mut view = PassiveView::new(agent(0, 1), &Settings::default());
    view.record(seconds(0), agent(1, 1), Duration::ZERO);
    view.record(seconds(0), node(2, 1, Role::Coordinator), Duration::ZERO);
    view.expire(seconds(301));
    assert_eq!(
        (view.local_agents().count(), view.coordinators().count()),
        (0, 1)
    );
    assert_eq!(
        view.record(seconds(400), agent(3, 1), seconds(301)),
        ViewUpdate::Unchanged
    );
    assert_eq!(view.len(), 1);
}

#[test]
fn sample_prefers_the_receivers_region() {
    let mut view = PassiveView::new(node(0, 0, Role::Coordinator), &Settings::default());
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    for index in 1..=40 {
        view.record(seconds(1), agent(index, index % 4), Duration::ZERO);
    }
    view.record(seconds(1), node(99, 2, Role::Coordinator), Duration::ZERO);
    let receiver = agent(50, 3);
    let sample = view.sample(seconds(1), &receiver, 7, &mut random);
    assert_eq!(sample.len(), 7);
    let count = |counted: &dyn Fn(&Descriptor) -> bool| {
        sample.iter().filter(|aged| counted(&aged.node)).count()
    };
    assert_eq!(count(&|node| node.is_coordinator()), 1);
    assert_eq!(
        count(&|node| !node.is_coordinator() && node.locality.region == 3),
        5
    );
}
