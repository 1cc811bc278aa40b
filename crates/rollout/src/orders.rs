//! Load and unload orders: a bounded number at a time, one per target.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::{TargetId, Time, VersionId};

use crate::action::OrderKind;
use crate::input::OrderResult;
use crate::transition::ORDER_TIMEOUT;

/// Loads that may run at the same time over all rollouts unless another number is set.
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
    fn timeout(&self) -> Duration {
        match self.state {
            OrderState::Sent => ORDER_TIMEOUT,
            OrderState::Accepted => LOAD_TIMEOUT,
            OrderState::Failed => RETRY_INTERVAL,
        }
    }

    fn is_open(&self, now: Time) -> bool {
        now.since(self.sent) < self.timeout()
    }

    fn is_loading(&self) -> bool {
        self.kind == OrderKind::Load && self.state != OrderState::Failed
    }
}

/// Orders that may still have an effect.
#[derive(Debug)]
pub(crate) struct Orders {
    orders: BTreeMap<TargetId, Order>,
    last_load: Option<Time>,
    max_loads: usize,
}

impl Default for Orders {
    fn default() -> Self {
        Self { orders: BTreeMap::new(), last_load: None, max_loads: MAX_LOADS }
    }
}

impl Orders {
    /// Sets how many loads may run at the same time.
    pub(crate) fn set_max_loads(&mut self, loads: usize) {
        self.max_loads = loads.max(1);
    }

    /// Forgets all orders; they were another steward's or an earlier lease's.
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
        self.last_load = None;
    }

    /// Takes the target's answer.
    pub(crate) fn on_result(&mut self, target: &TargetId, result: OrderResult) {
        let Some(order) = self.orders.get_mut(target) else { return };
        order.state = match result {
            OrderResult::Done => OrderState::Accepted,
            OrderResult::Fenced | OrderResult::Failed => OrderState::Failed,
        };
    }

    /// Drops the order to `target` if its report, which lists `versions`, shows the effect.
    pub(crate) fn remove_done(&mut self, target: &TargetId, versions: &[VersionId]) {
        let Some(order) = self.orders.get(target) else { return };
        let listed = versions.contains(&order.version);
        if listed == (order.kind == OrderKind::Load) {
            self.orders.remove(target);
        }
    }

    /// Whether an unload of `version` may still have an effect on some target, or had one that the
    /// target's report does not show yet.
    pub(crate) fn is_unloading(&self, version: &VersionId, now: Time) -> bool {
        let mut orders = self.orders.values();
        orders.any(|order| {
            let may_take_effect = now.since(order.sent) < ORDER_TIMEOUT || order.is_open(now);
            order.kind == OrderKind::Unload && order.version == *version && may_take_effect
        })
    }

    /// Whether a load may be ordered from `target` now.
    pub(crate) fn may_load(&self, target: &TargetId, now: Time) -> bool {
        let running =
            self.orders.values().filter(|order| order.is_loading() && order.is_open(now)).count();
        let is_spaced = self.last_load.is_none_or(|at| now.since(at) >= LOAD_INTERVAL);
        running < self.max_loads && is_spaced && self.is_free(target, now)
    }

    /// Whether no order to `target` is open.
    pub(crate) fn is_free(&self, target: &TargetId, now: Time) -> bool {
        self.orders.get(target).is_none_or(|order| !order.is_open(now))
    }

    /// Notes that an order is sent.
    pub(crate) fn record_sent(
        &mut self,
        target: &TargetId,
        kind: OrderKind,
        version: &VersionId,
        now: Time,
    ) {
        let order = Order { kind, version: version.clone(), sent: now, state: OrderState::Sent };
        self.orders.insert(target.clone(), order);
        if kind == OrderKind::Load {
            self.last_load = Some(now);
        }
    }
}
