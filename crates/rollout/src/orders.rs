//! Load and unload orders: a bounded number at a time, one per target.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::{TargetId, Time, VersionId};

use crate::action::OrderKind;
use crate::input::OrderResult;
use crate::steward::ORDER_TIMEOUT;

/// Loads that may run at the same time over all rollouts; the weight store bears no more.
const MAX_LOADS: usize = 2;
/// Time between two load orders.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// How long an accepted load may take before it is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Time before an order that failed is sent again.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// State of the last order to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    /// Sent, not answered.
    Sent,
    /// Accepted; the effect does not show in the target's report yet.
    Accepted,
    /// Refused or not answered.
    Failed,
}

#[derive(Debug)]
struct Order {
    kind: OrderKind,
    version: VersionId,
    sent: Time,
    state: OrderState,
}

impl Order {
    fn wait(&self) -> Duration {
        match self.state {
            OrderState::Sent => ORDER_TIMEOUT,
            OrderState::Accepted => LOAD_TIMEOUT,
            OrderState::Failed => RETRY_INTERVAL,
        }
    }

    fn open(&self, now: Time) -> bool {
        now.since(self.sent) < self.wait()
    }

    fn loads(&self) -> bool {
        self.kind == OrderKind::Load && self.state != OrderState::Failed
    }
}

/// Orders that may still have an effect.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    open: BTreeMap<TargetId, Order>,
    loaded_at: Option<Time>,
}

impl Orders {
    /// Forgets all orders; they were another steward's or an earlier lease's.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
        self.loaded_at = None;
    }

    /// Takes the target's answer.
    pub(crate) fn on_result(&mut self, target: &TargetId, result: OrderResult) {
        let Some(order) = self.open.get_mut(target) else { return };
        order.state = match result {
            OrderResult::Done => OrderState::Accepted,
            OrderResult::Fenced | OrderResult::Failed => OrderState::Failed,
        };
    }

    /// Drops the order to `target` if its report, which lists `versions`, shows the effect.
    pub(crate) fn settle(&mut self, target: &TargetId, versions: &[VersionId]) {
        let Some(order) = self.open.get(target) else { return };
        let listed = versions.contains(&order.version);
        if listed == (order.kind == OrderKind::Load) {
            self.open.remove(target);
        }
    }

    /// Whether an unload of `version` may still have an effect on some target.
    pub(crate) fn unloads(&self, version: &VersionId) -> bool {
        let mut orders = self.open.values();
        orders.any(|order| order.kind == OrderKind::Unload && order.version == *version)
    }

    /// Whether a load may be ordered from `target` now.
    pub(crate) fn may_load(&self, target: &TargetId, now: Time) -> bool {
        let running = self.open.values().filter(|order| order.loads() && order.open(now)).count();
        let paced = self.loaded_at.is_none_or(|at| now.since(at) >= LOAD_INTERVAL);
        running < MAX_LOADS && paced && self.free(target, now)
    }

    /// Whether no order to `target` is open.
    pub(crate) fn free(&self, target: &TargetId, now: Time) -> bool {
        self.open.get(target).is_none_or(|order| !order.open(now))
    }

    /// Notes that an order is sent.
    pub(crate) fn sent(
        &mut self,
        target: &TargetId,
        kind: OrderKind,
        version: &VersionId,
        now: Time,
    ) {
        let order = Order { kind, version: version.clone(), sent: now, state: OrderState::Sent };
        self.open.insert(target.clone(), order);
        if kind == OrderKind::Load {
            self.loaded_at = Some(now);
        }
    }
}
