//! The client of discovery: watches the endpoint list or fetches it, and reports updates to the
//! driver.
//!
//! A call that fails, a malformed list and a watch that times out are each reported at once as a
//! failed update, so that the decision module knows that its list may be outdated.

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

/// The time-out of a call until its response begins, and of each chunk of a complete list. Calls
/// queue at discovery, which itself gives up on them after 3 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// A watch that sends nothing for this long has failed: discovery sends a line every 2 s. Guards
/// against partitions, which close no connection.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Where lists are pushed, a watch that failed is reopened after this delay.
const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A watch that ended after a list is reopened no sooner than this after its own call. Guards
/// discovery against being called ever faster where it ends each watch after its list.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum size of a list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
enum DiscoveryError {
    #[error("{0}")]
    Send(SendRequestError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the response timed out")]
    ResponseTimeout,
    #[error("{0}")]
    Body(PayloadError),
    #[error("malformed endpoint list: {0}")]
    MalformedJson(serde_json::Error),
    #[error("malformed endpoint list")]
    MalformedList,
    #[error("the endpoint list is too long")]
    ListTooLong,
    #[error("the watch timed out")]
    WatchTimeout,
    #[error("the watch ended")]
    WatchEndedWithoutList,
}

/// A watch that discovery ended after it had sent a list: what has changed since is not known.
struct WatchEnded;

/// What the client needs to know of its deployment.
pub(crate) struct DiscoverySettings {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// The names of the zones, by id.
    pub zones: Vec<String>,
    /// Whether discovery pushes lists: a watch is then open all the time, asked for or not, because
    /// what discovery has sent counts as received.
    pub is_pushed: bool,
}

/// The client of discovery.
pub(crate) struct Discovery {
    address: SocketAddr,
    client: Client,
    zones: ZoneIds,
    /// The revision of the list that was received last.
    revision: Option<u64>,
    /// The next watch is not opened before this.
    not_before: Instant,
    is_pushed: bool,
    log: Logger,
    queue: Queue,
}

impl Discovery {
    /// A client that has received nothing yet.
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

    /// Reports the list that was known before this start, in discovery's form. The report is made
    /// even if there is none, because the decision module starts with it.
    pub(crate) fn report_cached(&mut self, cached: Option<&Value>) {
        let list = cached.and_then(|cached| EndpointList::deserialize(cached).ok());
        if cached.is_some() && list.is_none() {
            warn!(self.log, "malformed cached endpoint list");
        }
        self.revision = list.as_ref().map(|list| list.revision);
        let endpoints =
            list.map_or_else(Vec::new, |list| list.endpoints(&mut self.zones, &self.log));
        self.report(Scope::Cached, self.revision, endpoints);
    }

    /// Executes commands until all senders are dropped. A watch that is interrupted by a command
    /// is reopened from the last revision.
    pub(crate) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>) {
        let mut watching = self.is_pushed;
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                end = self.watch(), if watching => {
                    match end {
                        // Reopened at once: a watch may end instead of reporting that a server
                        // drains. All proxies call then, discovery responds to one after another,
                        // and the last must be notified in time, too.
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

    /// Changes to another discovery. The old address ends its watches soon. The new one is called
    /// at once and for the complete list, because its revisions may be counted differently.
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

    /// Reports a list, given as JSON.
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

    /// Calls discovery; returns the body of the response.
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

    /// Fetches the complete list once and reports it, or that it could not be fetched.
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

    /// Watches, and reports each list, until the watch ends or fails.
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
