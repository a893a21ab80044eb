//! Tests of the endpoint table without a network.

mod expiry;
mod gates;
mod instances;
mod merge;
mod support;
