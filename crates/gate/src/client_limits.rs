//! Converts the configured limits on client connections to the units of the listener.

use ironmast_schema::configuration;
use ironmast_transport::connection::ClientLimits;

/// Converts the limits of a configuration: times from ms to µs, sizes to `usize`.
pub(crate) fn client_limits(configured: configuration::ClientLimits) -> ClientLimits {
    ClientLimits {
        header_timeout: configured.header_timeout_ms.saturating_mul(1_000),
        idle_timeout: configured.idle_timeout_ms.saturating_mul(1_000),
        max_header_bytes: usize::try_from(configured.max_header_bytes).unwrap_or(usize::MAX),
        max_body_bytes: usize::try_from(configured.max_body_bytes).unwrap_or(usize::MAX),
    }
}
