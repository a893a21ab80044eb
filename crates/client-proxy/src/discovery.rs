//! Discovery's client: the watch and the full list, told to the driver as news. A call that fails,
//! a list that makes no sense and a watch gone silent are each told as failed at once.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use ironmast_admin::endpoint::{Endpoint, EndpointUpdate, Target};
use ironmast_balancer::Scope;
use serde::Deserialize;
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::message::{DiscoveryCommand, Message, Queue};

/// Calls wait their turn at discovery, which gives up on them after 3 s.
const ANSWER: Duration = Duration::from_secs(4);
/// A line comes every 2 s: guards against cut links, which give no sign.
const SILENCE: Duration = Duration::from_secs(3);
/// Where lists are pushed, what the agent has counts as told at once: a call that failed is made
/// again after this.
const PUSHED_AGAIN: Duration = Duration::from_millis(100);
/// A watch that had told a list and ended is opened again at once, but no sooner than this after
/// its own call.
const ENDED_AGAIN: Duration = Duration::from_millis(250);
/// A list takes no more than this.
const LIST_MOST: usize = 4 << 20;

/// A list in discovery's form, or changes to one.
struct List {
    rev: u64,
    all: bool,
    entries: Vec<Value>,
}

#[derive(Deserialize)]
struct Written {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

impl List {
    /// Reads a list; none if it is malformed.
    fn read(value: &Value) -> Option<List> {
        let Written { rev, all, targets } = Written::deserialize(value).ok()?;
        Some(List {
            rev,
            all,
            entries: targets,
        })
    }

    /// Its entries in the module's terms; bad ones are skipped and logged.
    fn entries(&self, zones: &mut Vec<String>, log: &Logger) -> Vec<Endpoint> {
        let read = |value: &Value| {
            let target = Target::deserialize(value).map_err(|e| e.to_string());
            let entry = target.and_then(|t| {
                t.into_endpoint(|az| zone(zones, az))
                    .map_err(|e| e.to_string())
            });
            entry
                .map_err(|why| warn!(log, "invalid endpoint skipped"; "why" => why))
                .ok()
        };
        self.entries.iter().filter_map(read).collect()
    }
}

/// Takes the objects of a stream apart, whatever lines they stand on: guards against lists that
/// come indented. Each byte is looked at once.
#[derive(Default)]
struct Objects {
    text: Vec<u8>,
    looked: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Objects {
    fn push(&mut self, part: &[u8]) {
        self.text.extend_from_slice(part);
    }

    fn len(&self) -> usize {
        self.text.len()
    }

    /// The next object that has come whole. What begins none ends with its line and is handed out
    /// as well: who reads it finds fault with it.
    fn next(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.text.get(self.looked) {
            self.looked += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' if self.depth > 0 => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' => self.depth += 1,
                b'}' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth == 0 && matches!(byte, b'}' | b'\n') {
                let object: Vec<u8> = self
                    .text
                    .drain(..std::mem::take(&mut self.looked))
                    .collect();
                if !object.trim_ascii().is_empty() {
                    return Some(object);
                }
            }
        }
        None
    }
}

/// The number of a zone; one that is not in the settings gets the next.
fn zone(zones: &mut Vec<String>, name: &str) -> usize {
    zones.iter().position(|z| z == name).unwrap_or_else(|| {
        zones.push(name.to_string());
        zones.len() - 1
    })
}

/// How a watch came to its end.
enum End {
    /// It had told a list, and discovery closed it: what has changed since is not known.
    Ended,
    /// The call failed, what came made no sense, it broke off or fell silent.
    Failed(String),
}

/// Watches and fetches on behalf of the driver.
pub(crate) struct Discovery {
    address: SocketAddr,
    client: Client,
    zones: Vec<String>,
    rev: Option<u64>,
    /// The next watch is not opened before this.
    not_before: Instant,
    /// Lists are pushed: what the agent has counts as told from the first moment on, asked for or
    /// not.
    pub pushed: bool,
    log: Logger,
    queue: Queue,
}

impl Discovery {
    /// A client that holds nothing yet.
    pub(crate) fn new(
        address: SocketAddr,
        client: Client,
        zones: Vec<String>,
        log: Logger,
        queue: Queue,
    ) -> Self {
        let (rev, not_before, pushed) = (None, Instant::now(), false);
        Discovery {
            address,
            client,
            zones,
            rev,
            not_before,
            pushed,
            log,
            queue,
        }
    }

    /// Tells the list that was held before this start; even an empty one sets the module going.
    pub(crate) fn recall(&mut self, known: Option<&Value>) {
        let list = known.and_then(List::read);
        if known.is_some() && list.is_none() {
            warn!(self.log, "malformed cached endpoint list");
        }
        self.rev = list.as_ref().map(|list| list.rev);
        let entries = list.map_or_else(Vec::new, |list| list.entries(&mut self.zones, &self.log));
        self.queue.send(Message::EndpointsUpdated(EndpointUpdate {
            scope: Scope::Cached,
            revision: self.rev,
            endpoints: entries,
        }));
    }

    /// Does what is asked until nobody can ask any more. Asked again, or interrupted by a fetch,
    /// the watch begins anew from the version held.
    pub(crate) async fn run(mut self, mut asks: mpsc::UnboundedReceiver<DiscoveryCommand>) {
        let mut watching = self.pushed;
        loop {
            let ask = tokio::select! {
                ask = asks.recv() => ask,
                end = self.watch(), if watching => {
                    match end {
                        // Guards rule 3 against a watch that ends instead of telling of a drain:
                        // all agents call then, discovery answers one after another, and the last
                        // has to be told in time, too.
                        End::Ended => info!(self.log, "discovery failed"; "why" => "the watch ended and is reopened"),
                        End::Failed(why) => {
                            watching = self.pushed;
                            self.failed(&why);
                            if watching {
                                sleep(PUSHED_AGAIN).await;
                            }
                        }
                    }
                    continue;
                }
            };
            match ask {
                Some(DiscoveryCommand::Watch(on)) => watching = on,
                Some(DiscoveryCommand::FetchAll) => self.fetch().await,
                Some(DiscoveryCommand::ChangeAddress(address)) => {
                    // The old address ends its watches soon. The new one is called at once, asked
                    // or not, and for the whole list: guards against versions that count
                    // differently there.
                    (self.address, self.rev, watching) = (address, None, true);
                    self.not_before = Instant::now();
                }
                None => return,
            }
        }
    }

    fn failed(&self, why: &str) {
        info!(self.log, "discovery failed"; "why" => why);
        let (scope, rev, entries) = (Scope::Failed, None, Vec::new());
        self.queue.send(Message::EndpointsUpdated(EndpointUpdate {
            scope,
            revision: rev,
            endpoints: entries,
        }));
    }

    fn tell(&mut self, text: &[u8]) -> Result<(), String> {
        let value: Value =
            serde_json::from_slice(text).map_err(|e| format!("malformed endpoint list: {e}"))?;
        let list = List::read(&value).ok_or("malformed endpoint list")?;
        self.rev = Some(list.rev);
        let scope = if list.all {
            Scope::Complete
        } else {
            Scope::Changes
        };
        let entries = list.entries(&mut self.zones, &self.log);
        self.queue.send(Message::EndpointsUpdated(EndpointUpdate {
            scope,
            revision: self.rev,
            endpoints: entries,
        }));
        Ok(())
    }

    async fn call(
        &self,
        query: &str,
    ) -> Result<impl Stream<Item = Result<Bytes, PayloadError>> + use<>, String> {
        let url = format!("http://{}/registry/instances{query}", self.address);
        match timeout(ANSWER, self.client.get(url).no_decompress().send()).await {
            Ok(Ok(answer)) if answer.status().is_success() => Ok(answer),
            Ok(Ok(answer)) => Err(format!("status {}", answer.status())),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("the response timed out".to_string()),
        }
    }

    async fn fetch(&mut self) {
        let read = async {
            let mut answer = self.call("").await?;
            let mut text = Vec::new();
            while let Some(part) = timeout(ANSWER, answer.next())
                .await
                .map_err(|_| "the response timed out")?
            {
                text.extend_from_slice(&part.map_err(|e| e.to_string())?);
                if text.len() > LIST_MOST {
                    return Err("the endpoint list is too long".to_string());
                }
            }
            Ok(text)
        };
        let done = read.await.and_then(|text| self.tell(&text));
        if let Err(why) = done {
            self.failed(&why);
        }
    }

    /// Watches until it ends or fails.
    async fn watch(&mut self) -> End {
        sleep_until(self.not_before).await;
        let called = Instant::now();
        let index = self
            .rev
            .map(|rev| format!("&index={rev}"))
            .unwrap_or_default();
        let mut answer = match self.call(&format!("?stream=1{index}")).await {
            Ok(answer) => answer,
            Err(why) => return End::Failed(why),
        };
        let (mut text, mut first, mut told) = (Objects::default(), true, false);
        loop {
            let part = match timeout(if first { ANSWER } else { SILENCE }, answer.next()).await {
                Err(_) => return End::Failed("the watch timed out".to_string()),
                Ok(None) if told => {
                    // Guards discovery against being called ever faster where it ends each watch
                    // after its list.
                    self.not_before = called + ENDED_AGAIN;
                    return End::Ended;
                }
                Ok(None) => return End::Failed("the watch ended".to_string()),
                Ok(Some(Err(error))) => return End::Failed(error.to_string()),
                Ok(Some(Ok(part))) => part,
            };
            text.push(&part);
            first = false;
            while let Some(list) = text.next() {
                if let Err(why) = self.tell(&list) {
                    return End::Failed(why);
                }
                told = true;
            }
            if text.len() > LIST_MOST {
                return End::Failed("the endpoint list is too long".to_string());
            }
        }
    }
}

#[cfg(test)]
mod tests;
