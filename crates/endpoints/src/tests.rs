//! Tests of the endpoint table by itself, without a network.

mod expiry;
mod gates;
mod instances;
mod merge;
mod support;
