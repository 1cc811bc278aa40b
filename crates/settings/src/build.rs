//! Builds the typed settings of the daemon from a TOML table, section by section.
//!
//! The settings of a relay, in `relay`, use the same functions to read the file, names and the
//! `log` section.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;
use sesamewind_protocol::{InstanceId, ZoneId};
use toml::Table;

use crate::section::Section;
use crate::{
    Control, Fault, Faults, Instance, Listen, Log, Platform, Records, Secret, Settings, Stop,
    Tokens, Traffic,
};

/// Largest number of socket threads.
const MAX_THREADS: usize = 256;
/// Largest capacity of the request queue, in requests.
const MAX_QUEUE_REQUESTS: usize = 1_000_000;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 8;

/// Looks up an environment variable by name.
type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Parses the settings of the daemon from TOML `text`.
pub(crate) fn settings(text: &str, env: Env<'_>) -> Result<Settings, Faults> {
    parse_toml(text, |root, faults| read(root, env, faults))
}

/// Parses `text` as TOML and converts the root table with `read`.
///
/// Fails if `read` returns `None` or adds a fault.
pub(crate) fn parse_toml<T>(
    text: &str,
    read: impl FnOnce(&Table, &mut Vec<Fault>) -> Option<T>,
) -> Result<T, Faults> {
    let root: Table =
        text.parse().map_err(|err| Faults::single("", format!("invalid TOML: {err}")))?;
    let mut faults = Vec::new();
    let settings = read(&root, &mut faults);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(Faults::new(faults)),
    }
}

/// Returns the text of the settings file at `path`.
pub(crate) fn read_file(path: &Path) -> Result<String, Faults> {
    std::fs::read_to_string(path)
        .map_err(|err| Faults::single("", format!("could not read {}: {err}", path.display())))
}

/// Reads every section before returning, so that the faults of one section don't hide those of
/// another.
fn read(root: &Table, env: Env<'_>, faults: &mut Vec<Fault>) -> Option<Settings> {
    let mut top = Section::new("", Some(root), faults);
    let deployment = name(&mut top, "deployment");
    let instance_table = top.required_table("instance");
    let listen_table = top.required_table("listen");
    let platform_table = top.required_table("platform");
    let tokens_table = top.required_table("tokens");
    let traffic_table = top.table("traffic");
    let control_table = top.table("control");
    let records_table = top.table("records");
    let stop_table = top.table("stop");
    let log_table = top.table("log");
    top.finish();

    let instance = instance_table.and_then(|table| instance(table, faults));
    let listen = listen_table.and_then(|table| listen(table, faults));
    let platform = platform_table.and_then(|table| platform(table, faults));
    let tokens = tokens_table.and_then(|table| tokens(table, env, faults));
    let traffic = traffic(traffic_table, faults);
    let control = control(control_table, faults);
    let records = records(records_table, faults);
    let stop = stop(stop_table, faults);
    let log = log(log_table, faults);
    Some(Settings {
        deployment: deployment?,
        instance: instance?,
        listen: listen?,
        platform: platform?,
        tokens: tokens?,
        traffic,
        control,
        records,
        stop,
        log,
    })
}

fn instance(table: &Table, faults: &mut Vec<Fault>) -> Option<Instance> {
    let mut section = Section::new("instance", Some(table), faults);
    let instance_name = name(&mut section, "name");
    let zone = name(&mut section, "zone");
    let region = name(&mut section, "region");
    section.finish();
    Some(Instance {
        name: InstanceId::new(instance_name?),
        zone: ZoneId::new(zone?),
        region: region?,
    })
}

fn listen(table: &Table, faults: &mut Vec<Fault>) -> Option<Listen> {
    const ADDRESS: &str = "an IP address and port such as \"127.0.0.1:8080\"";
    let mut section = Section::new("listen", Some(table), faults);
    let callers = section.parsed::<SocketAddr>("callers", ADDRESS);
    let inner = section.parsed::<SocketAddr>("inner", ADDRESS);
    let advertise = section.optional_parsed::<SocketAddr>("advertise", ADDRESS);
    if advertise.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        section.add_fault("advertise", "must be an address that peers can connect to");
    }
    if inner.is_some_and(|address| address.ip().is_unspecified()) && !section.has("advertise") {
        section.add_fault("advertise", "required because listen.inner is an unspecified address");
    }
    if callers.is_some() && callers == inner && callers.is_some_and(|address| address.port() != 0) {
        section.add_fault("inner", "must differ from listen.callers");
    }
    section.finish();
    Some(Listen { callers: callers?, inner: inner?, advertise })
}

fn platform(table: &Table, faults: &mut Vec<Fault>) -> Option<Platform> {
    const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
    let mut section = Section::new("platform", Some(table), faults);
    let url = section.text("url").map(|url| url.trim_end_matches('/').to_owned());
    if let Some(url) = &url
        && !["http://", "https://"].iter().any(|scheme| {
            url.strip_prefix(scheme).is_some_and(|rest| !rest.is_empty() && !rest.contains(' '))
        })
    {
        section.add_fault("url", format!("expected an HTTP URL, got {url:?}"));
    }
    let call_timeout = section.duration("call_timeout", CALL_TIMEOUT);
    section.finish();
    Some(Platform { url: url?, call_timeout })
}

fn tokens(table: &Table, env: Env<'_>, faults: &mut Vec<Fault>) -> Option<Tokens> {
    let mut section = Section::new("tokens", Some(table), faults);
    let operator = secret(&mut section, ["operator", "operator_file", "operator_env"], env);
    let peer = secret(&mut section, ["peer", "peer_file", "peer_env"], env);
    if let (Some(operator), Some(peer)) = (&operator, &peer)
        && operator.matches(peer.expose())
    {
        section.add_fault("peer", "must differ from the operator token");
    }
    section.finish();
    Some(Tokens { operator: operator?, peer: peer? })
}

/// Reads a token from the file or the environment variable that the settings name.
///
/// Messages of faults never contain the token.
fn secret<'a>(section: &mut Section<'a, '_>, keys: [&'a str; 3], env: Env<'_>) -> Option<Secret> {
    let [key, file_key, env_key] = keys;
    let file = section.optional_text(file_key);
    let variable = section.optional_text(env_key);
    let (source, token) = match (file, variable) {
        (Some(path), None) => (file_key, read_token(section, file_key, path)?),
        (None, Some(variable)) => {
            let Some(token) = env(variable) else {
                section.add_fault(env_key, format!("environment variable {variable:?} is not set"));
                return None;
            };
            (env_key, token)
        }
        (Some(_), Some(_)) => {
            section.add_fault(key, format!("set either {file_key} or {env_key}, not both"));
            return None;
        }
        (None, None) => {
            if !section.has(file_key) && !section.has(env_key) {
                section.add_fault(key, format!("missing: set {file_key} or {env_key}"));
            }
            return None;
        }
    };
    let token = token.trim();
    if token.len() < MIN_TOKEN_BYTES || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message =
            format!("a token must have {MIN_TOKEN_BYTES} or more printable ASCII characters");
        section.add_fault(source, message);
        return None;
    }
    Some(Secret::new(token))
}

fn read_token(section: &mut Section<'_, '_>, key: &str, path: &str) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(token) => Some(token),
        Err(err) => {
            section.add_fault(key, format!("could not read {path:?}: {err}"));
            None
        }
    }
}

fn traffic(table: Option<&Table>, faults: &mut Vec<Fault>) -> Traffic {
    let default = Traffic::default();
    let mut section = Section::new("traffic", table, faults);
    let traffic = Traffic {
        threads: section.count("threads", default.threads, MAX_THREADS),
        body_limit: section.size("body_limit", default.body_limit),
        header_limit: section.size("header_limit", default.header_limit),
        queue_limit: section.count("queue_limit", default.queue_limit, MAX_QUEUE_REQUESTS),
        connect_timeout: section.duration("connect_timeout", default.connect_timeout),
        progress_timeout: section.duration("progress_timeout", default.progress_timeout),
        send_timeout: section.duration("send_timeout", default.send_timeout),
        cancel_timeout: section.duration("cancel_timeout", default.cancel_timeout),
    };
    section.finish();
    traffic
}

fn control(table: Option<&Table>, faults: &mut Vec<Fault>) -> Control {
    let default = Control::default();
    let mut section = Section::new("control", table, faults);
    let control = Control {
        heartbeat: section.duration("heartbeat", default.heartbeat),
        suspect_after: section.duration("suspect_after", default.suspect_after),
        remove_after: section.duration("remove_after", default.remove_after),
        list_poll: section.duration("list_poll", default.list_poll),
        load_poll: section.duration("load_poll", default.load_poll),
        config_poll: section.duration("config_poll", default.config_poll),
        record_poll: section.duration("record_poll", default.record_poll),
        lease_length: section.duration("lease_length", default.lease_length),
    };
    // A peer may miss one heartbeat without becoming suspect.
    if control.suspect_after < control.heartbeat * 2 {
        section.add_fault("suspect_after", "must be at least twice control.heartbeat");
    }
    if control.remove_after <= control.suspect_after {
        section.add_fault("remove_after", "must be longer than control.suspect_after");
    }
    section.finish();
    control
}

fn records(table: Option<&Table>, faults: &mut Vec<Fault>) -> Records {
    let default = Records::default();
    let mut section = Section::new("records", table, faults);
    let records = Records {
        keep: section.duration("keep", default.keep),
        answer_limit: section.size("answer_limit", default.answer_limit),
        lookup_timeout: section.duration("lookup_timeout", default.lookup_timeout),
    };
    section.finish();
    records
}

fn stop(table: Option<&Table>, faults: &mut Vec<Fault>) -> Stop {
    let default = Stop::default();
    let mut section = Section::new("stop", table, faults);
    let stop = Stop {
        balancer_lag: section.duration_or_zero("balancer_lag", default.balancer_lag),
        drain_limit: section.duration("drain_limit", default.drain_limit),
    };
    section.finish();
    stop
}

pub(crate) fn log(table: Option<&Table>, faults: &mut Vec<Fault>) -> Log {
    const LEVEL: &str = "off, error, warn, info, debug or trace";
    let default = Log::default();
    let mut section = Section::new("log", table, faults);
    let level = section.optional_parsed::<LevelFilter>("level", LEVEL).unwrap_or(default.level);
    let modules_table = section.table("modules");
    section.finish();
    let mut modules = BTreeMap::new();
    let mut section = Section::new("log.modules", modules_table, faults);
    for module in modules_table.into_iter().flat_map(Table::keys) {
        if let Some(level) = section.optional_parsed::<LevelFilter>(module, LEVEL) {
            modules.insert(module.clone(), level);
        }
    }
    section.finish();
    Log { level, modules }
}

/// Reads a name.
///
/// Names appear in table keys, HTTP headers and logs, so only a few characters are allowed.
pub(crate) fn name<'a>(section: &mut Section<'a, '_>, key: &'a str) -> Option<String> {
    let text = section.text(key)?;
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
        let message = format!(
            "a name must have at most {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' and '.', \
             got {text:?}"
        );
        section.add_fault(key, message);
        return None;
    }
    Some(text.to_owned())
}
