//! Groups of instances that share targets.
//!
//! Where there are many instances, each hears late of what most others send, and requests pile up on
//! targets that all believe to be free. The instances of an availability zone therefore form groups,
//! each with its own part of the zone's targets. Instances of one group hear of one another often, so
//! that each knows the load of its group's targets; other targets are used only where they have
//! several places free.

use sesamewind_protocol::{InstanceId, text_hash};

use crate::targets::{Index, Targets};

/// Instances of a group: as many as can hear of one another several times while a request runs.
const GROUP_INSTANCES: usize = 6;

/// Fewest targets of a group: enough that one that is slow or gone is no great part.
const GROUP_TARGETS: usize = 5;

/// Place of an instance among those of its availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberPosition {
    index: usize,
    count: usize,
}

impl MemberPosition {
    /// Group of the instance, if there are `groups` of them.
    fn group(self, groups: usize) -> usize {
        self.index * groups / self.count
    }
}

/// The instances of an availability zone, in an order that all of them agree on.
#[derive(Debug, Default)]
pub(crate) struct Members {
    order: Vec<(u64, InstanceId)>,
}

impl Members {
    /// The members with these names.
    pub(crate) fn new(names: impl Iterator<Item = InstanceId>) -> Self {
        let mut order: Vec<_> = names.map(|name| (text_hash(name.as_str()), name)).collect();
        order.sort_unstable();
        Self { order }
    }

    /// Place of `name`, if it is a member.
    pub(crate) fn position(&self, name: &InstanceId) -> Option<MemberPosition> {
        let index = self.order.binary_search_by(|(hash, other)| {
            (*hash, other).cmp(&(text_hash(name.as_str()), name))
        });
        index.ok().map(|index| MemberPosition { index, count: self.order.len() })
    }

    /// Whether two members share targets where there are targets enough.
    pub(crate) fn is_same_group(&self, a: &InstanceId, b: &InstanceId) -> bool {
        let groups = self.order.len().div_ceil(GROUP_INSTANCES);
        match (self.position(a), self.position(b)) {
            (Some(a), Some(b)) => a.group(groups) == b.group(groups),
            _ => false,
        }
    }
}

/// Marks the targets among `candidates`, all of one service and availability zone, that belong to the
/// group of the instance at `rank`.
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
