//! Tracks load and unload orders: at most one open order per target and a limited number of loads.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::{TargetId, Time, VersionId};

use crate::action::OrderKind;
use crate::input::OrderResult;
use crate::transition::ORDER_TIMEOUT;

/// Loads that may run at the same time over all rollouts, unless another limit is set.
const MAX_LOADS: usize = 2;
/// Minimum time between two load orders.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an accepted load is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Time before a failed order is sent again.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// State of the last order to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    /// The order was sent and not answered yet.
    Sent,
    /// The target accepted the order, but its report does not show the effect yet.
    Accepted,
    /// The target refused the order, or there was no response.
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

/// Orders that may still take effect.
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

    /// Drops all orders. They belong to an earlier lease.
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
        self.last_load = None;
    }

    /// Handles the result of the order to `target`.
    pub(crate) fn on_result(&mut self, target: &TargetId, result: OrderResult) {
        let Some(order) = self.orders.get_mut(target) else { return };
        order.state = match result {
            OrderResult::Done => OrderState::Accepted,
            OrderResult::Fenced | OrderResult::Failed => OrderState::Failed,
        };
    }

    /// Removes the order to `target` if the target's report, which lists `versions`, shows its
    /// effect.
    pub(crate) fn remove_done(&mut self, target: &TargetId, versions: &[VersionId]) {
        let Some(order) = self.orders.get(target) else { return };
        let listed = versions.contains(&order.version);
        if listed == (order.kind == OrderKind::Load) {
            self.orders.remove(target);
        }
    }

    /// Returns whether an unload of `version` may still take effect at some target, or has taken
    /// effect without showing in the target's report yet.
    pub(crate) fn is_unloading(&self, version: &VersionId, now: Time) -> bool {
        let mut orders = self.orders.values();
        orders.any(|order| {
            let may_take_effect = now.since(order.sent) < ORDER_TIMEOUT || order.is_open(now);
            order.kind == OrderKind::Unload && order.version == *version && may_take_effect
        })
    }

    /// Returns whether `target` may be ordered to load a version now.
    pub(crate) fn may_load(&self, target: &TargetId, now: Time) -> bool {
        let running =
            self.orders.values().filter(|order| order.is_loading() && order.is_open(now)).count();
        let is_spaced = self.last_load.is_none_or(|at| now.since(at) >= LOAD_INTERVAL);
        running < self.max_loads && is_spaced && self.is_free(target, now)
    }

    /// Returns whether `target` has no open order.
    pub(crate) fn is_free(&self, target: &TargetId, now: Time) -> bool {
        self.orders.get(target).is_none_or(|order| !order.is_open(now))
    }

    /// Records that an order was sent.
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
