//! Notification of restarted proxies about changes of the endpoint list.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use ironmast_balancer::{Action, Event, Micros, Phase, Scope, ServerId, Settings};
use ironmast_emulator::{GroundTruth, Policy, Simulation};

use crate::support::fleet;

/// The phase of each server as known to each incarnation of a proxy, in the order in which the
/// incarnations started.
type Known = Arc<Mutex<Vec<BTreeMap<ServerId, Phase>>>>;

/// Records the endpoint list and answers no requests.
struct RecordingPolicy {
    incarnation: usize,
    known: Known,
}

impl Policy for RecordingPolicy {
    fn handle(&mut self, _: Micros, event: Event, _: &dyn GroundTruth, _: &mut Vec<Action>) {
        let Event::Members(listing) = event else {
            return;
        };
        let mut incarnations = self.known.lock().expect("not poisoned");
        let known = &mut incarnations[self.incarnation];
        if listing.scope == Scope::Complete {
            known.clear();
        }
        known.extend(
            listing
                .servers
                .into_iter()
                .map(|server| (server.id, server.phase)),
        );
    }
}

/// A change that is published while a notification to the previous incarnation of a proxy is in
/// flight must be sent to the new incarnation in a notification of its own; otherwise the restarted
/// proxy never learns of it.
#[test]
fn a_restarted_proxy_is_notified_of_changes_after_its_restart() {
    let mut scenario = fleet(
        "[[trouble]]\nkind = \"crash\"\nat_s = 2.0\nfor_s = 20.0\nzone = \"a\"\n\
         [[trouble]]\nkind = \"restart\"\nat_s = 2.6\nfor_s = 0.1\n\
         [[trouble]]\nkind = \"crash\"\nat_s = 3.0\nfor_s = 20.0\nzone = \"b\"\n",
    );
    scenario.discovery.watch = false;
    scenario.discovery.spread_s = 3.0;
    let known = Known::default();
    let build = |_: Settings, _: u64| -> Box<dyn Policy> {
        let mut incarnations = known.lock().expect("not poisoned");
        incarnations.push(BTreeMap::new());
        Box::new(RecordingPolicy {
            incarnation: incarnations.len() - 1,
            known: Arc::clone(&known),
        })
    };
    let proxies = scenario.proxies.count as usize;
    for seed in 0..10 {
        known.lock().expect("not poisoned").clear();
        let report = Simulation::with_policy(&scenario, "recording", seed, Box::new(build)).run();
        assert!(report.requests.asked > 0);
        let incarnations = known.lock().expect("not poisoned");
        assert_eq!(
            incarnations.len(),
            2 * proxies,
            "every proxy has two incarnations, as each restarts once"
        );
        for phases in &incarnations[proxies..] {
            assert!(
                phases.values().all(|phase| *phase == Phase::Gone),
                "seed {seed}: a restarted proxy does not know that all servers have crashed: {phases:?}"
            );
        }
    }
}
