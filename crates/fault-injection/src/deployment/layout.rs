//! What a deployment consists of, and the proxies' configuration for it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::{DISCOVERY, proxy_name};
use crate::fault::Link;

/// A zone and its pay servers, the backends of the deployment.
#[derive(Clone, Debug)]
pub struct ZoneLayout {
    /// The name of the zone.
    pub name: String,
    /// The number of its pay servers.
    pub servers: usize,
}

impl ZoneLayout {
    /// The uids of the pay servers, which are also their names in links: `ZONE-0`, `ZONE-1` and so
    /// on.
    pub(super) fn server_names(&self) -> impl Iterator<Item = String> {
        (0..self.servers).map(|server| format!("{}-{server}", self.name))
    }
}

/// The program, the zones and the timings from which a deployment is started.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The `ironmast` program.
    pub program: PathBuf,
    /// The zones; the proxies are in the first.
    pub zones: Vec<ZoneLayout>,
    /// The number of proxies, 1 or more; in links they are called `proxy0`, `proxy1` and so on.
    pub proxies: usize,
    /// The service time of a request on a pay server.
    pub service_time: Duration,
    /// How long a proxy may take to start, and then to report that it is ready.
    pub start_timeout: Duration,
}

impl Layout {
    /// Every link of the deployment, from a proxy to a pay server or to discovery.
    #[must_use]
    pub fn links(&self) -> Vec<Link> {
        let servers = self.zones.iter().flat_map(ZoneLayout::server_names);
        let ends: Vec<String> = servers.chain([DISCOVERY.to_string()]).collect();
        let links_of = |proxy| {
            ends.iter().map(move |end| Link {
                from: proxy_name(proxy),
                to: end.clone(),
            })
        };
        (0..self.proxies).flat_map(links_of).collect()
    }

    /// The configuration of a proxy, made from the template.
    pub(super) fn configuration(
        &self,
        proxy: usize,
        discovery: SocketAddr,
        listen: SocketAddr,
    ) -> String {
        let quoted: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{}\"", zone.name))
            .collect();
        let (zone, proxies) = (&quoted[0], self.proxies);
        crate::CONFIG
            .replace("\"zone\":\"seattle\"", &format!("\"zone\":{zone}"))
            .replace(
                "\"zones\":[\"seattle\",\"portland\"]",
                &format!("\"zones\":[{}]", quoted.join(",")),
            )
            .replace("{discovery}", &discovery.to_string())
            .replace("127.0.0.1:0", &listen.to_string())
            .replace("\"name\":\"n1\"", &format!("\"name\":\"n{proxy}\""))
            .replace(
                "\"balancers\":1,\"me\":0",
                &format!("\"balancers\":{proxies},\"me\":{proxy}"),
            )
    }
}

/// The request classes in the proxies' configuration; a request's class is the first segment of its
/// path.
///
/// # Panics
/// [`crate::CONFIG`] is not valid JSON or lists no classes, which the tests of scenarios rule out.
#[must_use]
pub fn request_classes() -> Vec<String> {
    let configuration: serde_json::Value =
        serde_json::from_str(crate::CONFIG).expect("the template is JSON");
    let classes = configuration["settings"]["classes"]
        .as_array()
        .expect("classes are listed");
    let name = |class: &serde_json::Value| class["name"].as_str().map(str::to_string);
    classes
        .iter()
        .map(|class| name(class).expect("a class has a name"))
        .collect()
}
