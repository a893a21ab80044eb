//! Starts membership among the proxies if the operators' file enables it: `deploy/membership.toml`
//! under the working directory.
//!
//! ```toml
//! enabled = false   # true: the proxies of a cluster detect which of them are alive (docs/operators/membership.md)
//! ```
//!
//! Without the file, or with `enabled = false`, the proxy sends and accepts no membership
//! datagrams.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use ironmast_membership::{Member, Membership, config, new_incarnation};
use serde::Deserialize;

/// The path of the operators' file, relative to the working directory.
pub(crate) const FILE: &str = "deploy/membership.toml";

/// Why membership can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MembershipError {
    /// The operators' file can't be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The operators' file is not valid TOML, or has a missing, unknown or wrongly typed key.
    #[error("{}: {}", path.display(), error.message().trim())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        error: Box<toml::de::Error>,
    },
    /// `peer_listen`, which identifies the proxy as a member, is not an IPv4 address with a port.
    #[error(
        "{FILE} enables membership, which needs peer_listen to be an IPv4 address with a nonzero port"
    )]
    NoMemberAddress,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
}

/// Whether the operators' file at `path` enables membership; a missing file disables it.
///
/// # Errors
/// [`MembershipError`] if the file can't be read or is invalid.
pub(crate) fn is_enabled(path: &Path) -> Result<bool, MembershipError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(error) => {
            return Err(MembershipError::Unreadable {
                path: path.to_path_buf(),
                error,
            });
        }
    };
    let file: File = toml::from_str(&text).map_err(|error| MembershipError::Malformed {
        path: path.to_path_buf(),
        error: Box::new(error),
    })?;
    Ok(file.enabled)
}

/// Creates the membership of a proxy that receives datagrams at `listen`, in a cluster of `peers`.
///
/// # Errors
/// [`MembershipError::NoMemberAddress`] if `listen` is not an IPv4 address with a port other than
/// 0.
pub(crate) fn start(
    listen: Option<SocketAddr>,
    peers: &[SocketAddr],
    seed: u64,
) -> Result<Membership, MembershipError> {
    let Some(SocketAddr::V4(address)) = listen.filter(|address| address.port() != 0) else {
        return Err(MembershipError::NoMemberAddress);
    };
    let identity = Member {
        address,
        incarnation: new_incarnation(),
    };
    let cluster_size = peers.len().max(1) as u32;
    Ok(Membership::new(identity, config(cluster_size), seed))
}

/// The IPv4 addresses among the peers, through which the proxy joins the membership.
pub(crate) fn ipv4_peers(peers: &[SocketAddr]) -> Vec<SocketAddrV4> {
    peers
        .iter()
        .filter_map(|peer| match peer {
            SocketAddr::V4(address) => Some(*address),
            SocketAddr::V6(_) => None,
        })
        .collect()
}

#[cfg(test)]
mod tests;
