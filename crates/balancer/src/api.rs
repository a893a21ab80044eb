//! The balancer's interface: its settings, the events it handles and the actions it asks for.
//!
//! Nothing here decides anything. All times are whole microseconds; clock readings count from any
//! origin.

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
