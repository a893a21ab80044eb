//! `membership`: the membership protocol of the proxies in simulated time, at a cluster size and a
//! rate of datagram loss.
//!
//! A trial has three phases: 10 s without loss, in which the members join; `seconds` with loss, in
//! which each declaration that a living member is down counts as a false down; then member 0
//! crashes, and the detection time is the time until every other member has declared it down (60 s
//! at most).

use std::process::ExitCode;
use std::time::Duration;

use eyre::ensure;
use ironmast_membership::MAX_DATAGRAM_BYTES;
use ironmast_membership::simulation::{LossRule, SimulatedCluster, lossless};

/// The time without loss in which the members join.
const JOIN_TIME: Duration = Duration::from_secs(10);

/// The maximum time until all members know of the crash; the trial ends after it.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(60);

/// The interval at which it is checked which members know of the crash.
const DETECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The member that crashes.
const CRASHED_MEMBER: usize = 0;

/// The resolution of the loss probability.
const LOSS_STEPS: u64 = 1_000_000;

/// The arguments of `membership`.
pub(crate) struct Trial {
    /// The number of members, 2 to 5,000.
    pub members: usize,
    /// The probability that a datagram is lost, 0 to 0.9.
    pub loss: f64,
    /// The time with loss before the crash, 1 to 3,600 s.
    pub seconds: f64,
    /// The seed of the losses.
    pub seed: u64,
    /// Whether the result is printed as JSON in place of text.
    pub json: bool,
}

/// The result of a trial.
struct Measurement {
    /// The number of times that a living member was declared down.
    false_downs: usize,
    /// The mean number of bytes a second that a member sent during the phase with loss.
    bytes_per_s_a_member: f64,
    detection: Detection,
    /// The number of datagrams that a member rejected.
    rejected_datagrams: usize,
}

/// How the crash became known.
struct Detection {
    /// The time until all other members knew of it; `None` if it was longer than
    /// [`MAX_DETECTION_TIME`].
    time: Option<Duration>,
    /// The number of members that knew of it at the end.
    knowing_members: usize,
}

/// Runs the trial and prints one line of text or JSON. The exit code is 1 if not all members knew
/// of the crash in time.
///
/// # Errors
/// An argument is out of its range.
pub(crate) fn run(trial: &Trial) -> eyre::Result<ExitCode> {
    ensure!(
        (2..=5000).contains(&trial.members),
        "--members is {}, expected 2 to 5,000",
        trial.members
    );
    ensure!(
        (0.0..=0.9).contains(&trial.loss) && (1.0..=3600.0).contains(&trial.seconds),
        "--loss is {} and --seconds is {}, expected 0 to 0.9 and 1 to 3,600",
        trial.loss,
        trial.seconds
    );
    let measurement = measure(trial);
    if trial.json {
        println!("{}", measurement.to_json(trial));
    } else {
        println!("{}", measurement.to_text(trial));
    }
    Ok(if measurement.detection.time.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// Runs the three phases of the trial.
fn measure(trial: &Trial) -> Measurement {
    let mut cluster = SimulatedCluster::new(trial.members);
    cluster.run(JOIN_TIME, &lossless);
    let lossy = loss_rule(trial.seed, trial.loss);
    let bytes_per_s_a_member = bytes_per_s_a_member(&mut cluster, trial, &lossy);
    let downs = cluster.down_events.iter();
    let false_downs = downs.filter(|down| cluster.is_alive(&down.member)).count();
    let detection = detect_crash(&mut cluster, &lossy);
    Measurement {
        false_downs,
        bytes_per_s_a_member,
        detection,
        rejected_datagrams: cluster.rejected,
    }
}

/// Loses datagrams with a probability of `loss`, by a hash of the seed, the datagram and its ends.
fn loss_rule(seed: u64, loss: f64) -> impl Fn(usize, usize, Duration, u64) -> bool {
    let lost_steps = (loss * LOSS_STEPS as f64) as u64;
    move |from, to, _, datagram| {
        let ends = (from as u64) << 40 ^ (to as u64) << 52;
        // The multiplier of Fibonacci hashing (2^64 divided by the golden ratio); its high bits
        // vary most.
        let hash = (datagram ^ seed.rotate_left(17) ^ ends).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (hash >> 20) % LOSS_STEPS < lost_steps
    }
}

/// Runs the phase with loss and returns the mean number of bytes a second that a member sent.
fn bytes_per_s_a_member(cluster: &mut SimulatedCluster, trial: &Trial, lossy: &LossRule) -> f64 {
    let sent_bytes = |cluster: &SimulatedCluster| cluster.sent_bytes.iter().sum::<usize>();
    let (started, sent_before) = (cluster.now, sent_bytes(cluster));
    cluster.run(Duration::from_secs_f64(trial.seconds), lossy);
    let elapsed_s = (cluster.now - started).as_secs_f64();
    (sent_bytes(cluster) - sent_before) as f64 / elapsed_s / trial.members as f64
}

/// Crashes a member and runs until all others know of it or [`MAX_DETECTION_TIME`] is over.
fn detect_crash(cluster: &mut SimulatedCluster, lossy: &LossRule) -> Detection {
    cluster.down_events.clear();
    cluster.crashed[CRASHED_MEMBER] = true;
    let crashed_at = cluster.now;
    let others = cluster.members.len() - 1;
    let mut knowing = 0;
    while cluster.now - crashed_at < MAX_DETECTION_TIME {
        cluster.run(DETECTION_CHECK_INTERVAL, lossy);
        knowing = knowing_members(cluster);
        if knowing == others {
            return Detection {
                time: Some(cluster.now - crashed_at),
                knowing_members: knowing,
            };
        }
    }
    Detection {
        time: None,
        knowing_members: knowing,
    }
}

/// The number of members that know of the crash: they no longer count the crashed member in the
/// cluster.
fn knowing_members(cluster: &SimulatedCluster) -> usize {
    let size = cluster.members.len();
    let others = cluster.members.iter().skip(CRASHED_MEMBER + 1);
    others.filter(|member| member.cluster_size() < size).count()
}

impl Measurement {
    fn to_json(&self, trial: &Trial) -> serde_json::Value {
        serde_json::json!({
            "members": trial.members,
            "loss": trial.loss,
            "seconds": trial.seconds,
            "seed": trial.seed,
            "false_downs": self.false_downs,
            "detection_s": self.detection.time.map(|time| time.as_secs_f64()),
            "bytes_per_s_a_member": self.bytes_per_s_a_member,
            "datagram_bound": MAX_DATAGRAM_BYTES,
            "refused": self.rejected_datagrams,
            "knowing": self.detection.knowing_members,
        })
    }

    fn to_text(&self, trial: &Trial) -> String {
        let detection = match self.detection.time {
            Some(time) => format!("{:.1} s", time.as_secs_f64()),
            None => format!(
                "not within 60 s ({} of {} knew)",
                self.detection.knowing_members,
                trial.members - 1
            ),
        };
        format!(
            "{} members, {:.0} % loss for {} s: {} false downs, {:.0} bytes/s a member, {} datagrams refused; \
             a death known to all in {detection}",
            trial.members,
            trial.loss * 100.0,
            trial.seconds,
            self.false_downs,
            self.bytes_per_s_a_member,
            self.rejected_datagrams
        )
    }
}
