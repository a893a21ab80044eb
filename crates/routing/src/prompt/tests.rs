use super::*;

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn the_key_is_the_last_shared_part_and_the_model() {
    let key = |model, parts: &[PromptPart]| affinity_key(model, parts);
    assert_eq!(key(1, &[]), None);
    assert_eq!(key(1, &[part(5, 1)]), key(1, &[part(5, 1), part(6, 1)]));
    assert_eq!(
        key(1, &[part(4, 1), part(5, 1), part(6, 1)]),
        key(1, &[part(5, 9), part(7, 1)])
    );
    assert_ne!(
        key(1, &[part(4, 1), part(5, 1), part(6, 1)]),
        key(1, &[part(4, 1), part(5, 1)])
    );
    assert_ne!(key(1, &[part(5, 1)]), key(2, &[part(5, 1)]));
}

#[test]
fn all_parts_but_the_last_are_shared() {
    assert_eq!(shared_tokens(&[]), 0);
    assert_eq!(shared_tokens(&[part(1, 10)]), 0);
    assert_eq!(shared_tokens(&[part(1, 10), part(2, 20), part(3, 40)]), 30);
    assert_eq!(
        shared_tokens(&[part(1, u64::MAX), part(2, 20), part(3, 40)]),
        u64::MAX
    );
}
