//! Finds whole events in a stream of server-sent events.
//!
//! Only whole events are passed on, so that a stream that breaks off in the middle of one can go on
//! from another target after the last event that the caller has.

use std::ops::Range;

/// Longest identifier of an event that is kept, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Finds whole events. Bytes are buffered until an event's end.
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: Vec<u8>,
    /// Bytes of `buffer` that were looked at.
    scanned: usize,
    /// Events found since the start.
    events: u64,
    last_id: Option<String>,
}

impl EventScanner {
    /// A scanner for a stream that goes on after the event `last_id`.
    pub fn after(last_id: Option<&str>) -> Self {
        Self { last_id: last_id.map(str::to_owned), ..Self::default() }
    }

    /// Takes bytes and returns those that make whole events, possibly none.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some(event) = self.next_event(complete) {
            self.events += 1;
            if let Some(id) = event_id(&self.buffer[event.clone()]) {
                self.last_id = Some(id);
            }
            complete = event.end;
        }
        self.scanned = self.buffer.len() - complete;
        let rest = self.buffer.split_off(complete);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Bytes of an event that has not ended.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }

    /// Forgets the bytes of an event that has not ended.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Events found so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Identifier of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The event that starts at `start`, its blank line included.
    fn next_event(&self, start: usize) -> Option<Range<usize>> {
        let bytes = &self.buffer;
        // The end may straddle what was looked at before, by up to three bytes.
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

/// Value of the event's `id` field.
fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    let text = std::str::from_utf8(value).ok()?.trim();
    (text.len() <= MAX_ID_BYTES).then(|| text.to_owned())
}
