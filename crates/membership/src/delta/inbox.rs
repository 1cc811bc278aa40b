//! Usage of targets and client accounts as received from each instance.

use std::collections::BTreeMap;

use sesamewind_protocol::message::{ConfigDigest, Exchange};
use sesamewind_protocol::traffic::{AccountUsage, TargetUsage};
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, TargetId};

/// State received from one incarnation of an instance.
#[derive(Debug, Default)]
pub(super) struct Received {
    pub(super) incarnation: Incarnation,
    /// Newest message whose base was present when it was applied; this one is acknowledged.
    pub(super) seq: u64,
    /// Newest message received.
    newest: u64,
    pub(super) config: ConfigDigest,
    targets: BTreeMap<TargetId, TargetUsage>,
    accounts: BTreeMap<AccountId, AccountUsage>,
}

/// State received from each instance.
#[derive(Debug, Default)]
pub(super) struct Inbox {
    senders: BTreeMap<InstanceId, Received>,
}

impl Inbox {
    pub(super) fn get(&self, sender: &InstanceId) -> Option<&Received> {
        self.senders.get(sender)
    }

    pub(super) fn forget(&mut self, sender: &InstanceId) {
        self.senders.remove(sender);
    }

    /// Applies a message and replaces the changes in it by the sender's complete usage.
    pub(super) fn restore(&mut self, exchange: &mut Exchange) {
        let from = &exchange.from;
        let received = self.senders.entry(from.instance.clone()).or_default();
        if from.incarnation > received.incarnation {
            *received = Received { incarnation: from.incarnation, ..Received::default() };
        }
        if from.incarnation == received.incarnation && from.seq > received.newest {
            received.apply(exchange);
        }
        exchange.targets = received.targets.values().cloned().collect();
        exchange.accounts = received.accounts.values().cloned().collect();
    }
}

impl Received {
    fn apply(&mut self, exchange: &Exchange) {
        let base = exchange.delta.base;
        self.newest = exchange.from.seq;
        let has_base = base <= self.seq;
        if base == 0 || !has_base {
            self.targets.clear();
            self.accounts.clear();
        }
        // Changes to a missing base are applied but not acknowledged. The sender does not know this
        // incarnation yet, and sends all entries as soon as it does.
        self.seq = if has_base { exchange.from.seq } else { 0 };
        self.config.clone_from(&exchange.config);
        for usage in &exchange.targets {
            if is_unused(usage) {
                self.targets.remove(&usage.target);
            } else {
                self.targets.insert(usage.target.clone(), usage.clone());
            }
        }
        for usage in &exchange.accounts {
            if usage.requests_per_s == 0.0 && usage.tokens_per_s == 0.0 {
                self.accounts.remove(&usage.account);
            } else {
                self.accounts.insert(usage.account.clone(), usage.clone());
            }
        }
    }
}

/// Whether the sender no longer uses the target and reports no prefill speed for it.
fn is_unused(usage: &TargetUsage) -> bool {
    usage.requests == 0 && usage.tokens == 0 && usage.prefill == 0 && usage.prefill_speed == 0.0
}
