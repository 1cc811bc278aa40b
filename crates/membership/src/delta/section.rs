//! Entries of one section of a message, each with the message in which it last changed.

use std::collections::BTreeMap;

/// Messages after which a removed entry is forgotten; receivers that have not acknowledged its
/// removal by then are sent everything.
const KEPT_MESSAGES: u64 = 2_048;

#[derive(Debug)]
struct Entry<V> {
    /// `None` once the entry is removed.
    value: Option<V>,
    changed: u64,
}

/// Entries by key.
#[derive(Debug)]
pub(super) struct Section<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    /// Newest message whose removals have been forgotten.
    floor: u64,
}

impl<K, V> Default for Section<K, V> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), floor: 0 }
    }
}

impl<K: Clone + Ord, V: Clone> Section<K, V> {
    /// Takes the entries as they stand when message `seq` is made. An entry that is `close` to what
    /// was last sent of it has not changed.
    pub(super) fn publish(
        &mut self,
        seq: u64,
        items: impl IntoIterator<Item = (K, V)>,
        close: impl Fn(&V, &V) -> bool,
    ) {
        let mut present = std::collections::BTreeSet::new();
        for (key, value) in items {
            present.insert(key.clone());
            let entry = self.entries.entry(key);
            let entry = entry.or_insert(Entry { value: None, changed: seq });
            if entry.value.as_ref().is_none_or(|old| !close(old, &value)) {
                *entry = Entry { value: Some(value), changed: seq };
            }
        }
        for (key, entry) in &mut self.entries {
            if entry.value.is_some() && !present.contains(key) {
                *entry = Entry { value: None, changed: seq };
            }
        }
        self.purge(seq);
    }

    fn purge(&mut self, seq: u64) {
        let limit = seq.saturating_sub(KEPT_MESSAGES);
        let floor = &mut self.floor;
        self.entries.retain(|_, entry| {
            let is_kept = entry.value.is_some() || entry.changed > limit;
            if !is_kept {
                *floor = (*floor).max(entry.changed);
            }
            is_kept
        });
    }

    /// Whether changes since message `base` are all there.
    pub(super) fn reaches(&self, base: u64) -> bool {
        base >= self.floor
    }

    /// The entries that changed after message `base`; a removed one as `None`.
    pub(super) fn since(&self, base: u64) -> impl Iterator<Item = (&K, Option<&V>)> {
        let changed = self.entries.iter().filter(move |(_, entry)| entry.changed > base);
        changed
            .map(|(key, entry)| (key, entry.value.as_ref()))
            .filter(move |(_, value)| base > 0 || value.is_some())
    }
}
