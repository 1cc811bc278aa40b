//! The entries of one section of a message, each with the message in which it last changed.

use std::collections::BTreeMap;

/// Number of messages after which a removed entry is forgotten. A receiver that has not
/// acknowledged the removal by then is sent all entries.
const RETENTION_MESSAGES: u64 = 2_048;

#[derive(Debug)]
struct Entry<V> {
    /// `None` once the entry is removed.
    value: Option<V>,
    /// Message in which the entry last changed.
    changed: u64,
    /// Newest message for which the entry was offered.
    seen: u64,
}

/// The entries of a section, by key.
#[derive(Debug)]
pub(super) struct Section<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    /// Newest message whose removals have been forgotten; deltas on an older base are incomplete.
    floor: u64,
}

impl<K, V> Default for Section<K, V> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), floor: 0 }
    }
}

impl<K: Clone + Ord, V: Clone> Section<K, V> {
    /// Replaces the entries by `items` as of message `seq`; entries not among them are removed.
    ///
    /// An entry whose value `is_close` to the one last sent does not count as changed.
    pub(super) fn publish(
        &mut self,
        seq: u64,
        items: impl IntoIterator<Item = (K, V)>,
        is_close: impl Fn(&V, &V) -> bool,
    ) {
        self.merge(seq, items, is_close);
        for entry in self.entries.values_mut() {
            if entry.value.is_some() && entry.seen < seq {
                *entry = Entry { value: None, changed: seq, seen: seq };
            }
        }
    }

    /// Adds or updates `items`, which are offered to one receiver in message `seq`.
    ///
    /// Other entries stay until they have not been offered to any receiver for
    /// [`RETENTION_MESSAGES`].
    pub(super) fn merge(
        &mut self,
        seq: u64,
        items: impl IntoIterator<Item = (K, V)>,
        is_close: impl Fn(&V, &V) -> bool,
    ) {
        for (key, value) in items {
            let entry = self.entries.entry(key);
            let entry = entry.or_insert(Entry { value: None, changed: seq, seen: seq });
            entry.seen = seq;
            if entry.value.as_ref().is_none_or(|old| !is_close(old, &value)) {
                *entry = Entry { value: Some(value), changed: seq, seen: seq };
            }
        }
        self.purge(seq);
    }

    fn purge(&mut self, seq: u64) {
        let limit = seq.saturating_sub(RETENTION_MESSAGES);
        let floor = &mut self.floor;
        self.entries.retain(|_, entry| {
            let is_kept = entry.seen > limit || seq <= RETENTION_MESSAGES;
            if !is_kept && entry.value.is_none() {
                *floor = (*floor).max(entry.changed);
            }
            is_kept
        });
    }

    /// Whether all changes since message `base` are still available.
    pub(super) fn has_all_since(&self, base: u64) -> bool {
        base >= self.floor
    }

    /// Returns the entries that changed after message `base`; the value of a removed one is `None`.
    pub(super) fn since(&self, base: u64) -> impl Iterator<Item = (&K, Option<&V>)> {
        let changed = self.entries.iter().filter(move |(_, entry)| entry.changed > base);
        changed
            .map(|(key, entry)| (key, entry.value.as_ref()))
            .filter(move |(_, value)| base > 0 || value.is_some())
    }
}
