//! Copies of records, for a joining instance or from a leaving one.

use sesamewind_protocol::record::{RecordEntry, RecordState, RecordsCopy};
use sesamewind_protocol::{Code, RunState, Time};

use crate::event::Ticket;

use super::{Record, Records, State, code_for};

impl Records {
    /// Returns a copy of the records. For a joining instance, all entries are "voided", so that it
    /// asks before it dispatches. A leaving instance includes the results, since it can't be asked
    /// later.
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
            let retention = record.expires.since(now).min(self.retention);
            let keep_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
            entries.push(RecordEntry { key: *key, attempt: record.attempt, state, keep_ms });
        }
        RecordsCopy {
            from: self.me.clone(),
            joined,
            seq,
            entries,
            known: self.known_instances(now),
        }
    }

    /// Imports the records of a copy. Returns the local attempts that an imported result ends.
    pub(crate) fn import(
        &mut self,
        copy: &RecordsCopy,
        now: Time,
    ) -> Vec<(Ticket, Code, RunState)> {
        self.members.mark_seen(&copy.from, now);
        if copy.seq.is_none() {
            self.members.handed_over(&copy.from, now);
        }
        copy.entries.iter().filter_map(|entry| self.import_entry(entry, now)).collect()
    }

    fn import_entry(&mut self, entry: &RecordEntry, now: Time) -> Option<(Ticket, Code, RunState)> {
        let state = match &entry.state {
            RecordState::Voided | RecordState::Superseded => State::Void,
            RecordState::Ended { code, run } => State::Ended(*code, *run),
            RecordState::Held => State::Ended(Code::OutcomeUnknown, RunState::Unknown),
        };
        // The full retention applies here, which is never shorter than the time left at the sender.
        let expires = now + self.retention;
        let Some(record) = self.records.get_mut(&entry.key) else {
            let record = Record { state, attempt: entry.attempt, body_hash: 0, expires };
            self.records.insert(entry.key, record);
            self.expiry.push_back((expires, entry.key));
            return None;
        };
        let resolved = match (record.state, state) {
            (State::Void, _) => None,
            // The sender can't be asked later, so its result is taken from the copy.
            (State::Asking(ticket), State::Ended(_, run)) => Some((ticket, code_for(run), run)),
            _ => return None,
        };
        record.state = state;
        record.attempt = record.attempt.max(entry.attempt);
        record.expires = expires;
        self.expiry.push_back((expires, entry.key));
        self.lookups.remove(&entry.key);
        resolved
    }
}
