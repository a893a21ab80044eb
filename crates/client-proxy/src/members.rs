//! The operators' file for membership among the proxies, `deploy/membership.toml` under the working
//! directory.
//!
//! ```toml
//! enabled = false   # true: the proxies of a tier tell each other who is alive (docs/operators/membership.md)
//! ```
//!
//! No file, or `enabled = false`: membership is off and the peers' socket carries what it carried
//! before.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;

use ironmast_membership::{Member, Membership, config, new_incarnation};
use serde::Deserialize;

/// Where the operators' file is, from the working directory.
pub(crate) const FILE: &str = "deploy/membership.toml";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
}

/// Reads the operators' file at `path`: whether membership is on. A file that is there but wrong is
/// one line.
pub(crate) fn enabled(path: &Path) -> Result<bool, String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(false),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let file: File =
        toml::from_str(&text).map_err(|e| format!("{}: {}", path.display(), e.message().trim()))?;
    Ok(file.enabled)
}

/// Membership for a proxy whose datagrams arrive at `listen`, of a tier of `peers`; none where
/// `listen` is not an IPv4 address with a port (said in the error).
pub(crate) fn start(
    listen: Option<SocketAddr>,
    peers: &[SocketAddr],
    seed: u64,
) -> Result<Membership, String> {
    let Some(SocketAddr::V4(address)) = listen.filter(|a| a.port() != 0) else {
        return Err("membership needs peer_listen as an IPv4 address with its port".into());
    };
    let me = Member {
        address,
        incarnation: new_incarnation(),
    };
    Ok(Membership::new(me, config(peers.len().max(1) as u32), seed))
}

/// The IPv4 peers of the tier, for joining.
pub(crate) fn v4(peers: &[SocketAddr]) -> Vec<SocketAddrV4> {
    peers
        .iter()
        .filter_map(|p| {
            if let SocketAddr::V4(a) = p {
                Some(*a)
            } else {
                None
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
