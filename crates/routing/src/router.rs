//! Which route a request is on: the longest prefix of its path among the routes of its host.

use std::borrow::Cow;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::table::{Route, TableError};

/// Routes by host and prefix.
#[derive(Debug, Default)]
pub struct Router {
    hosts: FxHashMap<Box<str>, HostRoutes>,
    count: usize,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: FxHashMap<Box<str>, Arc<Route>>,
    /// Lengths of the prefixes, longest first, each once: only these beginnings of a path are
    /// looked up.
    lengths: Vec<usize>,
}

impl Router {
    /// Sorts the routes by host.
    pub(crate) fn build(routes: Vec<Arc<Route>>) -> Result<Router, TableError> {
        let mut router = Router {
            count: routes.len(),
            ..Router::default()
        };
        for route in routes {
            let host = router
                .hosts
                .entry(lower(&route.spec.host).into())
                .or_default();
            host.lengths.push(route.spec.prefix.len());
            let twice = host.by_prefix.insert(route.spec.prefix.clone(), route);
            if let Some(route) = twice {
                return Err(TableError::DuplicateRoute {
                    route: route.spec.name.clone(),
                });
            }
        }
        for host in router.hosts.values_mut() {
            host.lengths.sort_unstable_by(|a, b| b.cmp(a));
            host.lengths.dedup();
        }
        Ok(router)
    }

    /// The route of a request by its `Host` header (in any case) and the path of its target; a
    /// query is left aside. A port in the header matters only to routes whose host names it.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let (host, path) = (
            lower(host),
            path.split(['?', '#']).next().unwrap_or_default(),
        );
        let exact = self
            .hosts
            .get(host.as_ref())
            .and_then(|host| host.route(path));
        exact.or_else(|| self.hosts.get(without_port(&host)?)?.route(path))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// True where there is no route.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Every route, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(|host| host.by_prefix.values())
    }
}

impl HostRoutes {
    /// The longest prefix of a path.
    fn route(&self, path: &str) -> Option<&Arc<Route>> {
        let begins = |length: &usize| path.as_bytes().get(length - 1) == Some(&b'/');
        let lengths = self.lengths.iter().filter(|length| begins(length));
        lengths
            .filter_map(|length| self.by_prefix.get(&path[..*length]))
            .next()
    }
}

/// A host without its port, where it has one.
fn without_port(host: &str) -> Option<&str> {
    let (name, port) = host.rsplit_once(':')?;
    // The colons of an address in brackets are none of a port.
    let is_port = port.bytes().all(|b| b.is_ascii_digit()) && !name.ends_with(':');
    is_port.then_some(name)
}

fn lower(host: &str) -> Cow<'_, str> {
    match host.bytes().any(|b| b.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}

#[cfg(test)]
mod tests;
