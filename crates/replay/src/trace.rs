//! Parser for traces of callers' requests.

use std::collections::HashMap;
use std::fmt;

use csv::StringRecord;

/// Columns of a trace, in order.
pub const COLUMNS: [&str; 12] = [
    "at_ms",
    "account",
    "tier",
    "service",
    "route",
    "key",
    "attempt",
    "prefix",
    "prefix_tokens",
    "prompt_tokens",
    "output_tokens",
    "timeout_ms",
];

/// Highest time or timeout in a trace, in milliseconds.
const MAX_AT_MS: u64 = 24 * 60 * 60 * 1_000;
/// Most tokens of a prefix, a prompt or an answer.
const MAX_TOKENS: u64 = 10_000_000;
/// Highest attempt number.
const MAX_ATTEMPT: u64 = 1_000;

/// One attempt of a request, a line of the trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Time of sending, in milliseconds since the start.
    pub at_ms: u64,
    /// The client account.
    pub account: String,
    /// The requested tier.
    pub tier: String,
    /// The service.
    pub service: String,
    /// The route; for plain services, method and path.
    pub route: String,
    /// The idempotency key, the same for all attempts of a request.
    pub key: String,
    /// Attempt number, starting at zero.
    pub attempt: u32,
    /// Name of the prompt's prefix; empty for none.
    pub prefix: String,
    /// Tokens of the prefix, included in the prompt tokens.
    pub prefix_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// The caller's timeout for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Error in a trace, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError {
    /// Line in the file, starting at one.
    pub line: u64,
    /// Column of the table, starting at one.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)?;
        if let Some(name) = COLUMNS.get(self.column.wrapping_sub(1)) {
            write!(f, " ({name})")?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for TraceError {}

/// Parses a trace.
///
/// # Errors
///
/// Returns the first error of a malformed trace.
pub fn read(bytes: &[u8]) -> Result<Vec<Entry>, TraceError> {
    let mut reader = csv::ReaderBuilder::new().has_headers(false).flexible(true).from_reader(bytes);
    let mut records = reader.records();
    let header = records.next().ok_or_else(|| trace_error(1, 1, "the trace is empty"))?;
    check_header(&header.map_err(|error| csv_error(&error))?)?;
    let mut entries: Vec<Entry> = Vec::new();
    let mut attempts = HashMap::new();
    for record in records {
        let record = record.map_err(|error| csv_error(&error))?;
        let row = Row { line: record.position().map_or(0, csv::Position::line), record: &record };
        let entry = row.entry()?;
        if entries.last().is_some_and(|last| last.at_ms > entry.at_ms) {
            return Err(trace_error(row.line, 1, "the time is earlier than on the line above"));
        }
        let previous = attempts.insert((entry.account.clone(), entry.key.clone()), entry.attempt);
        if previous.is_some_and(|previous| previous >= entry.attempt) {
            let message = "the attempt number must be higher than that of the previous attempt";
            return Err(trace_error(row.line, 7, message));
        }
        entries.push(entry);
    }
    Ok(entries)
}

fn trace_error(line: u64, column: usize, message: impl Into<String>) -> TraceError {
    TraceError { line, column, message: message.into() }
}

fn csv_error(error: &csv::Error) -> TraceError {
    let line = error.position().map_or(1, csv::Position::line);
    let column = match error.kind() {
        csv::ErrorKind::Utf8 { err, .. } => err.field() + 1,
        _ => 1,
    };
    trace_error(line, column, "the line is not valid CSV in UTF-8")
}

fn check_header(header: &StringRecord) -> Result<(), TraceError> {
    for (index, expected) in COLUMNS.iter().enumerate() {
        let found = header.get(index).unwrap_or_default().trim();
        if found != *expected {
            return Err(trace_error(
                1,
                index + 1,
                format!("expected column {expected:?}, got {found:?}"),
            ));
        }
    }
    if header.len() > COLUMNS.len() {
        return Err(trace_error(1, COLUMNS.len() + 1, "the trace has more columns than expected"));
    }
    Ok(())
}

/// The line of the trace that is being parsed.
struct Row<'a> {
    line: u64,
    record: &'a StringRecord,
}

impl Row<'_> {
    fn entry(&self) -> Result<Entry, TraceError> {
        if self.record.len() != COLUMNS.len() {
            let column = self.record.len().min(COLUMNS.len()) + 1;
            let message = format!("expected {} cells, got {}", COLUMNS.len(), self.record.len());
            return Err(trace_error(self.line, column, message));
        }
        let entry = Entry {
            at_ms: self.number(0, MAX_AT_MS)?,
            account: self.text(1)?,
            tier: self.text(2)?,
            service: self.text(3)?,
            route: self.text(4)?,
            key: self.text(5)?,
            attempt: self.number_u32(6, MAX_ATTEMPT)?,
            prefix: self.cell(7).to_owned(),
            prefix_tokens: self.number_u32(8, MAX_TOKENS)?,
            prompt_tokens: self.number_u32(9, MAX_TOKENS)?,
            output_tokens: self.number_u32(10, MAX_TOKENS)?,
            timeout_ms: self.number(11, MAX_AT_MS)?,
        };
        if entry.prefix_tokens > entry.prompt_tokens {
            return Err(trace_error(self.line, 9, "the prefix has more tokens than the prompt"));
        }
        if entry.prefix.is_empty() && entry.prefix_tokens > 0 {
            return Err(trace_error(self.line, 8, "a prefix with tokens needs a name"));
        }
        if entry.timeout_ms == 0 {
            return Err(trace_error(self.line, 12, "the timeout must be above 0"));
        }
        Ok(entry)
    }

    fn cell(&self, index: usize) -> &str {
        self.record.get(index).unwrap_or_default().trim()
    }

    fn text(&self, index: usize) -> Result<String, TraceError> {
        let text = self.cell(index);
        if text.is_empty() {
            return Err(trace_error(self.line, index + 1, "must not be empty"));
        }
        if !text.bytes().all(|byte| (b' '..=b'~').contains(&byte)) {
            return Err(trace_error(self.line, index + 1, "must be printable ASCII"));
        }
        Ok(text.to_owned())
    }

    fn number(&self, index: usize, max: u64) -> Result<u64, TraceError> {
        let text = self.cell(index);
        let number = text.parse().ok().filter(|number| *number <= max);
        number.ok_or_else(|| {
            let message = format!("expected a whole number from 0 to {max}, got {text:?}");
            trace_error(self.line, index + 1, message)
        })
    }

    fn number_u32(&self, index: usize, max: u64) -> Result<u32, TraceError> {
        let number = self.number(index, max)?;
        u32::try_from(number)
            .map_err(|_| trace_error(self.line, index + 1, "the number is too large"))
    }
}
