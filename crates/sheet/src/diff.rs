//! Lists the differences between two sheets.

use std::collections::{HashMap, HashSet};
use std::fmt;

use sesamewind_protocol::WallTime;

use crate::{Account, Rollout, Service, Sheet, Target, Tier};

/// How an entry differs between two sheets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Only the new sheet has the entry.
    Added,
    /// Only the old sheet has the entry.
    Removed,
    /// Both sheets have the entry, with different values.
    Changed,
}

/// An entry that differs between two sheets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// How the entry differs.
    pub kind: ChangeKind,
    /// Kind of the entry, as in the `kind` column.
    pub entry: &'static str,
    /// Name of the entry.
    pub name: String,
    /// Differences of the values, such as `rank 1 -> 0`. Empty for an added or removed entry.
    pub details: Vec<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ChangeKind::Added => "added",
            ChangeKind::Removed => "removed",
            ChangeKind::Changed => "changed",
        };
        write!(f, "{kind} {} {}", self.entry, self.name)?;
        if !self.details.is_empty() {
            write!(f, ": {}", self.details.join(", "))?;
        }
        Ok(())
    }
}

/// Lists the entries that differ between `old` and `new`, grouped by kind.
///
/// For each kind, removed entries come first in the order of `old`, followed by added and changed
/// entries in the order of `new`.
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("tier", &old.tiers, &new.tiers, &mut changes);
    compare("account", &old.accounts, &new.accounts, &mut changes);
    compare("service", &old.services, &new.services, &mut changes);
    compare("target", &old.targets, &new.targets, &mut changes);
    compare("rollout", &old.rollouts, &new.rollouts, &mut changes);
    changes
}

/// A value of an entry, formatted for operators.
struct Field {
    name: String,
    value: String,
}

impl Field {
    fn new(name: impl Into<String>, value: impl fmt::Display) -> Self {
        Self { name: name.into(), value: value.to_string() }
    }
}

/// An entry of a sheet that can be compared by its name and values.
trait Entry {
    fn name(&self) -> &str;
    fn fields(&self) -> Vec<Field>;
}

fn compare<T: Entry>(entry: &'static str, old: &[T], new: &[T], changes: &mut Vec<Change>) {
    let old_items: HashMap<&str, &T> = old.iter().map(|item| (item.name(), item)).collect();
    let new_names: HashSet<&str> = new.iter().map(T::name).collect();
    for item in old.iter().filter(|item| !new_names.contains(item.name())) {
        changes.push(new_change(ChangeKind::Removed, entry, item.name()));
    }
    for item in new {
        let Some(old_item) = old_items.get(item.name()) else {
            changes.push(new_change(ChangeKind::Added, entry, item.name()));
            continue;
        };
        let details = field_changes(&old_item.fields(), &item.fields());
        if !details.is_empty() {
            let change = new_change(ChangeKind::Changed, entry, item.name());
            changes.push(Change { details, ..change });
        }
    }
}

fn new_change(kind: ChangeKind, entry: &'static str, name: &str) -> Change {
    Change { kind, entry, name: name.to_owned(), details: Vec::new() }
}

fn field_changes(old: &[Field], new: &[Field]) -> Vec<String> {
    let find = |list: &[Field], name: &str| {
        list.iter().find(|field| field.name == name).map(|field| field.value.clone())
    };
    let mut details = Vec::new();
    for field in old.iter().filter(|field| find(new, &field.name).is_none()) {
        details.push(format!("{} removed", field.name));
    }
    for field in new {
        match find(old, &field.name) {
            None => details.push(format!("{} added", field.name)),
            Some(value) if value != field.value => {
                details.push(format!("{} {value} -> {}", field.name, field.value));
            }
            Some(_) => {}
        }
    }
    details
}

impl Entry for Tier {
    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self) -> Vec<Field> {
        vec![
            Field::new("rank", self.rank),
            Field::new("first_token_ms", self.first_token.as_millis()),
            Field::new("total_ms", self.total.as_millis()),
        ]
    }
}

impl Entry for Account {
    fn name(&self) -> &str {
        self.name.as_str()
    }

    fn fields(&self) -> Vec<Field> {
        let limit = |rate: Option<f64>| rate.map_or("none".to_owned(), |rate| rate.to_string());
        let hash: String = self.key_hash.iter().map(|byte| format!("{byte:02x}")).collect();
        vec![
            Field::new("key_sha256", hash),
            Field::new("tier rank", self.tier),
            Field::new("requests_per_s", limit(self.requests_per_s)),
            Field::new("tokens_per_s", limit(self.tokens_per_s)),
        ]
    }
}

impl Entry for Service {
    fn name(&self) -> &str {
        self.name.as_str()
    }

    fn fields(&self) -> Vec<Field> {
        let mut fields =
            vec![Field::new("class", self.class.as_str()), Field::new("version", &self.version)];
        for route in &self.routes {
            let idempotent = if route.idempotent { "idempotent" } else { "not idempotent" };
            let value = format!("(tier rank {}, {idempotent})", route.tier);
            fields.push(Field::new(format!("route {}", route.name), value));
        }
        fields
    }
}

impl Entry for Target {
    fn name(&self) -> &str {
        self.name.as_str()
    }

    fn fields(&self) -> Vec<Field> {
        vec![
            Field::new("service", &self.service),
            Field::new("version", &self.version),
            Field::new("zone", &self.zone),
            Field::new("address", self.address),
        ]
    }
}

impl Entry for Rollout {
    fn name(&self) -> &str {
        self.name.as_str()
    }

    fn fields(&self) -> Vec<Field> {
        let WallTime(deadline) = self.deadline;
        vec![
            Field::new("service", &self.service),
            Field::new("from", &self.from),
            Field::new("to", &self.to),
            Field::new("deadline", deadline),
            Field::new("share", self.share),
        ]
    }
}
