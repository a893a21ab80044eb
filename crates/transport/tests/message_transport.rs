//! The contract of `MessageTransport`, checked for the TCP and the in-memory transport. Transports
//! with an injected fault show that the checks detect violations.

#[path = "message_transport/contract.rs"]
mod contract;
#[path = "message_transport/factories.rs"]
mod factories;
#[path = "message_transport/faulty.rs"]
mod faulty;

use std::time::Duration;

use contract::ContractResult;
use factories::{MemoryFactory, TcpFactory};
use faulty::{Fault, FaultyFactory};
use futures_util::FutureExt as _;

/// Time limit of one check, since a transport that violates the contract may never deliver an
/// event.
const CONTRACT_TIMEOUT: Duration = Duration::from_secs(20);
/// A check in memory makes progress at every poll. One that is pending after this many polls waits
/// for an event that never comes, which counts as a violation.
const MAX_POLLS: usize = 100;

macro_rules! contract_tests {
    ($($name:ident),* $(,)?) => {
        mod tcp {
            use super::*;
            $(#[tokio::test]
            async fn $name() {
                assert_contract_holds(contract::$name(&mut TcpFactory::default())).await;
            })*
        }
        mod memory {
            use super::*;
            $(#[tokio::test]
            async fn $name() {
                assert_contract_holds(contract::$name(&mut MemoryFactory::default())).await;
            })*
        }
    };
}

contract_tests!(
    both_sides_receive_the_handshake_of_the_other,
    messages_arrive_complete_and_in_order_in_both_directions,
    messages_sent_before_the_link_is_up_arrive,
    a_message_longer_than_the_limit_is_rejected_and_the_link_stays_open,
    a_frame_longer_than_the_receivers_limit_ends_the_link,
    a_frame_that_holds_no_message_ends_the_link,
    a_refused_connection_is_reported,
    the_end_of_a_peer_is_reported_once,
    what_was_sent_before_a_close_arrives,
    a_mismatched_handshake_is_rejected_on_both_sides,
    a_full_queue_rejects_and_loses_no_queued_message,
    a_full_queue_drops_the_oldest_under_drop_oldest,
    a_dropped_next_future_loses_no_event,
);

async fn assert_contract_holds(contract: impl Future<Output = ContractResult>) {
    tokio::time::timeout(CONTRACT_TIMEOUT, contract)
        .await
        .expect("in time")
        .expect("the contract holds");
}

/// Whether a check in memory fails or never completes.
async fn violates(contract: impl Future<Output = ContractResult>) -> bool {
    tokio::pin!(contract);
    for _ in 0..MAX_POLLS {
        if let Some(ended) = contract.as_mut().now_or_never() {
            return ended.is_err();
        }
        tokio::task::yield_now().await;
    }
    true
}

fn faulty(fault: Fault) -> FaultyFactory<MemoryFactory> {
    FaultyFactory {
        factory: MemoryFactory::default(),
        fault,
    }
}

#[tokio::test]
async fn the_contract_fails_for_a_transport_that_loses_repeats_or_swaps_messages() {
    for fault in [Fault::Loses, Fault::Repeats, Fault::Swaps] {
        let contract = contract::messages_arrive_complete_and_in_order_in_both_directions;
        assert!(violates(contract(&mut faulty(fault))).await, "{fault:?}");
    }
}

#[tokio::test]
async fn the_contract_fails_for_a_transport_that_hides_the_end_of_a_link() {
    assert!(
        violates(contract::the_end_of_a_peer_is_reported_once(&mut faulty(
            Fault::HidesEnds
        )))
        .await
    );
}

#[tokio::test]
async fn the_contract_holds_for_the_faulty_wrapper_without_a_fault() {
    let order = contract::messages_arrive_complete_and_in_order_in_both_directions;
    assert!(!violates(order(&mut faulty(Fault::None))).await);
    assert!(
        !violates(contract::the_end_of_a_peer_is_reported_once(&mut faulty(
            Fault::None
        )))
        .await
    );
}
