//! Reloads the configuration on SIGHUP.

use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use crate::config::Config;
use crate::message::DiscoveryCommand;

/// Reads the configuration file again. An invalid file changes nothing, so that a typo does not
/// affect the requests in flight. Only discovery's address takes effect at once; other changes are
/// logged as needing a restart.
pub(super) fn reload(
    config: &mut Config,
    discovery: &mpsc::UnboundedSender<DiscoveryCommand>,
    log: &Logger,
) {
    let new = match Config::read_again(|name| std::env::var(name).ok()) {
        Ok(new) => new,
        Err(error) => {
            let error = error.to_string().replace('\n', " ");
            warn!(log, "invalid configuration ignored, the previous one stays in effect"; "error" => error);
            return;
        }
    };
    let changes = config.changes_needing_restart(&new).join(", ");
    if !changes.is_empty() {
        warn!(log, "changed settings take effect after a restart"; "settings" => changes);
    }
    if new.discovery != config.discovery {
        // Fails only if the discovery client has ended, while the process exits.
        let _ = discovery.send(DiscoveryCommand::ChangeAddress(new.discovery));
        config.discovery = new.discovery;
    }
    info!(log, "configuration reloaded"; "discovery" => config.discovery);
}
