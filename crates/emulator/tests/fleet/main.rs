//! Tests of complete simulation runs of a small fleet.

mod judge;
mod notifications;
mod reproducibility;
mod scenario_validation;
mod support;
