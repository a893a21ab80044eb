//! The rules of the decisions, event by event, and by property. Checks of a protection are run
//! again without it.

mod affinity;
mod attempts;
mod candidates;
mod health;
mod properties;
mod rejections;
mod returns;
