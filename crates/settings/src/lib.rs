//! Reads the settings of a deployment, given as `path=value`, into the module's terms.
//!
//! The simulator's wire and the proxy's configuration file both end here, so that both programs
//! agree on every default and every range. Durations are whole microseconds.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;

use ironmast_balancer::{
    ClassSettings, Discovery, Effect, Group, LoadReport, Micros, Settings, SizeMeaning,
    TenantSettings,
};

/// A field's name and what is wrong with it; whoever reads adds where it stood.
pub type Flaw = (String, String);
/// What was read, or what is wrong with it.
pub type Parsed<T> = Result<T, Flaw>;

/// Says that a field is wrong, and why.
///
/// # Errors
/// Always.
pub fn flaw<T>(field: &str, problem: impl Into<String>) -> Parsed<T> {
    Err((field.to_string(), problem.into()))
}

/// Reads a number of the type wanted.
///
/// # Errors
/// Where the text is not one, naming the field.
pub fn number<T: std::str::FromStr>(field: &str, value: &str) -> Parsed<T> {
    match value.parse() {
        Ok(number) => Ok(number),
        Err(_) => flaw(
            field,
            format!("`{value}` is not a number of the expected form"),
        ),
    }
}

/// Reads a number that is neither infinite nor none.
///
/// # Errors
/// Where the text is not one, naming the field.
pub fn finite(field: &str, value: &str) -> Parsed<f64> {
    match number::<f64>(field, value)? {
        v if v.is_finite() => Ok(v),
        _ => flaw(field, format!("`{value}` is not a finite number")),
    }
}

/// The settings in the module's terms, with the names that others use for them.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What the module is built from.
    pub settings: Settings,
    /// The classes' names, by [`ironmast_balancer::ClassId`].
    pub classes: Vec<String>,
    /// The tenants' names, by [`ironmast_balancer::TenantId`].
    pub tenants: Vec<String>,
    /// The zones' names, by [`ironmast_balancer::ZoneId`].
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
        let pairs = pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str()))
            .collect();
        setup(pairs).map_err(|(field, problem)| format!("{field}: {problem}"))
    }
}

/// Reads settings that are given by path.
///
/// # Errors
/// The first path whose value is missing or makes no sense.
pub fn setup(pairs: BTreeMap<&str, &str>) -> Parsed<Setup> {
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
    #[must_use]
    pub fn row(&self, values: &[Option<f64>]) -> LoadReport {
        let pick = |name: &str| {
            let column = self.0.iter().position(|n| n == name);
            column.and_then(|c| values.get(c).copied().flatten())
        };
        LoadReport {
            cpu: pick("cpu"),
            active: pick("active"),
        }
    }

    /// Reads `TEXT inflight=7, util=0.61`; none where it holds nothing that is known.
    #[must_use]
    pub fn report(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for pair in text.trim().trim_start_matches("TEXT").split(',') {
            let Some((name, value)) = pair.split_once('=') else {
                continue;
            };
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
        self.pairs
            .get(path)
            .copied()
            .filter(|v| !v.is_empty() && *v != "-")
    }

    fn list(&self, path: &str) -> Vec<String> {
        self.get(path)
            .map(|v| v.split(',').map(str::to_string).collect())
            .unwrap_or_default()
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
        (0..count)
            .map(|i| {
                self.needed(&format!("{list}.{i}.{key}"))
                    .map(str::to_string)
            })
            .collect()
    }

    fn class(&self, i: usize) -> Parsed<ClassSettings> {
        let at = |key: &str| format!("classes.{i}.{key}");
        let effect = match self.get(&at("effect")).unwrap_or("free") {
            "free" => Effect::Idempotent,
            "single_shot" => Effect::NonIdempotent,
            "guarded" => {
                let group = match self.get(&at("dedup_scope")).unwrap_or("all") {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    other => {
                        return flaw(
                            &at("dedup_scope"),
                            format!("`{other}` is not a known scope"),
                        );
                    }
                };
                Effect::Deduplicated {
                    group,
                    window: self.whole(&at("dedup_window"), 0)?,
                }
            }
            other => return flaw(&at("effect"), format!("`{other}` is not a known effect")),
        };
        Ok(ClassSettings {
            latency_target: number(&at("objective"), self.needed(&at("objective"))?)?,
            deadline: number(&at("hard_limit"), self.needed(&at("hard_limit"))?)?,
            effect,
            value: self.real(&at("worth"), 1.0)?,
            late_value_share: self.real(&at("late_share"), 0.0)?,
            streaming: self.flag(&at("streaming"), false)?,
        })
    }

    fn settings(&self) -> Parsed<Settings> {
        let mut s = Settings::default();
        s.balancers = self.count("balancers", s.balancers)?;
        s.balancer_index = self.count("me", s.balancer_index)?;
        let classes = self.items("classes", "name")?.len();
        s.classes = (0..classes).map(|i| self.class(i)).collect::<Parsed<_>>()?;
        for i in 0..self.items("tenants", "name")?.len() {
            let allowance_per_s = self.real(&format!("tenants.{i}.allowance_per_s"), 0.0)?;
            let share = self.real(&format!("tenants.{i}.share"), 0.0)?;
            s.tenants.push(TenantSettings {
                allowance_per_s,
                share,
            });
        }
        s.over_share_value = self.real("over_share_worth", s.over_share_value)?;
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
        s.key_affinity = self.flag("specifics.warm_keys", false)?;
        s.tick = self.whole("tick", s.tick)?;
        let l = &mut s.limits;
        l.max_attempts = self.count("limits.most_tries", l.max_attempts)?;
        l.allow_hedging = self.flag("limits.may_duplicate", l.allow_hedging)?;
        l.cancel = self.flag("limits.cancelling", l.cancel)?;
        l.probes = self.flag("limits.probes", l.probes)?;
        l.peers = self.flag("limits.peers", l.peers)?;
        l.retry_after = self.flag("limits.retry_after", l.retry_after)?;
        l.max_retry_after = self.whole("limits.max_retry_after", l.max_retry_after)?;
        let f = &mut s.safety;
        f.answer_slack = self.whole("safety.answer_slack", f.answer_slack)?;
        f.discovery_interval = self.whole("safety.ask_within", f.discovery_interval)?;
        f.initial_capacity = self.real("safety.cold_share", f.initial_capacity)?;
        f.warm_up = self.whole("safety.cold", f.warm_up)?;
        f.drain_grace = self.whole("safety.drain_grace", f.drain_grace)?;
        f.overload_window = self.whole("safety.fall", f.overload_window)?;
        f.overload_multiple = self.real("safety.fall_multiple", f.overload_multiple)?;
        let p = &mut s.penalties;
        p.cross_zone = self.real("penalties.cross_zone", p.cross_zone)?;
        p.waste = self.real("penalties.waste", p.waste)?;
        p.late_fail = self.real("penalties.late_fail", p.late_fail)?;
        Ok(s)
    }
}
