//! Groups of instances that share targets.
//!
//! In a deployment with many instances, each learns the load that most others cause only after a
//! delay, and requests would pile up on targets that all of them see as free. The instances of an
//! availability zone therefore form groups, each with its own subset of the zone's targets.
//! Instances of one group exchange their state often, so that each knows the load of its group's
//! targets. Other targets are used only if they have several free slots.

use sesamewind_protocol::{InstanceId, text_hash};

use crate::targets::{Index, Targets};

/// Number of instances in a group. Group members can exchange their state several times while a
/// request runs.
const GROUP_INSTANCES: usize = 6;

/// Minimum number of targets in a group, so that a slow or lost target is only a small fraction of
/// it.
const GROUP_TARGETS: usize = 5;

/// Position of an instance among those of its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberPosition {
    index: usize,
    count: usize,
}

impl MemberPosition {
    /// Returns the group of the instance if there are `groups` groups.
    fn group(self, groups: usize) -> usize {
        self.index * groups / self.count
    }
}

/// Instances of an availability zone, in an order that is the same at all of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Members {
    order: Vec<(u64, InstanceId)>,
}

impl Members {
    /// Creates the member list from instance names.
    pub(crate) fn new(names: impl Iterator<Item = InstanceId>) -> Self {
        let mut order: Vec<_> = names.map(|name| (text_hash(name.as_str()), name)).collect();
        order.sort_unstable();
        Self { order }
    }

    /// Returns the position of `name`, if it is a member.
    pub(crate) fn position(&self, name: &InstanceId) -> Option<MemberPosition> {
        let index = self.order.binary_search_by(|(hash, other)| {
            (*hash, other).cmp(&(text_hash(name.as_str()), name))
        });
        index.ok().map(|index| MemberPosition { index, count: self.order.len() })
    }

    /// Returns whether two members belong to the same group, and so share targets if there are
    /// enough targets for groups.
    pub(crate) fn is_same_group(&self, a: &InstanceId, b: &InstanceId) -> bool {
        let groups = self.order.len().div_ceil(GROUP_INSTANCES);
        match (self.position(a), self.position(b)) {
            (Some(a), Some(b)) => a.group(groups) == b.group(groups),
            _ => false,
        }
    }
}

/// Marks those of the `candidates` as preferred that belong to the group of the instance at
/// `position`. All candidates must be of one service and availability zone.
pub(crate) fn assign(targets: &mut Targets, candidates: &[Index], position: MemberPosition) {
    let mut order: Vec<_> = candidates
        .iter()
        .map(|&index| (text_hash(targets.get(index).listed.id.as_str()), index))
        .collect();
    order.sort_unstable();
    let groups = position.count.div_ceil(GROUP_INSTANCES).min(order.len() / GROUP_TARGETS).max(1);
    let own = position.group(groups);
    for (nth, (_, index)) in order.iter().enumerate() {
        targets.get_mut(*index).preferred = nth * groups / order.len() == own;
    }
}
