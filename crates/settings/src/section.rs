//! Reads one table of the settings key by key and gathers its faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use humantime_serde::re::humantime;
use toml::{Table, Value};

use crate::Fault;

/// Longest duration.
const MAX_SPAN: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Largest size.
const MAX_SIZE: ByteSize = ByteSize::gib(1);

/// A table that is being read.
///
/// A key that is missing or wrong adds a fault and reads as `None`, so that reading goes on and
/// every fault is found in one pass.
pub(crate) struct Section<'a, 'f> {
    path: &'a str,
    table: Option<&'a Table>,
    known: BTreeSet<&'a str>,
    faults: &'f mut Vec<Fault>,
}

impl<'a, 'f> Section<'a, 'f> {
    /// Begins to read `table`, whose full key is `path` (empty for the top level).
    pub(crate) fn new(path: &'a str, table: Option<&'a Table>, faults: &'f mut Vec<Fault>) -> Self {
        Self { path, table, known: BTreeSet::new(), faults }
    }

    /// Adds a fault of `key`.
    pub(crate) fn fault(&mut self, key: &str, message: impl Into<String>) {
        let key = self.full_key(key);
        self.faults.push(Fault { key, message: message.into() });
    }

    /// Adds a fault for each key that was not asked for.
    pub(crate) fn finish(self) {
        let Some(table) = self.table else { return };
        for key in table.keys().filter(|key| !self.known.contains(key.as_str())) {
            let key = self.full_key(key);
            self.faults.push(Fault { key, message: "unknown key".to_owned() });
        }
    }

    /// The table under `key`, if it is there.
    pub(crate) fn table(&mut self, key: &'a str) -> Option<&'a Table> {
        match self.value(key)? {
            Value::Table(table) => Some(table),
            other => {
                self.wrong_type(key, "a table", other);
                None
            }
        }
    }

    /// The table under `key`, which must be there.
    pub(crate) fn required_table(&mut self, key: &'a str) -> Option<&'a Table> {
        if !self.has(key) {
            self.fault(key, "missing");
        }
        self.table(key)
    }

    /// The text under `key`, if it is there.
    pub(crate) fn optional_text(&mut self, key: &'a str) -> Option<&'a str> {
        match self.value(key)? {
            Value::String(text) if text.trim().is_empty() => {
                self.fault(key, "must not be empty");
                None
            }
            Value::String(text) => Some(text),
            other => {
                self.wrong_type(key, "text", other);
                None
            }
        }
    }

    /// The text under `key`, which must be there.
    pub(crate) fn text(&mut self, key: &'a str) -> Option<&'a str> {
        if !self.has(key) {
            self.known.insert(key);
            self.fault(key, "missing");
            return None;
        }
        self.optional_text(key)
    }

    /// The text under `key` as a `T`, which must be there.
    pub(crate) fn parsed<T>(&mut self, key: &'a str, what: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.text(key)?;
        self.parse(key, text, what)
    }

    /// The text under `key` as a `T`, if it is there.
    pub(crate) fn optional_parsed<T>(&mut self, key: &'a str, what: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.optional_text(key)?;
        self.parse(key, text, what)
    }

    /// The duration under `key`, greater than zero, or `default`.
    pub(crate) fn duration(&mut self, key: &'a str, default: Duration) -> Duration {
        let span = self.duration_or_zero(key, default);
        if span.is_zero() {
            self.fault(key, "must be greater than zero");
        }
        span
    }

    /// The duration under `key`, zero included, or `default`.
    pub(crate) fn duration_or_zero(&mut self, key: &'a str, default: Duration) -> Duration {
        let Some(text) = self.optional_text(key) else { return default };
        match humantime::parse_duration(text) {
            Ok(span) if span > MAX_SPAN => self.fault(key, "must not be longer than 7 days"),
            Ok(span) => return span,
            Err(err) => {
                let message = format!("expected a duration such as \"250ms\", got {text:?}: {err}");
                self.fault(key, message);
            }
        }
        default
    }

    /// The size under `key` in bytes, greater than zero, or `default`.
    pub(crate) fn size(&mut self, key: &'a str, default: u64) -> u64 {
        let Some(text) = self.optional_text(key) else { return default };
        if !text.contains(|c: char| c.is_ascii_alphabetic()) {
            self.fault(key, format!("expected a size with a unit such as \"4 MiB\", got {text:?}"));
            return default;
        }
        match text.parse::<ByteSize>() {
            Ok(ByteSize(0)) => self.fault(key, "must be greater than zero"),
            Ok(size) if size > MAX_SIZE => self.fault(key, "must not be larger than 1 GiB"),
            Ok(size) => return size.as_u64(),
            Err(err) => {
                let message = format!("expected a size such as \"4 MiB\", got {text:?}: {err}");
                self.fault(key, message);
            }
        }
        default
    }

    /// The whole number under `key`, from 1 to `max`, or `default`.
    pub(crate) fn count(&mut self, key: &'a str, default: usize, max: usize) -> usize {
        let Some(value) = self.value(key) else { return default };
        let Value::Integer(number) = value else {
            self.wrong_type(key, "a whole number", value);
            return default;
        };
        match usize::try_from(*number) {
            Ok(count) if (1..=max).contains(&count) => count,
            _ => {
                self.fault(key, format!("must be from 1 to {max}, got {number}"));
                default
            }
        }
    }

    /// Whether the table has `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(key))
    }

    fn value(&mut self, key: &'a str) -> Option<&'a Value> {
        self.known.insert(key);
        self.table?.get(key)
    }

    fn parse<T>(&mut self, key: &str, text: &str, what: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.fault(key, format!("expected {what}, got {text:?}: {err}"));
                None
            }
        }
    }

    fn wrong_type(&mut self, key: &str, want: &str, got: &Value) {
        self.fault(key, format!("expected {want}, got a value of type {}", got.type_str()));
    }

    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}
