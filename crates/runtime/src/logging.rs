//! Structured logging: writes each record as a JSON object on a line of its own.
//!
//! The data of a record is passed as key-value pairs, for example
//! `log::info!(request:%, account:%, code = code.number(); "request refused")`. The values of keys
//! that name a secret are redacted.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use humantime_serde::re::humantime;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Record, SetLoggerError};
use serde::Serialize;
use sesamewind_protocol::{InstanceId, WallTime};
use sesamewind_settings::Log;

/// Keys whose values are redacted. Keys are compared without regard to case.
const SECRET_KEYS: [&str; 8] = [
    "api_key",
    "authorization",
    "key",
    "operator_token",
    "password",
    "peer_token",
    "secret",
    "token",
];
/// Text that replaces the value of a secret.
const REDACTED: &str = "redacted";

/// Installs a logger that writes to standard error, with the levels of `settings`.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn init(settings: &Log, instance: &InstanceId) -> Result<(), SetLoggerError> {
    dispatch(settings, instance, fern::Output::stderr("\n")).apply()
}

/// Returns the dispatch that [`init`] installs, with `output` in place of standard error.
pub fn dispatch(
    settings: &Log,
    instance: &InstanceId,
    output: impl Into<fern::Output>,
) -> fern::Dispatch {
    let instance = instance.clone();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, _, record| {
            let line = format_line(record, &instance, now());
            out.finish(format_args!("{line}"));
        })
        .level(settings.level);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch.chain(output)
}

/// Formats a record as a line, without the line ending.
pub fn format_line(record: &Record<'_>, instance: &InstanceId, now: WallTime) -> String {
    let mut pairs = Pairs::default();
    // If visiting the pairs fails, the record is written with the pairs visited before the failure.
    if record.key_values().visit(&mut pairs).is_err() {
        pairs.insert("pairs", "incomplete".into());
    }
    let line = Line {
        time: rfc3339(now),
        level: record.level().as_str(),
        instance: instance.as_str(),
        module: record.module_path().unwrap_or_else(|| record.target()),
        message: record.args().to_string(),
        pairs: pairs.0,
    };
    serde_json::to_string(&line).unwrap_or_else(|err| format!("{{\"log\":\"{err}\"}}"))
}

fn now() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn rfc3339(now: WallTime) -> String {
    // The formatter panics at times after the year 9999, which RFC 3339 can't represent.
    const MAX_TIME_MS: u64 = 253_402_300_799_999;
    let time = UNIX_EPOCH + Duration::from_millis(now.0.min(MAX_TIME_MS));
    humantime::format_rfc3339_millis(time).to_string()
}

/// Members of the JSON object of a line, in the order in which they are written.
#[derive(Debug, Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    instance: &'a str,
    module: &'a str,
    message: String,
    #[serde(flatten)]
    pairs: serde_json::Map<String, serde_json::Value>,
}

/// Key-value pairs of a record as JSON.
#[derive(Debug, Default)]
struct Pairs(serde_json::Map<String, serde_json::Value>);

impl Pairs {
    /// Inserts a pair. A key that equals a fixed member of the line gets the prefix `kv_`.
    fn insert(&mut self, key: &str, value: serde_json::Value) {
        const RESERVED: [&str; 5] = ["time", "level", "instance", "module", "message"];
        let key = if RESERVED.contains(&key) { format!("kv_{key}") } else { key.to_owned() };
        self.0.insert(key, value);
    }
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if is_secret(key.as_str()) { REDACTED.into() } else { to_json(&value) };
        self.insert(key.as_str(), value);
        Ok(())
    }
}

fn is_secret(key: &str) -> bool {
    SECRET_KEYS.iter().any(|secret| key.eq_ignore_ascii_case(secret))
}

fn to_json(value: &Value<'_>) -> serde_json::Value {
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    value.to_string().into()
}
