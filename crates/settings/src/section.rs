//! Reads one table of the settings key by key and collects its faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use humantime_serde::re::humantime;
use toml::{Table, Value};

use crate::Fault;

/// Longest duration that a setting may have.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Largest size that a setting may have.
const MAX_SIZE: ByteSize = ByteSize::gib(1);

/// A table that is being read.
///
/// A missing or invalid key adds a fault and reads as `None` or as its default, so that reading
/// continues and one pass finds all faults.
pub(crate) struct Section<'a, 'f> {
    path: &'a str,
    table: Option<&'a Table>,
    known_keys: BTreeSet<&'a str>,
    faults: &'f mut Vec<Fault>,
}

impl<'a, 'f> Section<'a, 'f> {
    /// Starts reading `table`, whose full key is `path` (empty for the root table).
    pub(crate) fn new(path: &'a str, table: Option<&'a Table>, faults: &'f mut Vec<Fault>) -> Self {
        Self { path, table, known_keys: BTreeSet::new(), faults }
    }

    /// Adds a fault for `key`.
    pub(crate) fn add_fault(&mut self, key: &str, message: impl Into<String>) {
        let key = self.full_key(key);
        self.faults.push(Fault { key, message: message.into() });
    }

    /// Adds a fault for each key of the table that was never read.
    pub(crate) fn finish(self) {
        let Some(table) = self.table else { return };
        for key in table.keys().filter(|key| !self.known_keys.contains(key.as_str())) {
            let key = self.full_key(key);
            self.faults.push(Fault { key, message: "unknown key".to_owned() });
        }
    }

    /// Returns the table at `key`, if present.
    pub(crate) fn table(&mut self, key: &'a str) -> Option<&'a Table> {
        match self.value(key)? {
            Value::Table(table) => Some(table),
            other => {
                self.wrong_type(key, "a table", other);
                None
            }
        }
    }

    /// Returns the table at `key`, which must be present.
    pub(crate) fn required_table(&mut self, key: &'a str) -> Option<&'a Table> {
        if !self.has(key) {
            self.add_fault(key, "missing");
        }
        self.table(key)
    }

    /// Returns the string at `key`, if present.
    pub(crate) fn optional_text(&mut self, key: &'a str) -> Option<&'a str> {
        match self.value(key)? {
            Value::String(text) if text.trim().is_empty() => {
                self.add_fault(key, "must not be empty");
                None
            }
            Value::String(text) => Some(text),
            other => {
                self.wrong_type(key, "a string", other);
                None
            }
        }
    }

    /// Returns the string at `key`, which must be present.
    pub(crate) fn text(&mut self, key: &'a str) -> Option<&'a str> {
        if !self.has(key) {
            self.known_keys.insert(key);
            self.add_fault(key, "missing");
            return None;
        }
        self.optional_text(key)
    }

    /// Parses the string at `key`, which must be present.
    ///
    /// Messages describe a valid value as `expected`.
    pub(crate) fn parsed<T>(&mut self, key: &'a str, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.text(key)?;
        self.parse(key, text, expected)
    }

    /// Parses the string at `key`, if present.
    ///
    /// Messages describe a valid value as `expected`.
    pub(crate) fn optional_parsed<T>(&mut self, key: &'a str, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.optional_text(key)?;
        self.parse(key, text, expected)
    }

    /// Returns the duration at `key`, greater than zero, or `default`.
    pub(crate) fn duration(&mut self, key: &'a str, default: Duration) -> Duration {
        let duration = self.duration_or_zero(key, default);
        if duration.is_zero() {
            self.add_fault(key, "must be greater than zero");
        }
        duration
    }

    /// Returns the duration at `key`, which may be zero, or `default`.
    pub(crate) fn duration_or_zero(&mut self, key: &'a str, default: Duration) -> Duration {
        let Some(text) = self.optional_text(key) else { return default };
        match humantime::parse_duration(text) {
            Ok(value) if value > MAX_DURATION => self.add_fault(key, "must not exceed 7 days"),
            Ok(value) => return value,
            Err(err) => {
                let message = format!("expected a duration such as \"250ms\", got {text:?}: {err}");
                self.add_fault(key, message);
            }
        }
        default
    }

    /// Returns the size at `key` in bytes, greater than zero, or `default`.
    pub(crate) fn size(&mut self, key: &'a str, default: u64) -> u64 {
        let Some(text) = self.optional_text(key) else { return default };
        if !text.contains(|c: char| c.is_ascii_alphabetic()) {
            self.add_fault(
                key,
                format!("expected a size with a unit such as \"4 MiB\", got {text:?}"),
            );
            return default;
        }
        match text.parse::<ByteSize>() {
            Ok(ByteSize(0)) => self.add_fault(key, "must be greater than zero"),
            Ok(size) if size > MAX_SIZE => self.add_fault(key, "must not exceed 1 GiB"),
            Ok(size) => return size.as_u64(),
            Err(err) => {
                let message = format!("expected a size such as \"4 MiB\", got {text:?}: {err}");
                self.add_fault(key, message);
            }
        }
        default
    }

    /// Returns the integer at `key`, from 1 to `max`, or `default`.
    pub(crate) fn count(&mut self, key: &'a str, default: usize, max: usize) -> usize {
        let Some(value) = self.value(key) else { return default };
        let Value::Integer(number) = value else {
            self.wrong_type(key, "an integer", value);
            return default;
        };
        match usize::try_from(*number) {
            Ok(count) if (1..=max).contains(&count) => count,
            _ => {
                self.add_fault(key, format!("must be from 1 to {max}, got {number}"));
                default
            }
        }
    }

    /// Returns whether the table contains `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(key))
    }

    fn value(&mut self, key: &'a str) -> Option<&'a Value> {
        self.known_keys.insert(key);
        self.table?.get(key)
    }

    fn parse<T>(&mut self, key: &str, text: &str, expected: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.add_fault(key, format!("expected {expected}, got {text:?}: {err}"));
                None
            }
        }
    }

    fn wrong_type(&mut self, key: &str, expected: &str, actual: &Value) {
        self.add_fault(
            key,
            format!("expected {expected}, got a value of type {}", actual.type_str()),
        );
    }

    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}
