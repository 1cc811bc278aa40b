//! Detection of complete events in a stream of server-sent events.
//!
//! Only complete events are passed on, so that a stream that breaks off within an event can be
//! resumed at another target after the last event that the caller received.

use std::error::Error;
use std::fmt;
use std::ops::Range;

/// Maximum length of a stored event identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// An event exceeds the largest size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event exceeds {MAX_EVENT_BYTES} bytes")
    }
}

impl Error for EventTooLong {}

/// Finds complete events. Buffers the bytes of an event until its end.
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: Vec<u8>,
    /// Number of bytes of `buffer` that were already searched.
    scanned: usize,
    /// Number of events with content found since the start.
    events: u64,
    last_id: Option<String>,
}

impl EventScanner {
    /// Creates a scanner for a stream that resumes after the event `last_id`.
    pub fn after(last_id: Option<&str>) -> Self {
        Self { last_id: last_id.map(str::to_owned), ..Self::default() }
    }

    /// Adds bytes and returns all complete events, possibly none.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] if no event is complete and the incomplete one is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some(event) = self.next_event(complete) {
            let bytes = &self.buffer[event.clone()];
            self.events += u64::from(has_content(bytes));
            if let Some(id) = event_id(bytes) {
                self.last_id = Some(id);
            }
            complete = event.end;
        }
        // Events that were found are returned first: `last_id` tells that they are passed on.
        if complete == 0 && self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.scanned = self.buffer.len() - complete;
        let rest = self.buffer.split_off(complete);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Returns the bytes of the incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns whether a stream that ends now has no incomplete event. Blank lines belong to none.
    pub fn is_between_events(&self) -> bool {
        self.buffer.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
    }

    /// Discards the bytes of the incomplete event.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Returns the number of events found so far. Comments and blank lines are passed on, but are no
    /// events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the range of the event that starts at `start`, including its blank line.
    fn next_event(&self, start: usize) -> Option<Range<usize>> {
        let bytes = &self.buffer;
        // The end of the event may overlap the bytes already searched by up to three bytes.
        let mut at = start.max(self.scanned.saturating_sub(3));
        while at < bytes.len() {
            if bytes[at] == b'\n' {
                let rest = &bytes[at + 1..];
                if rest.first() == Some(&b'\n') {
                    return Some(start..at + 2);
                }
                if rest.starts_with(b"\r\n") {
                    return Some(start..at + 3);
                }
            }
            at += 1;
        }
        None
    }
}

/// Returns whether the event has data or an identifier.
fn has_content(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id:"))
}

/// Returns the value of the event's `id` field.
fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    let text = std::str::from_utf8(value).ok()?.trim();
    (text.len() <= MAX_ID_BYTES).then(|| text.to_owned())
}
