use super::*;

fn round_robin(count: u32) -> ShuffledRoundRobin {
    let mut round_robin = ShuffledRoundRobin::default();
    round_robin.set_members((0..count).collect());
    round_robin
}

fn round(round_robin: &mut ShuffledRoundRobin, rng: &mut Rng, count: usize) -> Vec<u32> {
    (0..count)
        .filter_map(|_| round_robin.pick(rng, |_| Some(0.0), |_| false))
        .collect()
}

#[test]
fn each_round_uses_each_server_once() {
    let (mut round_robin, mut rng) = (round_robin(7), Rng(1));
    let mut orders = Vec::new();
    for _ in 0..20 {
        let order = round(&mut round_robin, &mut rng, 7);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [0, 1, 2, 3, 4, 5, 6]);
        orders.push(order);
    }
    orders.dedup();
    assert_eq!(orders.len(), 20, "consecutive rounds have different orders");
}

#[test]
fn of_the_next_two_the_less_loaded_is_picked() {
    let (mut round_robin, mut rng) = (round_robin(2), Rng(1));
    for _ in 0..10 {
        let load = |server| Some(if server == 0 { 0.5 } else { 0.1 });
        assert_eq!(round_robin.pick(&mut rng, load, |_| false), Some(1));
        assert_eq!(
            round_robin.pick(&mut rng, load, |_| false),
            Some(0),
            "the other server follows in the same round"
        );
    }
}

#[test]
fn of_equally_loaded_servers_the_preferred_one_is_picked() {
    let (mut round_robin, mut rng) = (round_robin(2), Rng(1));
    for _ in 0..10 {
        assert_eq!(
            round_robin.pick(&mut rng, |_| Some(0.0), |server| server == 1),
            Some(1)
        );
        assert_eq!(
            round_robin.pick(&mut rng, |_| Some(0.0), |server| server == 1),
            Some(0)
        );
    }
}

#[test]
fn unusable_servers_are_never_picked() {
    let (mut round_robin, mut rng) = (round_robin(5), Rng(1));
    for _ in 0..50 {
        let picked = round_robin.pick(
            &mut rng,
            |server| (server == 2 || server == 3).then_some(0.0),
            |_| false,
        );
        assert!(matches!(picked, Some(2 | 3)));
    }
    assert_eq!(round_robin.pick(&mut rng, |_| None, |_| false), None);
    assert_eq!(
        ShuffledRoundRobin::default().pick(&mut rng, |_| Some(0.0), |_| false),
        None
    );
}

#[test]
fn a_round_continues_when_the_members_stay_the_same() {
    let (mut round_robin, mut rng) = (round_robin(6), Rng(1));
    let mut picked = round(&mut round_robin, &mut rng, 4);
    round_robin.set_members((0..6).collect());
    picked.extend(round(&mut round_robin, &mut rng, 2));
    picked.sort_unstable();
    assert_eq!(picked, [0, 1, 2, 3, 4, 5]);
    round_robin.set_members((0..3).collect());
    assert_eq!(round(&mut round_robin, &mut rng, 3).iter().max(), Some(&2));
}
