use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::*;

const KEEP: Duration = Duration::from_secs(100);

fn entry(key: Key, version: Version, content: Option<u8>) -> Entry {
    Entry {
        key,
        version,
        removed_s: 0,
        payload: content.map(|byte| Arc::from(vec![byte; 3])),
    }
}

fn filled(entries: &[Entry]) -> Store {
    let mut store = Store::new(KEEP);
    for entry in entries {
        store.merge(Duration::ZERO, entry);
    }
    store
}

#[test]
fn newest_version_wins() {
    let mut store = Store::new(KEEP);
    assert_eq!(
        store.merge(Duration::ZERO, &entry(1, 5, Some(1))),
        Merged::Newer
    );
    assert_eq!(
        store.merge(Duration::ZERO, &entry(1, 5, Some(1))),
        Merged::Same
    );
    assert_eq!(
        store.merge(Duration::ZERO, &entry(1, 4, Some(9))),
        Merged::Older
    );
    assert_eq!(
        store.merge(Duration::ZERO, &entry(1, 6, None)),
        Merged::Newer
    );
    assert_eq!(
        (store.len(), store.tombstones(), store.version(1)),
        (0, 1, 6)
    );
}

#[test]
fn without_the_version_check_an_older_version_comes_back() {
    let mut store = Store::new(KEEP).without_version_check();
    store.merge(Duration::ZERO, &entry(1, 5, Some(1)));
    store.merge(Duration::ZERO, &entry(1, 4, Some(9)));
    assert_eq!(store.version(1), 4);
}

#[test]
fn removals_expire_in_two_steps() {
    let mut store = filled(&[entry(1, 1, Some(1)), entry(1, 2, None)]);
    let counted = store.root();
    store.expire(KEEP / 2);
    assert_eq!(
        store.root(),
        Store::new(KEEP).root(),
        "the digest forgets at half time"
    );
    assert_ne!(counted, store.root());
    assert_eq!(
        store.merge(KEEP / 2, &entry(1, 1, Some(1))),
        Merged::Older,
        "the store still refuses"
    );
    assert!(store.list(u64::MAX).is_empty());
    store.expire(KEEP);
    assert_eq!(store.get(1), None);
    assert_eq!(store.next_expiry(), None);
}

#[test]
fn a_removal_keeps_its_age_on_the_way() {
    let now = Duration::from_secs(1_000);
    let mut late = Store::new(KEEP);
    late.merge(
        now,
        &Entry {
            removed_s: 60,
            ..entry(1, 2, None)
        },
    );
    late.expire(now);
    assert_eq!(late.root(), Store::new(KEEP).root());
    assert_eq!(late.entry(now, 1).map(|entry| entry.removed_s), Some(60));
}

#[test]
fn equal_stores_of_two_thousand_keys_compare_in_under_300_bytes() {
    let entries: Vec<Entry> = (0..2_000)
        .map(|key| entry(key * 7_919, key, Some(key as u8)))
        .collect();
    let store = filled(&entries);
    let digest = postcard::to_stdvec(&store.digest()).expect("serializable");
    assert!(digest.len() < 300, "{} bytes", digest.len());
    let mut other = store.clone();
    other.merge(Duration::ZERO, &entry(7_919, 5_000, Some(1)));
    let mask = store.difference(&other.digest());
    assert_eq!(mask.count_ones(), 1);
    let listing = postcard::to_stdvec(&other.list(mask)).expect("serializable");
    assert!(listing.len() < 500, "{} bytes", listing.len());
    assert_eq!(
        store.compare(mask, &other.list(mask)),
        (vec![], vec![7_919])
    );
    assert_eq!(
        other.compare(mask, &store.list(mask)),
        (vec![7_919], vec![])
    );
}

#[test]
fn collect_sends_at_least_one_entry_and_says_when_there_are_more() {
    let store = filled(&[entry(1, 1, Some(1)), entry(2, 1, Some(1))]);
    let (entries, more) = store.collect(Duration::ZERO, &[1, 2], 1);
    assert_eq!((entries.len(), more), (1, true));
    let (entries, more) = store.collect(Duration::ZERO, &[1, 2, 3], 1_000);
    assert_eq!((entries.len(), more), (2, false));
}

fn any_entry() -> impl Strategy<Value = Entry> {
    (0u64..6, 0u64..5, proptest::option::of(0u8..3))
        .prop_map(|(key, version, content)| entry(key, version, content))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_order_of_versions_does_not_matter(
        entries in proptest::collection::vec(any_entry(), 0..30),
        seed in any::<u64>(),
    ) {
        let first = filled(&entries);
        let mut shuffled = entries.clone();
        shuffled.sort_by_key(|entry| hash::pair(seed, content_hash(entry)));
        shuffled.extend(entries.iter().take(5).cloned());
        let second = filled(&shuffled);
        prop_assert_eq!(first.root(), second.root());
        prop_assert_eq!(first.iter().collect::<Vec<_>>(), second.iter().collect::<Vec<_>>());
    }

    #[test]
    fn one_exchange_makes_two_stores_equal(
        mine in proptest::collection::vec(any_entry(), 0..30),
        other in proptest::collection::vec(any_entry(), 0..30),
    ) {
        let (mut mine, mut other) = (filled(&mine), filled(&other));
        let mask = mine.difference(&other.digest());
        let (newer, lacking) = mine.compare(mask, &other.list(mask));
        let (sent, _) = mine.collect(Duration::ZERO, &newer, usize::MAX);
        let (answered, _) = other.collect(Duration::ZERO, &lacking, usize::MAX);
        sent.iter().for_each(|entry| { other.merge(Duration::ZERO, entry); });
        answered.iter().for_each(|entry| { mine.merge(Duration::ZERO, entry); });
        // Versions are compared, not contents: two contents of one version are told apart only by
        // who publishes.
        for (key, held) in mine.iter() {
            prop_assert_eq!(held.version, other.version(key));
        }
    }

    #[test]
    fn entries_survive_the_wire(entry in any_entry()) {
        let bytes = postcard::to_stdvec(&entry).expect("serializable");
        prop_assert_eq!(postcard::from_bytes::<Entry>(&bytes).expect("the same"), entry);
    }
}
