//! The names of the policies, and their construction.

use std::str::FromStr;

use ironmast_balancer::{Balancer, Settings};
use thiserror::Error;

use super::interface::Policy;
use super::reference::Reference;
use super::selection::SelectionRule;

/// A policy that the emulator can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The decision module.
    Module,
    /// A random eligible server.
    Random,
    /// All servers in turn.
    RoundRobin,
    /// The servers of the proxy's own zone in turn; all servers if that zone has none.
    ZoneRoundRobin,
    /// Of two random servers, the one with fewer requests in flight from this proxy (power of two
    /// choices).
    TwoChoices,
    /// The server with the fewest requests in flight from this proxy.
    LeastRequests,
    /// Servers in turn, weighted by the capacities in the endpoint list.
    WeightedRoundRobin,
    /// The server that will answer first by the true state, as an upper bound for the other
    /// policies. Requests that cannot be answered in time are rejected at once. The name in reports
    /// is `ceiling`.
    Oracle,
}

/// The error for a name that no policy has.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a policy, expected one of {names}", names = PolicyName::ALL.map(PolicyName::name).join(", "))]
pub struct UnknownPolicy(pub String);

impl PolicyName {
    /// All policies, the module first.
    pub const ALL: [PolicyName; 8] = [
        PolicyName::Module,
        PolicyName::Random,
        PolicyName::RoundRobin,
        PolicyName::ZoneRoundRobin,
        PolicyName::TwoChoices,
        PolicyName::LeastRequests,
        PolicyName::WeightedRoundRobin,
        PolicyName::Oracle,
    ];

    /// The policy's name on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Module => "module",
            PolicyName::Random => "random",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::ZoneRoundRobin => "zone-round-robin",
            PolicyName::TwoChoices => "two-choices",
            PolicyName::LeastRequests => "least",
            PolicyName::WeightedRoundRobin => "weighted",
            PolicyName::Oracle => "ceiling",
        }
    }

    /// Creates an instance of the policy for one proxy.
    ///
    /// # Panics
    /// If the decision module rejects the settings. It accepts those of every valid scenario.
    #[must_use]
    pub fn build(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        let rule = match self {
            PolicyName::Module => {
                let module = Balancer::new(settings, seed);
                return Box::new(module.expect("settings made from a valid scenario"));
            }
            PolicyName::Random => SelectionRule::Random,
            PolicyName::RoundRobin => SelectionRule::RoundRobin,
            PolicyName::ZoneRoundRobin => SelectionRule::ZoneRoundRobin,
            PolicyName::TwoChoices => SelectionRule::TwoChoices,
            PolicyName::LeastRequests => SelectionRule::LeastRequests,
            PolicyName::WeightedRoundRobin => SelectionRule::WeightedRoundRobin,
            PolicyName::Oracle => SelectionRule::Oracle,
        };
        Box::new(Reference::new(rule, settings, seed))
    }
}

impl FromStr for PolicyName {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        PolicyName::ALL
            .into_iter()
            .find(|policy| policy.name() == text)
            .ok_or_else(|| UnknownPolicy(text.to_string()))
    }
}
