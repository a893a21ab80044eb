//! The interface of the balancer: settings, events that it handles, and actions that it requests.
//!
//! Only data types and the validation of settings; decisions are made in `balance`. All times are in
//! whole microseconds; clock readings count from an arbitrary origin.

mod actions;
mod events;
mod ids;
mod settings;
mod validation;

pub use actions::Action;
pub use events::{
    AttemptEnded, Event, Listing, LoadReport, Outcome, Phase, Request, Scope, Server,
};
pub use ids::{ClassId, Micros, RequestId, ServerId, TenantId, ZoneId};
pub use settings::{
    ClassSettings, Discovery, Effect, Group, Limits, MAX_DISCOVERY_DELAY, Penalties, Safety,
    Settings, SizeMeaning, TenantSettings,
};
pub use validation::SettingsError;
