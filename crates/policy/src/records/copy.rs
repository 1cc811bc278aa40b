//! Copies of records, for an instance that joins or from one that leaves.

use sesamewind_protocol::record::{RecordEntry, RecordState, RecordsCopy};
use sesamewind_protocol::{Code, RunState, Time};

use crate::event::Ticket;

use super::{Record, Records, State, settling};

impl Records {
    /// A copy of the records: for a joining instance all as promises, so that it asks before it
    /// dispatches; from a leaving one with their results, since it can't be asked later.
    pub(crate) fn copy(&self, seq: Option<u64>, joined: bool, now: Time) -> RecordsCopy {
        let mut entries = Vec::new();
        for (key, record) in &self.records {
            let state = match record.state {
                _ if seq.is_some() => RecordState::Voided,
                State::Void | State::Asking(_) => RecordState::Voided,
                State::Complete(..) => RecordState::Ended { code: Code::Ok, run: RunState::Ran },
                State::Ended(code, run) => RecordState::Ended { code, run },
                State::Held(_) => {
                    RecordState::Ended { code: Code::OutcomeUnknown, run: RunState::Unknown }
                }
            };
            let keep = record.expires.since(now).min(self.keep);
            let keep_ms = u64::try_from(keep.as_millis()).unwrap_or(u64::MAX);
            entries.push(RecordEntry { key: *key, attempt: record.attempt, state, keep_ms });
        }
        RecordsCopy { from: self.me.clone(), joined, seq, entries, known: self.known(now) }
    }

    /// Takes over the records of a copy. Returns attempts here that one of them settles.
    pub(crate) fn take(&mut self, copy: &RecordsCopy, now: Time) -> Vec<(Ticket, Code, RunState)> {
        self.members.heard(&copy.from, now);
        if copy.seq.is_none() {
            self.members.handed_over(&copy.from, now);
        }
        copy.entries.iter().filter_map(|note| self.adopt(note, now)).collect()
    }

    fn adopt(&mut self, note: &RecordEntry, now: Time) -> Option<(Ticket, Code, RunState)> {
        let state = match &note.state {
            RecordState::Voided | RecordState::Superseded => State::Void,
            RecordState::Ended { code, run } => State::Ended(*code, *run),
            RecordState::Held => State::Ended(Code::OutcomeUnknown, RunState::Unknown),
        };
        // Kept for the full time here, which is never shorter than at the sender.
        let expires = now + self.keep;
        let Some(record) = self.records.get_mut(&note.key) else {
            let record = Record { state, attempt: note.attempt, body: 0, expires };
            self.records.insert(note.key, record);
            self.expiry.push_back((expires, note.key));
            return None;
        };
        let settled = match (record.state, state) {
            (State::Void, _) => None,
            // The sender will not be asked again, so its answer has to be taken from the copy.
            (State::Asking(ticket), State::Ended(_, run)) => Some((ticket, settling(run), run)),
            _ => return None,
        };
        record.state = state;
        record.attempt = record.attempt.max(note.attempt);
        record.expires = expires;
        self.expiry.push_back((expires, note.key));
        self.asks.remove(&note.key);
        settled
    }
}
