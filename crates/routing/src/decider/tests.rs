//! Unit tests of the decisions, with scripted and with random events. `assert_guarded` also checks
//! that a test fails while the protection under test is disabled.

mod affinity;
mod attempts;
mod candidates;
mod health;
mod properties;
mod rejections;
mod returns;
