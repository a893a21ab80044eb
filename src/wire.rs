//! Speaks the bench's line dialect and hosts balancer instances. No decisions are made here.
//!
//! Lines hold tab-separated fields, `-` for an absent value. A batch runs from `CLOCK` to `OVER_TO_YOU`; its
//! reply ends with `EOR`. Instances share nothing: each has its own [`Balancer`] and its own tables of names.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

use thiserror::Error;

use crate::{
    Action, Balancer, ClassSettings, Discovery, Effect, Event, Group, Listing, LoadReport, Micros, Outcome,
    Phase, Request, Scope, Server, ServerId, Settings, Settled, SizeMeaning, TenantSettings,
};

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

/// A field's name and what is wrong with it; the host adds line and message.
type Flaw = (String, String);
type Parsed<T> = Result<T, Flaw>;

fn flaw<T>(field: &str, problem: impl Into<String>) -> Parsed<T> {
    Err((field.to_string(), problem.into()))
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

fn number<T: std::str::FromStr>(field: &str, value: &str) -> Parsed<T> {
    match value.parse() {
        Ok(number) => Ok(number),
        Err(_) => flaw(field, format!("`{value}` is not a number of the expected form")),
    }
}

fn finite(field: &str, value: &str) -> Parsed<f64> {
    match number::<f64>(field, value)? {
        v if v.is_finite() => Ok(v),
        _ => flaw(field, format!("`{value}` is not a finite number")),
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
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves batches until the input ends.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
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
            let text = match std::str::from_utf8(&line) {
                Ok(text) => text.trim_end_matches(['\n', '\r']),
                Err(_) => {
                    let problem = ("(line)".to_string(), "not UTF-8".to_string());
                    return Err(malformed("(unreadable)", problem).into());
                }
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
        let mut fields = Fields { rest: text.split('\t') };
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
    ("(end)".to_string(), "the input ends inside a batch".to_string())
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
    Ok(Item { name, zone, server: Server { id, zone: 0, cell, phase, size, started } })
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
    let Setup { settings, classes, tenants, zones, load, .. } = setup(pairs)?;
    let balancer = Balancer::new(settings, seed).or_else(|e| flaw("params", e.to_string()))?;
    Ok(Instance { servers: BTreeMap::new(), classes, tenants, zones, load, balancer })
}

/// The settings in the module's terms, with the names that others use for them.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What the module is built from.
    pub settings: Settings,
    /// The classes' names, by [`crate::ClassId`].
    pub classes: Vec<String>,
    /// The tenants' names, by [`crate::TenantId`].
    pub tenants: Vec<String>,
    /// The zones' names, by [`crate::ZoneId`].
    pub zones: Vec<String>,
    /// The values in load reports.
    pub load: LoadNames,
    /// A connection not made within this counts as failed.
    pub connect_timeout: Micros,
    /// Servers close connections that were idle for this long.
    pub keepalive: Micros,
}

impl Setup {
    /// Reads settings that are given by path; the error names the path.
    pub fn read(pairs: &BTreeMap<String, String>) -> Result<Setup, String> {
        let pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
        setup(pairs).map_err(|(field, problem)| format!("{field}: {problem}"))
    }
}

fn setup(pairs: BTreeMap<&str, &str>) -> Parsed<Setup> {
    let params = Params { pairs };
    let names = |list: &str| params.items(list, "name");
    Ok(Setup {
        settings: params.settings()?,
        classes: names("classes")?,
        tenants: names("tenants")?,
        zones: params.list("zones"),
        load: LoadNames(params.list("load_report.names")),
        connect_timeout: params.whole("limits.connect_timeout", 200_000)?,
        keepalive: params.whole("limits.keepalive", 60_000_000)?,
    })
}

/// The names of the values in load reports, in their order.
#[derive(Clone, Debug, Default)]
pub struct LoadNames(pub Vec<String>);

impl LoadNames {
    /// A report of values in the order of the names.
    fn row(&self, values: &[Option<f64>]) -> LoadReport {
        let pick = |name: &str| {
            let column = self.0.iter().position(|n| n == name);
            column.and_then(|c| values.get(c).copied().flatten())
        };
        LoadReport { cpu: pick("cpu"), active: pick("active") }
    }

    /// Reads `TEXT inflight=7, util=0.61`; none where it holds nothing that is known.
    pub fn report(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for pair in text.trim().trim_start_matches("TEXT").split(',') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
            match name.trim() {
                "inflight" | "active" => report.active = value,
                "util" | "cpu" => report.cpu = value,
                _ => {}
            }
        }
        (report != LoadReport::default()).then_some(report)
    }
}

/// The settings as they came, by path.
struct Params<'a> {
    pairs: BTreeMap<&'a str, &'a str>,
}

impl Params<'_> {
    fn get(&self, path: &str) -> Option<&str> {
        self.pairs.get(path).copied().filter(|v| !v.is_empty() && *v != "-")
    }

    fn list(&self, path: &str) -> Vec<String> {
        self.get(path).map(|v| v.split(',').map(str::to_string).collect()).unwrap_or_default()
    }

    fn real(&self, path: &str, default: f64) -> Parsed<f64> {
        self.get(path).map_or(Ok(default), |v| finite(path, v))
    }

    fn whole(&self, path: &str, default: u64) -> Parsed<u64> {
        self.get(path).map_or(Ok(default), |v| number(path, v))
    }

    fn count(&self, path: &str, default: u32) -> Parsed<u32> {
        self.get(path).map_or(Ok(default), |v| number(path, v))
    }

    fn flag(&self, path: &str, default: bool) -> Parsed<bool> {
        match self.get(path) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => flaw(path, format!("`{other}` is not true or false")),
        }
    }

    fn needed(&self, path: &str) -> Parsed<&str> {
        self.get(path).map_or_else(|| flaw(path, "missing"), Ok)
    }

    fn items(&self, list: &str, key: &str) -> Parsed<Vec<String>> {
        let count = self.count(&format!("{list}.count"), 0)?;
        (0..count).map(|i| self.needed(&format!("{list}.{i}.{key}")).map(str::to_string)).collect()
    }

    fn class(&self, i: usize) -> Parsed<ClassSettings> {
        let at = |key: &str| format!("classes.{i}.{key}");
        let effect = match self.get(&at("effect")).unwrap_or("free") {
            "free" => Effect::Free,
            "single_shot" => Effect::SingleShot,
            "guarded" => {
                let group = match self.get(&at("dedup_scope")).unwrap_or("all") {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    other => return flaw(&at("dedup_scope"), format!("`{other}` is not a known scope")),
                };
                Effect::Guarded { group, window: self.whole(&at("dedup_window"), 0)? }
            }
            other => return flaw(&at("effect"), format!("`{other}` is not a known effect")),
        };
        Ok(ClassSettings {
            aim: number(&at("objective"), self.needed(&at("objective"))?)?,
            deadline: number(&at("hard_limit"), self.needed(&at("hard_limit"))?)?,
            effect,
            worth: self.real(&at("worth"), 1.0)?,
            late_share: self.real(&at("late_share"), 0.0)?,
            streaming: self.flag(&at("streaming"), false)?,
        })
    }

    fn settings(&self) -> Parsed<Settings> {
        let mut s = Settings::default();
        s.balancers = self.count("balancers", s.balancers)?;
        s.me = self.count("me", s.me)?;
        let classes = self.items("classes", "name")?.len();
        s.classes = (0..classes).map(|i| self.class(i)).collect::<Parsed<_>>()?;
        for i in 0..self.items("tenants", "name")?.len() {
            let allowance_per_s = self.real(&format!("tenants.{i}.allowance_per_s"), 0.0)?;
            let share = self.real(&format!("tenants.{i}.share"), 0.0)?;
            s.tenants.push(TenantSettings { allowance_per_s, share });
        }
        s.over_share_worth = self.real("over_share_worth", s.over_share_worth)?;
        let zones = self.list("zones");
        let zone = self.needed("zone")?;
        s.zones = zones.len();
        s.zone = match zones.iter().position(|z| z == zone) {
            Some(zone) => zone,
            None => return flaw("zone", format!("`{zone}` is not among the zones")),
        };
        s.discovery = match self.get("discovery").unwrap_or("automatic") {
            "automatic" => Discovery::Pushed,
            "subscribe" => Discovery::Subscribed,
            other => return flaw("discovery", format!("`{other}` is not a known way")),
        };
        s.sizes = match self.get("weight_source").unwrap_or("off") {
            "nominal" | "rough" => SizeMeaning::Capacity,
            "live" => SizeMeaning::Live,
            _ => SizeMeaning::Unknown,
        };
        s.warm_keys = self.flag("specifics.warm_keys", false)?;
        s.tick = self.whole("tick", s.tick)?;
        let l = &mut s.limits;
        l.most_tries = self.count("limits.most_tries", l.most_tries)?;
        l.may_duplicate = self.flag("limits.may_duplicate", l.may_duplicate)?;
        l.cancel = self.flag("limits.cancelling", l.cancel)?;
        l.probes = self.flag("limits.probes", l.probes)?;
        l.peers = self.flag("limits.peers", l.peers)?;
        l.retry_after = self.flag("limits.retry_after", l.retry_after)?;
        l.max_retry_after = self.whole("limits.max_retry_after", l.max_retry_after)?;
        let f = &mut s.safety;
        f.answer_slack = self.whole("safety.answer_slack", f.answer_slack)?;
        f.ask_within = self.whole("safety.ask_within", f.ask_within)?;
        f.cold_share = self.real("safety.cold_share", f.cold_share)?;
        f.cold = self.whole("safety.cold", f.cold)?;
        f.drain_grace = self.whole("safety.drain_grace", f.drain_grace)?;
        f.fall = self.whole("safety.fall", f.fall)?;
        f.fall_multiple = self.real("safety.fall_multiple", f.fall_multiple)?;
        let p = &mut s.penalties;
        p.cross_zone = self.real("penalties.cross_zone", p.cross_zone)?;
        p.waste = self.real("penalties.waste", p.waste)?;
        p.late_fail = self.real("penalties.late_fail", p.late_fail)?;
        Ok(s)
    }
}

fn outcome(fields: &mut Fields) -> Parsed<Outcome> {
    Ok(match fields.text("ending")? {
        "pass" => Outcome::Ok,
        "fault" => Outcome::Error,
        "no_room" => Outcome::Full,
        "too_slow" => Outcome::Timeout,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::Reset,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::Moot,
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
                Event::Settled(Settled {
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
                Event::Started { id, attempt }
            }
            "HANGUP" => Event::HungUp { id: fields.number("handle")? },
            "DEADLINE_HIT" => Event::Timer { token: fields.number("ref")? },
            "CHECKED" => {
                let server = ServerId::from_name(fields.named("backend")?);
                let outcome = outcome(fields)?;
                Event::Probed { server, outcome, latency: fields.number("lag")?, load: self.report(fields)? }
            }
            "INBOX" => Event::Peer { from: fields.number("from")?, data: bytes(fields.text("raw")?)? },
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
            return Ok(Event::Members(Listing { scope, servers: Vec::new() }));
        }
        let Some(items) = sheets.get(&number("page", page)?) else {
            return flaw("page", format!("no list {page} was given"));
        };
        let mut servers = Vec::with_capacity(items.len());
        for item in items {
            let zone = self.zones.iter().position(|z| *z == item.zone).unwrap_or_else(|| {
                self.zones.push(item.zone.clone());
                self.zones.len() - 1
            });
            self.servers.entry(item.server.id).or_insert_with(|| item.name.clone());
            servers.push(Server { zone, ..item.server.clone() });
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
            values.push(if value == "-" { None } else { Some(finite("feedback", value)?) });
        }
        Ok(Some(self.load.row(&values)))
    }

    fn write(&self, who: u64, action: &Action, out: &mut String) -> Parsed<()> {
        let name = |server: &ServerId| match self.servers.get(server) {
            Some(name) => Ok(name.as_str()),
            None => flaw("backend", "the module named a server that no list has named"),
        };
        // Writing to a String cannot fail.
        let _ = match action {
            Action::Send { id, server, timeout } => {
                writeln!(out, "SEND\t{who}\t{id}\t{}\t{}", name(server)?, timeout.unwrap_or(0))
            }
            Action::Refuse { id, retry_after } => {
                writeln!(out, "NOT_NOW\t{who}\t{id}\t{}", retry_after.unwrap_or(0))
            }
            Action::Fail { id } => writeln!(out, "END_FAILED\t{who}\t{id}"),
            Action::Cancel { id, attempt } => writeln!(out, "REVOKE\t{who}\t{id}\t{attempt}"),
            Action::Timer { delay, token } => writeln!(out, "AFTER\t{who}\t{delay}\t{token}"),
            Action::Subscribe(on) => writeln!(out, "WATCH\t{who}\t{}", u8::from(*on)),
            Action::FetchAll => writeln!(out, "QUERY_ALL\t{who}"),
            Action::Probe { server } => writeln!(out, "HEALTH_CHECK\t{who}\t{}", name(server)?),
            Action::Tell { to, data } => {
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
            Action::Log(text) => writeln!(out, "REMARK\t{who}\t{}", text.replace(['\t', '\n', '\r'], " ")),
        };
        Ok(())
    }
}

fn bytes(hex: &str) -> Parsed<Vec<u8>> {
    if hex == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> = hex.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => Ok(digits.chunks(2).map(|d| d[0] << 4 | d[1]).collect()),
        _ => flaw("raw", format!("`{hex}` is not pairs of hex digits")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_action_is_written() {
        let line = "7\tclasses.count=1\tclasses.0.name=a\tclasses.0.objective=1\tclasses.0.hard_limit=2\tzone=z\tzones=z";
        let mut instance = create(&mut Fields { rest: line.split('\t') }).expect("sound settings");
        let server = ServerId::from_name("b:1");
        instance.servers.insert(server, "b:1".to_string());
        let data = vec![0x0a, 0xff];
        for (action, text) in [
            (Action::Send { id: 9, server, timeout: Some(5) }, "SEND\t3\t9\tb:1\t5\n"),
            (Action::Send { id: 9, server, timeout: None }, "SEND\t3\t9\tb:1\t0\n"),
            (Action::Refuse { id: 9, retry_after: None }, "NOT_NOW\t3\t9\t0\n"),
            (Action::Fail { id: 9 }, "END_FAILED\t3\t9\n"),
            (Action::Cancel { id: 9, attempt: 1 }, "REVOKE\t3\t9\t1\n"),
            (Action::Timer { delay: 4, token: 8 }, "AFTER\t3\t4\t8\n"),
            (Action::Subscribe(false), "WATCH\t3\t0\n"),
            (Action::FetchAll, "QUERY_ALL\t3\n"),
            (Action::Probe { server }, "HEALTH_CHECK\t3\tb:1\n"),
            (Action::Tell { to: None, data: data.clone() }, "PUBLISH\t3\t-1\t0aff\n"),
            (Action::Tell { to: Some(2), data: Vec::new() }, "PUBLISH\t3\t2\t-\n"),
            (Action::CloseIdle { server }, "DISCONNECT\t3\tb:1\n"),
            (Action::Log("two\tlines\n".to_string()), "REMARK\t3\ttwo lines \n"),
        ] {
            let mut out = String::new();
            instance.write(3, &action, &mut out).expect("a server it knows");
            assert_eq!(out, text);
        }
        let stranger = Action::Probe { server: ServerId::from_name("c:1") };
        assert!(instance.write(3, &stranger, &mut String::new()).is_err());
        assert_eq!(bytes("0aff").expect("hex"), data);
    }
}
