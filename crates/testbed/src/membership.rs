//! `ironmast-testbed membership`: the membership protocol in simulated time at the size of a cluster and a
//! share of loss.
//!
//! Three phases: 10 s of quiet to join; `seconds` at `loss` (each datagram lost with that chance,
//! from a hash of the seed and the datagram), where any living member declared down is a false
//! down; then member 0 dies and the time until every other member has declared it down is the
//! detection time (at most 60 s).

use std::process::ExitCode;
use std::time::Duration;

use eyre::bail;
use ironmast_membership::MAX_DATAGRAM_BYTES;
use ironmast_membership::simulation::{SimulatedCluster, lossless};

/// What to play.
pub(crate) struct Trial {
    pub members: usize,
    pub loss: f64,
    pub seconds: f64,
    pub seed: u64,
    pub json: bool,
}

/// Plays the trial and prints one line (or JSON); code 1 where the death was not found within 60 s.
pub(crate) fn run(trial: &Trial) -> eyre::Result<ExitCode> {
    if !(2..=5000).contains(&trial.members) {
        bail!("--members {}: 2 to 5,000 expected", trial.members);
    }
    if !(0.0..=0.9).contains(&trial.loss) || !(1.0..=3600.0).contains(&trial.seconds) {
        bail!("--loss 0 to 0.9 and --seconds 1 to 3,600 expected");
    }
    let mut cluster = SimulatedCluster::new(trial.members);
    cluster.run(Duration::from_secs(10), &lossless);
    let (seed, share) = (trial.seed, (trial.loss * 1e6) as u64);
    let lossy = move |a: usize, b: usize, _: Duration, draw: u64| {
        let h = (draw ^ seed.rotate_left(17) ^ (a as u64) << 40 ^ (b as u64) << 52)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (h >> 20) % 1_000_000 < share
    };
    let sent_before: usize = cluster.sent_bytes.iter().sum();
    let lossy_from = cluster.now;
    cluster.run(Duration::from_secs_f64(trial.seconds), &lossy);
    let bytes_a_second = (cluster.sent_bytes.iter().sum::<usize>() - sent_before) as f64
        / (cluster.now - lossy_from).as_secs_f64()
        / trial.members as f64;
    let false_downs = cluster
        .downs
        .iter()
        .filter(|down| cluster.is_alive(&down.member))
        .count();
    cluster.downs.clear();
    cluster.crashed[0] = true;
    let died = cluster.now;
    let (mut found, mut knowing) = (None, 0);
    while cluster.now - died < Duration::from_secs(60) {
        cluster.run(Duration::from_millis(100), &lossy);
        // Who takes member 0 for down now: it no longer counts it in the cluster.
        knowing = (1..trial.members)
            .filter(|&n| cluster.members[n].cluster_size() < trial.members)
            .count();
        if knowing == trial.members - 1 {
            found = Some(cluster.now - died);
            break;
        }
    }
    let found_s = found.map(|d| d.as_secs_f64());
    if trial.json {
        println!(
            "{}",
            serde_json::json!({"members": trial.members, "loss": trial.loss, "seconds": trial.seconds,
                "seed": trial.seed, "false_downs": false_downs, "detection_s": found_s,
                "bytes_per_s_a_member": bytes_a_second, "datagram_bound": MAX_DATAGRAM_BYTES,
                "refused": cluster.rejected, "knowing": knowing})
        );
    } else {
        let found = found_s.map_or(
            format!("not within 60 s ({knowing} of {} knew)", trial.members - 1),
            |s| format!("{s:.1} s"),
        );
        println!(
            "{} members, {:.0} % loss for {} s: {false_downs} false downs, {bytes_a_second:.0} bytes/s a member, {} datagrams refused; a death known to all in {found}",
            trial.members,
            trial.loss * 100.0,
            trial.seconds,
            cluster.rejected
        );
    }
    Ok(if found.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}
