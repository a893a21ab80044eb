//! Speaks the bench's line dialect and hosts balancer instances. No decisions are made here.
//!
//! Lines hold tab-separated fields, `-` for an absent value. A batch runs from `CLOCK` to
//! `OVER_TO_YOU`; its reply ends with `EOR`. Instances share nothing: each has its own [`Balancer`]
//! and its own tables of names.

#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

use thiserror::Error;

use ironmast_balancer::{
    Action, AttemptEnded, Balancer, Event, Listing, LoadReport, Micros, Outcome, Phase, Request,
    Scope, Server, ServerId,
};
use ironmast_settings::{Flaw, LoadNames, Parsed, Setup, finite, flaw, number, setup};

/// What is wrong with a line, and with which of its fields.
#[derive(Debug, Error)]
#[error("line {line}: {message}: field `{field}`: {problem}")]
pub struct Malformed {
    /// Number of the line in the input, from 1.
    pub line: u64,
    /// The line's first field.
    pub message: String,
    /// The field that is wrong.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Why hosting ended before the input did.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line could not be understood.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

/// The fields of one line, taken in order.
struct Fields<'a> {
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn text(&mut self, field: &str) -> Parsed<&'a str> {
        match self.rest.next() {
            Some(value) => Ok(value),
            None => flaw(field, "missing"),
        }
    }

    fn named(&mut self, field: &str) -> Parsed<&'a str> {
        match self.text(field)? {
            "" | "-" => flaw(field, "must not be absent"),
            value => Ok(value),
        }
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        number(field, self.text(field)?)
    }

    fn optional<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<Option<T>> {
        match self.text(field)? {
            "-" => Ok(None),
            value => number(field, value).map(Some),
        }
    }

    fn bool(&mut self, field: &str) -> Parsed<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            value => flaw(field, format!("`{value}` is not 0 or 1")),
        }
    }

    fn end(&mut self) -> Parsed<()> {
        match self.rest.next() {
            Some(extra) => flaw("(end)", format!("unexpected further field `{extra}`")),
            None => Ok(()),
        }
    }
}

/// An entry of a numbered list, its zone still by name.
#[derive(Clone)]
struct Item {
    name: String,
    zone: String,
    server: Server,
}

/// One hosted balancer with the names its events use.
struct Instance {
    balancer: Balancer,
    servers: BTreeMap<ServerId, String>,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    load: LoadNames,
}

/// Hosts any number of instances on one input and output.
#[derive(Default)]
pub struct Host {
    sheets: BTreeMap<u8, Vec<Item>>,
    instances: BTreeMap<u64, Instance>,
    filling: Option<(u8, usize)>,
    batch: Option<(Micros, u64)>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Builds a host without instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves batches until the input ends.
    pub fn run(
        &mut self,
        mut input: impl BufRead,
        mut output: impl Write,
    ) -> Result<(), WireError> {
        let (mut line, mut count) = (Vec::new(), 0);
        loop {
            line.clear();
            count += 1;
            let malformed = |message: &str, (field, problem): Flaw| Malformed {
                line: count,
                message: message.to_string(),
                field,
                problem,
            };
            if input.read_until(b'\n', &mut line)? == 0 {
                return match self.batch {
                    Some(_) => Err(malformed("(end of input)", cut_off()).into()),
                    None => Ok(()),
                };
            }
            let terminated = line.last() == Some(&b'\n');
            let text = if let Ok(text) = std::str::from_utf8(&line) {
                text.trim_end_matches(['\n', '\r'])
            } else {
                let problem = ("(line)".to_string(), "not UTF-8".to_string());
                return Err(malformed("(unreadable)", problem).into());
            };
            let message = text.split('\t').next().unwrap_or("");
            if !terminated && message != "OVER_TO_YOU" {
                return Err(malformed(message, cut_off()).into());
            }
            match self.line(text) {
                Ok(false) => {}
                Ok(true) => {
                    output.write_all(self.reply.as_bytes())?;
                    output.flush()?;
                    self.reply.clear();
                }
                Err(problem) => return Err(malformed(message, problem).into()),
            }
        }
    }

    /// Takes one line; true where it ends a batch.
    fn line(&mut self, text: &str) -> Parsed<bool> {
        let mut fields = Fields {
            rest: text.split('\t'),
        };
        let message = fields.text("(message)")?;
        if let Some((page, left)) = self.filling {
            if message != "ITEM" {
                return flaw("elements", format!("{left} more ITEM lines were announced"));
            }
            let item = item(&mut fields)?;
            self.sheets.entry(page).or_default().push(item);
            self.filling = (left > 1).then_some((page, left - 1));
            return Ok(false);
        }
        if message == "CLOCK" {
            if self.batch.is_some() {
                return flaw("(message)", "the batch before has not ended");
            }
            self.batch = Some((fields.number("clock")?, fields.number("batch")?));
            return fields.end().map(|()| false);
        }
        let Some((now, batch)) = self.batch else {
            return flaw("(message)", "outside of a batch, or not known");
        };
        match message {
            "OVER_TO_YOU" => {
                fields.end()?;
                self.batch = None;
                let _ = writeln!(self.reply, "EOR\t{batch}");
                Ok(true)
            }
            "SHEET" => {
                let page: u8 = fields.number("page")?;
                if page > 15 {
                    return flaw("page", "lists are numbered 0 to 15");
                }
                let count = fields.number("elements")?;
                fields.end()?;
                self.sheets.insert(page, Vec::new());
                self.filling = (count > 0).then_some((page, count));
                Ok(false)
            }
            "ITEM" => flaw("(message)", "no SHEET announces it"),
            "CREATE" => {
                let who = fields.number("who")?;
                let instance = create(&mut fields)?;
                self.instances.insert(who, instance);
                Ok(false)
            }
            _ => {
                let event_known = [
                    "VIEW",
                    "REQ",
                    "SETTLED",
                    "DOWN",
                    "DEADLINE_HIT",
                    "CHECKED",
                    "HANGUP",
                    "HEADERS",
                    "INBOX",
                ];
                if !event_known.contains(&message) {
                    return flaw("(message)", "not a known message");
                }
                let who = fields.number("who")?;
                if message == "DOWN" {
                    fields.end()?;
                    return match self.instances.remove(&who) {
                        Some(_) => Ok(false),
                        None => flaw("who", format!("no instance {who} was created")),
                    };
                }
                let Some(instance) = self.instances.get_mut(&who) else {
                    return flaw("who", format!("no instance {who} was created"));
                };
                let event = instance.event(message, &mut fields, &self.sheets)?;
                fields.end()?;
                instance.balancer.handle(now, event, &mut self.actions);
                for action in self.actions.drain(..) {
                    instance.write(who, &action, &mut self.reply)?;
                }
                Ok(false)
            }
        }
    }
}

fn cut_off() -> Flaw {
    (
        "(end)".to_string(),
        "the input ends inside a batch".to_string(),
    )
}

fn item(fields: &mut Fields) -> Parsed<Item> {
    let name = fields.named("backend")?.to_string();
    let zone = fields.text("region_part")?.to_string();
    fields.text("flavor")?;
    let cell = fields.optional("group")?.unwrap_or(0);
    let phase = match fields.text("phase")? {
        "in_service" => Phase::Ready,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        other => return flaw("phase", format!("`{other}` is not a known phase")),
    };
    let size = match fields.text("scale")? {
        "-" => 1.0,
        value => finite("scale", value)?,
    };
    let started = fields.optional("came_up")?.filter(|&at: &Micros| at > 0);
    fields.end()?;
    let id = ServerId::from_name(&name);
    Ok(Item {
        name,
        zone,
        server: Server {
            id,
            zone: 0,
            cell,
            phase,
            size,
            started,
        },
    })
}

fn create(fields: &mut Fields) -> Parsed<Instance> {
    let seed = fields.number("init_seed")?;
    let mut pairs = BTreeMap::new();
    for pair in fields.rest.by_ref() {
        match pair.split_once('=') {
            Some((path, value)) => pairs.insert(path, value),
            None if pair.is_empty() => None,
            None => return flaw("params", format!("`{pair}` is not path=value")),
        };
    }
    let Setup {
        settings,
        classes,
        tenants,
        zones,
        load,
        ..
    } = setup(pairs)?;
    let balancer = Balancer::new(settings, seed).or_else(|e| flaw("params", e.to_string()))?;
    Ok(Instance {
        servers: BTreeMap::new(),
        classes,
        tenants,
        zones,
        load,
        balancer,
    })
}

fn outcome(fields: &mut Fields) -> Parsed<Outcome> {
    Ok(match fields.text("ending")? {
        "pass" => Outcome::Ok,
        "fault" => Outcome::ServerError,
        "no_room" => Outcome::Overloaded,
        "too_slow" => Outcome::Timeout,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::Reset,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return flaw("ending", format!("`{other}` is not a known ending")),
    })
}

impl Instance {
    fn event(
        &mut self,
        message: &str,
        fields: &mut Fields,
        sheets: &BTreeMap<u8, Vec<Item>>,
    ) -> Parsed<Event> {
        Ok(match message {
            "REQ" => self.request(fields)?,
            "SETTLED" => {
                let id = fields.number("handle")?;
                let outcome = outcome(fields)?;
                Event::AttemptEnded(AttemptEnded {
                    id,
                    outcome,
                    server: ServerId::from_name(fields.named("backend")?),
                    attempt: fields.number("hop")?,
                    latency: fields.number("lag")?,
                    finished: fields.bool("over")?,
                    load: self.report(fields)?,
                })
            }
            "HEADERS" => {
                let (id, attempt) = (fields.number("handle")?, fields.number("hop")?);
                fields.named("backend")?;
                fields.number::<Micros>("lag")?;
                Event::ResponseStarted { id, attempt }
            }
            "HANGUP" => Event::ClientDisconnected {
                id: fields.number("handle")?,
            },
            "DEADLINE_HIT" => Event::Timer {
                token: fields.number("ref")?,
            },
            "CHECKED" => {
                let server = ServerId::from_name(fields.named("backend")?);
                let outcome = outcome(fields)?;
                Event::ProbeEnded {
                    server,
                    outcome,
                    latency: fields.number("lag")?,
                    load: self.report(fields)?,
                }
            }
            "INBOX" => Event::PeerMessage {
                from: fields.number("from")?,
                data: bytes(fields.text("raw")?)?,
            },
            _ => self.view(fields, sheets)?,
        })
    }

    fn request(&self, fields: &mut Fields) -> Parsed<Event> {
        let id = fields.number("handle")?;
        let name = fields.text("band")?;
        let Some(class) = self.classes.iter().position(|c| c == name) else {
            return flaw("band", format!("`{name}` is not a class of the settings"));
        };
        let flags: u64 = fields.number("flags")?;
        let key = fields.optional("subject")?;
        let hint: Option<Micros> = fields.optional("hint")?;
        let customer = fields.text("customer")?;
        Ok(Event::Request(Request {
            id,
            class,
            tenant: self.tenants.iter().position(|t| t == customer),
            key,
            work_hint: hint.filter(|_| flags & 1 != 0),
            client_retry: flags & 2 != 0,
            expires: fields.number("expires")?,
        }))
    }

    fn view(&mut self, fields: &mut Fields, sheets: &BTreeMap<u8, Vec<Item>>) -> Parsed<Event> {
        fields.optional::<u64>("stamp")?;
        let scope = match fields.text("scope")? {
            "D" => Scope::Changes,
            "F" => Scope::Complete,
            "C" => Scope::Cached,
            "X" => Scope::Failed,
            other => return flaw("scope", format!("`{other}` is not a known scope")),
        };
        let page = fields.text("page")?;
        if scope == Scope::Failed {
            return Ok(Event::Members(Listing {
                scope,
                servers: Vec::new(),
            }));
        }
        let Some(items) = sheets.get(&number("page", page)?) else {
            return flaw("page", format!("no list {page} was given"));
        };
        let mut servers = Vec::with_capacity(items.len());
        for item in items {
            let zone = self
                .zones
                .iter()
                .position(|z| *z == item.zone)
                .unwrap_or_else(|| {
                    self.zones.push(item.zone.clone());
                    self.zones.len() - 1
                });
            self.servers
                .entry(item.server.id)
                .or_insert_with(|| item.name.clone());
            servers.push(Server {
                zone,
                ..item.server.clone()
            });
        }
        Ok(Event::Members(Listing { scope, servers }))
    }

    fn report(&self, fields: &mut Fields) -> Parsed<Option<LoadReport>> {
        let row = match fields.text("feedback")? {
            "-" | "" => return Ok(None),
            row => row,
        };
        let mut values = Vec::new();
        for value in row.split(',') {
            values.push(if value == "-" {
                None
            } else {
                Some(finite("feedback", value)?)
            });
        }
        Ok(Some(self.load.row(&values)))
    }

    fn write(&self, who: u64, action: &Action, out: &mut String) -> Parsed<()> {
        let name = |server: &ServerId| match self.servers.get(server) {
            Some(name) => Ok(name.as_str()),
            None => flaw(
                "backend",
                "the module named a server that no list has named",
            ),
        };
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => {
                writeln!(
                    out,
                    "SEND\t{who}\t{id}\t{}\t{}",
                    name(server)?,
                    timeout.unwrap_or(0)
                )
            }
            Action::Reject { id, retry_after } => {
                writeln!(out, "NOT_NOW\t{who}\t{id}\t{}", retry_after.unwrap_or(0))
            }
            Action::Fail { id } => writeln!(out, "END_FAILED\t{who}\t{id}"),
            Action::Cancel { id, attempt } => writeln!(out, "REVOKE\t{who}\t{id}\t{attempt}"),
            Action::Timer { delay, token } => writeln!(out, "AFTER\t{who}\t{delay}\t{token}"),
            Action::Subscribe(on) => writeln!(out, "WATCH\t{who}\t{}", u8::from(*on)),
            Action::FetchAll => writeln!(out, "QUERY_ALL\t{who}"),
            Action::Probe { server } => writeln!(out, "HEALTH_CHECK\t{who}\t{}", name(server)?),
            Action::SendToPeers { to, data } => {
                let _ = match to {
                    Some(peer) => write!(out, "PUBLISH\t{who}\t{peer}\t"),
                    None => write!(out, "PUBLISH\t{who}\t-1\t"),
                };
                if data.is_empty() {
                    out.push('-');
                }
                data.iter().for_each(|byte| {
                    let _ = write!(out, "{byte:02x}");
                });
                writeln!(out)
            }
            Action::CloseIdle { server } => writeln!(out, "DISCONNECT\t{who}\t{}", name(server)?),
            Action::Log(text) => writeln!(
                out,
                "REMARK\t{who}\t{}",
                text.replace(['\t', '\n', '\r'], " ")
            ),
        };
        Ok(())
    }
}

fn bytes(hex: &str) -> Parsed<Vec<u8>> {
    if hex == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> = hex
        .chars()
        .map(|c| c.to_digit(16).map(|d| d as u8))
        .collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => {
            Ok(digits.chunks(2).map(|d| d[0] << 4 | d[1]).collect())
        }
        _ => flaw("raw", format!("`{hex}` is not pairs of hex digits")),
    }
}

#[cfg(test)]
mod tests;
