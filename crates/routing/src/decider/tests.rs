//! Unit tests of the decisions, by events and by property. Tests of a protection check that they
//! fail without it.

mod affinity;
mod attempts;
mod candidates;
mod health;
mod properties;
mod rejections;
mod returns;
