//! The client of the discovery service: watches or fetches the endpoint list, and reports updates
//! to the driver.
//!
//! A failed call, a malformed list and a watch that times out are each reported at once as a failed
//! update, so that the decision module knows that its list may be outdated.

mod endpoint_list;
mod json_objects;

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use awc::Client;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use ironmast_admin::endpoint::{Endpoint, EndpointUpdate};
use ironmast_balancer::Scope;
use serde::Deserialize;
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::message::{DiscoveryCommand, Message, Queue};

use endpoint_list::{EndpointList, ZoneIds};
use json_objects::JsonObjects;

/// The time-out of a call until its response begins, of each chunk of a fetched list, and of the
/// first chunk of a watch. Longer than the 3 s after which discovery drops a queued call itself.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// The idle time-out of a watch after its first chunk: discovery sends a line every 2 s. Detects
/// network partitions, which close no connection.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The delay before a failed watch is reopened, if discovery pushes its lists.
const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The minimum time from the call of a watch that ended after a list to the next call. Limits the
/// rate of calls if discovery ends each watch after one list.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum size of an endpoint list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call to discovery or a watch failed.
#[derive(Debug, thiserror::Error)]
enum DiscoveryError {
    #[error("{0}")]
    Send(SendRequestError),
    #[error("discovery responded with status {0}")]
    Status(StatusCode),
    #[error("the response timed out")]
    ResponseTimeout,
    #[error("{0}")]
    Body(PayloadError),
    #[error("malformed endpoint list: {0}")]
    MalformedJson(serde_json::Error),
    #[error("malformed endpoint list")]
    MalformedList,
    #[error("the endpoint list exceeds {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    #[error("the watch timed out")]
    WatchTimeout,
    #[error("the watch ended before its first list")]
    WatchEndedWithoutList,
}

/// Discovery ended a watch after it had sent a list. Later changes are unknown until the next
/// watch.
struct WatchEnded;

/// The settings of the discovery client.
pub(crate) struct DiscoverySettings {
    /// The address of the discovery service.
    pub address: SocketAddr,
    /// The names of the zones, indexed by zone id.
    pub zones: Vec<String>,
    /// Whether discovery pushes lists. A watch is then always open, whatever the commands, because
    /// the decision module treats whatever discovery has sent as received.
    pub is_pushed: bool,
}

/// The client of the discovery service: owns the watch and the revision received last.
pub(crate) struct Discovery {
    address: SocketAddr,
    client: Client,
    zones: ZoneIds,
    /// The revision of the last list received.
    revision: Option<u64>,
    /// The earliest time of the next watch.
    not_before: Instant,
    is_pushed: bool,
    log: Logger,
    queue: Queue,
}

impl Discovery {
    /// Creates a client that has not received a list yet.
    pub(crate) fn new(
        settings: DiscoverySettings,
        client: Client,
        log: Logger,
        queue: Queue,
    ) -> Self {
        Discovery {
            address: settings.address,
            client,
            zones: ZoneIds::new(settings.zones),
            revision: None,
            not_before: Instant::now(),
            is_pushed: settings.is_pushed,
            log,
            queue,
        }
    }

    /// Reports the list that was known before this start, as discovery's JSON. Without one an empty
    /// list is reported, because the decision module expects this report first.
    pub(crate) fn report_cached(&mut self, cached: Option<&Value>) {
        let list = cached.and_then(|cached| EndpointList::deserialize(cached).ok());
        if cached.is_some() && list.is_none() {
            warn!(self.log, "malformed cached endpoint list ignored");
        }
        self.revision = list.as_ref().map(|list| list.revision);
        let endpoints =
            list.map_or_else(Vec::new, |list| list.endpoints(&mut self.zones, &self.log));
        self.report(Scope::Cached, self.revision, endpoints);
    }

    /// Executes commands until all senders are dropped. A watch interrupted by a command is
    /// reopened from the last revision.
    pub(crate) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>) {
        let mut watching = self.is_pushed;
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                end = self.watch(), if watching => {
                    match end {
                        // Reopened without delay: discovery may end a watch instead of reporting
                        // that a server drains. All proxies then call at once and are answered one
                        // after another, and the last one must still learn of the drain in time.
                        Ok(WatchEnded) => info!(self.log, "discovery ended the watch, reopening it"),
                        Err(error) => {
                            watching = self.is_pushed;
                            self.report_failure(&error);
                            if watching {
                                sleep(PUSHED_RETRY_DELAY).await;
                            }
                        }
                    }
                    continue;
                }
            };
            match command {
                Some(DiscoveryCommand::StartWatching) => watching = true,
                Some(DiscoveryCommand::StopWatching) => watching = false,
                Some(DiscoveryCommand::FetchAll) => self.fetch().await,
                Some(DiscoveryCommand::ChangeAddress(address)) => {
                    self.change_address(address);
                    watching = true;
                }
                None => return,
            }
        }
    }

    /// Switches to another address of discovery; the service at the old one soon ends its watches.
    /// The complete list is requested at once, because the new service may count revisions
    /// differently.
    fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.revision = None;
        self.not_before = Instant::now();
    }

    fn report(&self, scope: Scope, revision: Option<u64>, endpoints: Vec<Endpoint>) {
        self.queue.send(Message::EndpointsUpdated(EndpointUpdate {
            scope,
            revision,
            endpoints,
        }));
    }

    fn report_failure(&self, error: &DiscoveryError) {
        info!(self.log, "discovery failed"; "error" => %error);
        self.report(Scope::Failed, None, Vec::new());
    }

    /// Parses a list from JSON and reports it.
    fn report_list(&mut self, json: &[u8]) -> Result<(), DiscoveryError> {
        let value: Value = serde_json::from_slice(json).map_err(DiscoveryError::MalformedJson)?;
        let list = EndpointList::deserialize(&value).map_err(|_| DiscoveryError::MalformedList)?;
        self.revision = Some(list.revision);
        let scope = if list.is_complete {
            Scope::Complete
        } else {
            Scope::Changes
        };
        let endpoints = list.endpoints(&mut self.zones, &self.log);
        self.report(scope, self.revision, endpoints);
        Ok(())
    }

    /// Requests the endpoint list with `query`; returns the body of a successful response.
    async fn call(
        &self,
        query: &str,
    ) -> Result<impl Stream<Item = Result<Bytes, PayloadError>> + use<>, DiscoveryError> {
        let url = format!("http://{}/registry/instances{query}", self.address);
        let call = self.client.get(url).no_decompress().send();
        match timeout(RESPONSE_TIMEOUT, call).await {
            Ok(Ok(response)) if response.status().is_success() => Ok(response),
            Ok(Ok(response)) => Err(DiscoveryError::Status(response.status())),
            Ok(Err(error)) => Err(DiscoveryError::Send(error)),
            Err(_) => Err(DiscoveryError::ResponseTimeout),
        }
    }

    /// Fetches the complete list once and reports it, or reports the failure.
    async fn fetch(&mut self) {
        let fetched = self.fetch_json().await;
        if let Err(error) = fetched.and_then(|json| self.report_list(&json)) {
            self.report_failure(&error);
        }
    }

    async fn fetch_json(&self) -> Result<Vec<u8>, DiscoveryError> {
        let mut body = self.call("").await?;
        let mut json = Vec::new();
        while let Some(chunk) = timeout(RESPONSE_TIMEOUT, body.next())
            .await
            .map_err(|_| DiscoveryError::ResponseTimeout)?
        {
            json.extend_from_slice(&chunk.map_err(DiscoveryError::Body)?);
            if json.len() > MAX_LIST_BYTES {
                return Err(DiscoveryError::ListTooLong);
            }
        }
        Ok(json)
    }

    /// Opens a watch and reports each list until the watch ends or fails.
    async fn watch(&mut self) -> Result<WatchEnded, DiscoveryError> {
        sleep_until(self.not_before).await;
        let called_at = Instant::now();
        let index = self
            .revision
            .map(|revision| format!("&index={revision}"))
            .unwrap_or_default();
        let mut body = self.call(&format!("?stream=1{index}")).await?;
        let mut objects = JsonObjects::default();
        let mut has_list = false;
        let mut chunk_timeout = RESPONSE_TIMEOUT;
        loop {
            let chunk = match timeout(chunk_timeout, body.next()).await {
                Err(_) => return Err(DiscoveryError::WatchTimeout),
                Ok(None) if has_list => {
                    self.not_before = called_at + MIN_WATCH_INTERVAL;
                    return Ok(WatchEnded);
                }
                Ok(None) => return Err(DiscoveryError::WatchEndedWithoutList),
                Ok(Some(chunk)) => chunk.map_err(DiscoveryError::Body)?,
            };
            chunk_timeout = WATCH_IDLE_TIMEOUT;
            objects.push(&chunk);
            while let Some(json) = objects.next() {
                self.report_list(&json)?;
                has_list = true;
            }
            if objects.buffered_bytes() > MAX_LIST_BYTES {
                return Err(DiscoveryError::ListTooLong);
            }
        }
    }
}
