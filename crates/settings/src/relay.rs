//! Settings of an instance that forwards requests by route.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;
use sesamewind_protocol::{InstanceId, RegionId, ZoneId};
use toml::{Table, Value};

use crate::build::{self, log, name};
use crate::section::Section;
use crate::{Fault, Faults, Log, Secret};

const ADDRESS: &str = "an IP address and port such as \"127.0.0.1:8080\"";
const NUMBER: &str = "a number";

/// Largest share of second attempts.
const MAX_HEDGE_SHARE: f64 = 0.5;

/// Environment variable that holds the token that instances present to each other.
pub const PEER_TOKEN_VAR: &str = "SESAMEWIND_PEER_TOKEN";

/// Settings of an instance that forwards requests by route.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of each availability zone; empty if the deployment has no regions.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Whether the whole deployment starts for the first time, so that no other instance has run
    /// before.
    pub first_start: bool,
    /// Listening addresses.
    pub listen: RelayListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits set for the deployment.
    pub bounds: RelayBounds,
    /// Second attempts of slow requests that may be sent for each first attempt; zero for none.
    pub hedge_share: f64,
    /// Token that instances present to each other.
    pub token: Secret,
    /// Logging.
    pub log: Log,
}

/// Listening addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayListen {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for readiness checks.
    pub readiness: SocketAddr,
    /// Address of the inner listener, for peers and metrics.
    pub inner: SocketAddr,
    /// Address at which peers reach the inner listener.
    pub advertise: SocketAddr,
}

/// Limits set for the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayBounds {
    /// Retries allowed for each first attempt, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed in each retry window in addition to `retry_ratio`, over all instances.
    pub retry_extra: f64,
    /// Time window in which retries are counted.
    pub retry_window: Duration,
    /// Time window in which the usage of account limits is counted.
    pub quota_window: Duration,
    /// Overage allowed beyond an account limit, as a fraction of the limit.
    pub quota_overage: f64,
    /// Overage allowed beyond an account limit in addition to `quota_overage`, in the unit that the
    /// limit counts.
    pub quota_slack: f64,
    /// Time after which a target that is leaving must receive no new work.
    pub drain: Duration,
    /// Time from the stop signal until the process must have ended.
    pub grace: Duration,
    /// Time for which an instance has to be free of faults before the deployment's limits bind it.
    pub contact: Duration,
    /// Factor over the requests a second that a cold target states which all instances together may
    /// send it.
    pub cold_overage: f64,
    /// Requests in one second that all instances together may send a cold target in addition to
    /// `cold_overage`.
    pub cold_slack: f64,
}

impl RelaySettings {
    /// Parses settings from `text`, with `env` to look up environment variables that hold secrets.
    ///
    /// # Errors
    ///
    /// Returns all faults of the settings.
    pub fn parse(text: &str, env: &dyn Fn(&str) -> Option<String>) -> Result<Self, Faults> {
        build::parse_toml(text, |root, faults| read(root, env, faults))
    }

    /// Loads settings from the file at `path`, with secrets from the environment.
    ///
    /// # Errors
    ///
    /// Returns all faults of the settings, or a single fault if the file could not be read.
    pub fn load(path: &Path) -> Result<Self, Faults> {
        Self::parse(&build::read_file(path)?, &|name| std::env::var(name).ok())
    }
}

fn read(
    root: &Table,
    env: &dyn Fn(&str) -> Option<String>,
    faults: &mut Vec<Fault>,
) -> Option<RelaySettings> {
    let mut top = Section::new("", Some(root), faults);
    let instance_table = top.required_table("instance");
    let listen_table = top.required_table("listen");
    let store_table = top.required_table("store");
    let bounds_table = top.required_table("bounds");
    let regions_table = top.table("regions");
    let hedging_table = top.table("hedging");
    let log_table = top.table("log");
    let token = env(PEER_TOKEN_VAR);
    if token.is_none() {
        top.add_fault("", format!("environment variable {PEER_TOKEN_VAR} is not set"));
    }
    top.finish();

    let mut section = Section::new("instance", instance_table, faults);
    let instance_name = name(&mut section, "name");
    let zone = name(&mut section, "zone");
    let first_start = section.parsed::<bool>("first_start", "true or false");
    section.finish();
    let mut section = Section::new("store", store_table, faults);
    let store = section.parsed::<SocketAddr>("address", ADDRESS);
    section.finish();
    let listen = listen_table.and_then(|table| listen(table, faults));
    let bounds = bounds_table.and_then(|table| bounds(table, faults));
    let regions = regions_table.map(|table| regions(table, faults)).unwrap_or_default();
    let hedge_share = hedging_table.map(|table| hedging(table, faults)).unwrap_or_default();
    let log = match log_table {
        Some(_) => log(log_table, faults),
        None => Log { level: LevelFilter::Info, ..Log::default() },
    };
    Some(RelaySettings {
        name: InstanceId::new(instance_name?),
        zone: ZoneId::new(zone?),
        regions,
        first_start: first_start?,
        listen: listen?,
        store: store?,
        bounds: bounds?,
        hedge_share,
        token: Secret::new(token?),
        log,
    })
}

fn listen(table: &Table, faults: &mut Vec<Fault>) -> Option<RelayListen> {
    let mut section = Section::new("listen", Some(table), faults);
    let callers = section.parsed::<SocketAddr>("callers", ADDRESS);
    let readiness = section.parsed::<SocketAddr>("readiness", ADDRESS);
    let inner = section.parsed::<SocketAddr>("inner", ADDRESS);
    let advertise = section.optional_parsed::<SocketAddr>("advertise", ADDRESS).or(inner);
    section.finish();
    Some(RelayListen {
        callers: callers?,
        readiness: readiness?,
        inner: inner?,
        advertise: advertise?,
    })
}

/// Reads the limit on second attempts.
fn hedging(table: &Table, faults: &mut Vec<Fault>) -> f64 {
    let mut section = Section::new("hedging", Some(table), faults);
    let share = section.parsed::<f64>("share", NUMBER).unwrap_or_default();
    let is_valid = (0.0..=MAX_HEDGE_SHARE).contains(&share);
    if !is_valid {
        section.add_fault("share", format!("must be between 0 and {MAX_HEDGE_SHARE}"));
    }
    section.finish();
    if is_valid { share } else { 0.0 }
}

/// Reads the region of each availability zone.
fn regions(table: &Table, faults: &mut Vec<Fault>) -> BTreeMap<ZoneId, RegionId> {
    let mut regions = BTreeMap::new();
    for (zone, value) in table {
        match value {
            Value::String(region) if !region.trim().is_empty() => {
                regions.insert(ZoneId::new(zone), RegionId::new(region));
            }
            _ => faults.push(Fault {
                key: format!("regions.{zone}"),
                message: "must be the name of a region".to_owned(),
            }),
        }
    }
    regions
}

fn bounds(table: &Table, faults: &mut Vec<Fault>) -> Option<RelayBounds> {
    let mut section = Section::new("bounds", Some(table), faults);
    let retry_ratio = section.parsed::<f64>("retry_ratio", NUMBER);
    let retry_extra = section.parsed::<f64>("retry_extra", NUMBER);
    let quota_overage = section.parsed::<f64>("quota_overage", NUMBER);
    let quota_slack = section.parsed::<f64>("quota_slack", NUMBER);
    let cold_overage = section.optional_parsed::<f64>("cold_overage", NUMBER);
    let cold_slack = section.optional_parsed::<f64>("cold_slack", NUMBER);
    let numbers = [
        ("cold_overage", cold_overage),
        ("cold_slack", cold_slack),
        ("retry_ratio", retry_ratio),
        ("retry_extra", retry_extra),
        ("quota_overage", quota_overage),
        ("quota_slack", quota_slack),
    ];
    for (key, value) in numbers {
        if value.is_some_and(|value| !(value >= 0.0 && value.is_finite())) {
            section.add_fault(key, "must be finite and not negative");
        }
    }
    let bounds = RelayBounds {
        retry_ratio: retry_ratio.unwrap_or_default(),
        retry_extra: retry_extra.unwrap_or_default(),
        retry_window: section.duration("retry_window", Duration::from_secs(10)),
        quota_window: section.duration("quota_window", Duration::from_secs(8)),
        quota_overage: quota_overage.unwrap_or_default(),
        quota_slack: quota_slack.unwrap_or_default(),
        drain: section.duration("drain", Duration::from_secs(2)),
        grace: section.duration("grace", Duration::from_secs(8)),
        contact: section.duration("contact", Duration::from_secs(3)),
        cold_overage: cold_overage.unwrap_or(1.0),
        cold_slack: cold_slack.unwrap_or_default(),
    };
    section.finish();
    Some(bounds)
}
