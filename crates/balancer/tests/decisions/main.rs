//! Tests of the balancer's decisions through its public interface: one file for each concern, and
//! `rules` for the safety rules as properties.

mod discovery;
mod ejection;
mod limits;
mod queue;
mod requests;
mod retries;
mod rules;
mod selection;
mod settings;
mod slow_start;
mod support;
mod unreachable_zones;
mod very_many_balancers;
mod zones;
