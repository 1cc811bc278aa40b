//! Reads one row cell by cell and collects its faults.

use std::collections::HashMap;
use std::net::SocketAddr;

use humantime_serde::re::humantime;
use sesamewind_protocol::WallTime;

use crate::{Fault, FaultCode};

/// The columns of a sheet, in the order in which sheets are written.
pub const COLUMNS: [&str; 20] = [
    "kind",
    "name",
    "service",
    "version",
    "zone",
    "address",
    "tier",
    "rank",
    "route",
    "idempotent",
    "key_sha256",
    "requests_per_s",
    "tokens_per_s",
    "first_token_ms",
    "total_ms",
    "from",
    "to",
    "deadline",
    "share",
    "class",
];

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a route, in bytes.
const MAX_ROUTE_BYTES: usize = 256;
/// Maximum length of the cell text that a message quotes, in characters.
const MAX_EXCERPT_CHARS: usize = 40;
/// Maximum latency goal of a tier, in milliseconds.
const MAX_TIER_MS: u64 = 24 * 60 * 60 * 1_000;

/// Earliest deadline, in Unix milliseconds. A lower number is likely to be in seconds.
const MIN_DEADLINE_MS: u64 = 1_000_000_000_000;

/// A row of the sheet that is being read.
///
/// An invalid cell, or an empty cell that is required, adds a fault and reads as `None`, so that
/// one pass finds all faults.
pub(crate) struct Row<'a> {
    number: u64,
    cells: HashMap<&'static str, &'a str>,
    /// Columns that can't be read in this row and already have a fault.
    unreadable: Vec<&'static str>,
    used: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Row<'a> {
    /// Starts reading row `number`, whose non-empty cells are `cells`.
    ///
    /// The columns in `unreadable` already have a fault.
    pub(crate) fn new(
        number: u64,
        cells: HashMap<&'static str, &'a str>,
        unreadable: Vec<&'static str>,
        faults: &'a mut Vec<Fault>,
    ) -> Self {
        Self { number, cells, unreadable, used: vec!["kind"], faults }
    }

    /// Returns the row number.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Adds a fault.
    pub(crate) fn add_fault(&mut self, column: &str, code: FaultCode, message: String) {
        self.faults.push(Fault::new(self.number, column, code, message));
    }

    /// Adds a fault for each non-empty cell that was never read.
    pub(crate) fn finish(self, kind: &str) {
        let unused = COLUMNS.iter().filter(|column| !self.used.contains(column));
        for column in unused.filter(|column| self.cells.contains_key(*column)) {
            let message = format!("a row of kind {kind:?} does not use this column");
            let fault = Fault::new(self.number, column, FaultCode::UnexpectedValue, message);
            self.faults.push(fault);
        }
    }

    /// Returns the text of the cell, unless it is empty.
    pub(crate) fn optional(&mut self, column: &'static str) -> Option<&'a str> {
        self.used.push(column);
        self.cells.get(column).copied()
    }

    /// Returns the text of the cell, which must not be empty.
    pub(crate) fn required(&mut self, column: &'static str) -> Option<&'a str> {
        let text = self.optional(column);
        if text.is_none() && !self.unreadable.contains(&column) {
            self.add_fault(column, FaultCode::MissingValue, "must be filled".to_owned());
        }
        text
    }

    /// Reads a name, which is required.
    pub(crate) fn name(&mut self, column: &'static str) -> Option<&'a str> {
        let text = self.required(column)?;
        self.check_name(column, text)
    }

    /// Reads an optional name. The outer `None` means that it is invalid.
    pub(crate) fn optional_name(&mut self, column: &'static str) -> Option<Option<&'a str>> {
        let Some(text) = self.optional(column) else { return Some(None) };
        self.check_name(column, text).map(Some)
    }

    /// Reads a route of a service of either class, which is required.
    pub(crate) fn route(&mut self, column: &'static str) -> Option<&'a str> {
        let text = self.required(column)?;
        if text.len() > MAX_ROUTE_BYTES || !text.bytes().all(|byte| (b' '..=b'~').contains(&byte)) {
            let message = format!(
                "a route has up to {MAX_ROUTE_BYTES} printable characters: {}",
                excerpt(text)
            );
            self.add_fault(column, FaultCode::BadRoute, message);
            return None;
        }
        Some(text)
    }

    /// Reads the rank of a tier, which is required.
    pub(crate) fn rank(&mut self, column: &'static str) -> Option<u8> {
        let text = self.required(column)?;
        let rank = text.parse().ok();
        if rank.is_none() {
            let message = format!("expected a whole number from 0 to 255, got {}", excerpt(text));
            self.add_fault(column, FaultCode::BadNumber, message);
        }
        rank
    }

    /// Reads a number of milliseconds above 0, which is required.
    pub(crate) fn millis(&mut self, column: &'static str) -> Option<u64> {
        let text = self.required(column)?;
        let millis = text.parse().ok().filter(|ms| (1..=MAX_TIER_MS).contains(ms));
        if millis.is_none() {
            let message =
                format!("expected milliseconds from 1 to {MAX_TIER_MS}, got {}", excerpt(text));
            self.add_fault(column, FaultCode::BadNumber, message);
        }
        millis
    }

    /// Reads an optional rate above 0. The outer `None` means that it is invalid.
    pub(crate) fn optional_rate(&mut self, column: &'static str) -> Option<Option<f64>> {
        let Some(text) = self.optional(column) else { return Some(None) };
        let rate = text.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate > 0.0);
        if rate.is_none() {
            let message = format!("expected a number above 0, got {}", excerpt(text));
            self.add_fault(column, FaultCode::BadNumber, message);
        }
        rate.map(Some)
    }

    /// Reads a share above 0 and at most 1, which is required.
    pub(crate) fn share(&mut self, column: &'static str) -> Option<f64> {
        let text = self.required(column)?;
        let share = text.parse::<f64>().ok().filter(|share| *share > 0.0 && *share <= 1.0);
        if share.is_none() {
            let message = format!("expected a number above 0 and at most 1, got {}", excerpt(text));
            self.add_fault(column, FaultCode::BadShare, message);
        }
        share
    }

    /// Reads `yes` or `no`, which is required.
    pub(crate) fn flag(&mut self, column: &'static str) -> Option<bool> {
        let text = self.required(column)?;
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            other => {
                let message = format!("expected yes or no, got {}", excerpt(other));
                self.add_fault(column, FaultCode::BadFlag, message);
                None
            }
        }
    }

    /// Reads an IP address and port that can be connected to, which are required.
    pub(crate) fn address(&mut self, column: &'static str) -> Option<SocketAddr> {
        let text = self.required(column)?;
        let is_connectable =
            |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
        let address = text.parse().ok().filter(is_connectable);
        if address.is_none() {
            let message = format!("expected an IP address and port, got {}", excerpt(text));
            self.add_fault(column, FaultCode::BadAddress, message);
        }
        address
    }

    /// Reads a deadline, in RFC 3339 with UTC or in Unix milliseconds, which is required.
    pub(crate) fn deadline(&mut self, column: &'static str) -> Option<WallTime> {
        let text = self.required(column)?;
        let deadline = parse_deadline(text);
        if deadline.is_none() {
            let message = format!(
                "expected a time such as 2026-01-31T06:00:00Z or Unix milliseconds, got {}",
                excerpt(text)
            );
            self.add_fault(column, FaultCode::BadDeadline, message);
        }
        deadline
    }

    /// Reads a SHA-256 in hexadecimal, which is required.
    ///
    /// The message of a fault does not quote the text, which may be a key entered by mistake.
    pub(crate) fn key_hash(&mut self, column: &'static str) -> Option<[u8; 32]> {
        let text = self.required(column)?;
        let hash = parse_hash(text);
        if hash.is_none() {
            let message = "expected 64 hexadecimal digits".to_owned();
            self.add_fault(column, FaultCode::BadKeyHash, message);
        }
        hash
    }

    fn check_name(&mut self, column: &str, text: &'a str) -> Option<&'a str> {
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:@+".contains(&byte);
        if text.len() <= MAX_NAME_BYTES && text.bytes().all(valid) {
            return Some(text);
        }
        let message = format!(
            "a name has up to {MAX_NAME_BYTES} letters, digits and -_.:@+, got {}",
            excerpt(text)
        );
        self.add_fault(column, FaultCode::BadName, message);
        None
    }
}

/// Returns the text as messages quote it: in quotes, escaped and truncated.
pub(crate) fn excerpt(text: &str) -> String {
    let truncated: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
    if truncated.len() < text.len() {
        format!("{truncated:?}...")
    } else {
        format!("{truncated:?}")
    }
}

fn parse_deadline(text: &str) -> Option<WallTime> {
    if text.bytes().all(|byte| byte.is_ascii_digit()) {
        return text.parse().ok().filter(|ms| *ms >= MIN_DEADLINE_MS).map(WallTime);
    }
    let time = humantime::parse_rfc3339(text).ok()?;
    let since_epoch = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    u64::try_from(since_epoch.as_millis()).ok().map(WallTime)
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, pair) in hash.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = u8::try_from(high * 16 + low).ok()?;
    }
    Some(hash)
}
