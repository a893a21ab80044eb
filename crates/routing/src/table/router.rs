//! Route lookup: the longest matching path prefix among the routes of the request's host.

use std::borrow::Cow;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::error::TableError;
use super::route::Route;

/// Routes by host and path prefix.
#[derive(Debug, Default)]
pub struct Router {
    hosts: FxHashMap<Box<str>, HostRoutes>,
    count: usize,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: FxHashMap<Box<str>, Arc<Route>>,
    /// The distinct lengths of the prefixes in bytes, in descending order. A lookup tries only
    /// these prefixes of a path.
    prefix_lengths: Vec<usize>,
}

impl Router {
    /// Indexes routes by host and prefix.
    ///
    /// # Errors
    /// Two routes have the same host and prefix.
    pub(crate) fn build(routes: Vec<Arc<Route>>) -> Result<Router, TableError> {
        let mut router = Router {
            count: routes.len(),
            ..Router::default()
        };
        for route in routes {
            let host = lowercase(&route.spec.host).into();
            let host_routes = router.hosts.entry(host).or_default();
            host_routes.prefix_lengths.push(route.spec.prefix.len());
            let prefix = route.spec.prefix.clone();
            if let Some(duplicate) = host_routes.by_prefix.insert(prefix, route) {
                return Err(TableError::DuplicateRoute {
                    route: duplicate.spec.name.clone(),
                });
            }
        }
        for host_routes in router.hosts.values_mut() {
            let lengths = &mut host_routes.prefix_lengths;
            lengths.sort_unstable_by(|one, other| other.cmp(one));
            lengths.dedup();
        }
        Ok(router)
    }

    /// The route for a `Host` header and a request target. Hosts are compared case-insensitively,
    /// and the port in the header matters only to routes whose host names a port. The query and
    /// fragment of the target are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = lowercase(host);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let exact = self.hosts.get(host.as_ref());
        exact
            .and_then(|routes| routes.longest_prefix(path))
            .or_else(|| self.hosts.get(without_port(&host)?)?.longest_prefix(path))
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// True if there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts
            .values()
            .flat_map(|routes| routes.by_prefix.values())
    }
}

impl HostRoutes {
    /// The route with the longest prefix of a path.
    fn longest_prefix(&self, path: &str) -> Option<&Arc<Route>> {
        // Every prefix ends with a slash, so a prefix can match only where the path has a slash at
        // its last byte. This also puts the end of the slice below on a character boundary.
        let ends_with_slash = |length: &&usize| path.as_bytes().get(**length - 1) == Some(&b'/');
        let mut lengths = self.prefix_lengths.iter().filter(ends_with_slash);
        lengths.find_map(|length| self.by_prefix.get(&path[..*length]))
    }
}

/// The host without its port; `None` if it has no port.
fn without_port(host: &str) -> Option<&str> {
    let (name, port) = host.rsplit_once(':')?;
    // Colons inside a bracketed IPv6 address do not introduce a port.
    let is_port = port.bytes().all(|byte| byte.is_ascii_digit()) && !name.ends_with(':');
    is_port.then_some(name)
}

/// The host in lower case, copied only if it has upper-case letters.
fn lowercase(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

#[cfg(test)]
mod tests;
