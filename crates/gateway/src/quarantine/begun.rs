//! Times at which answers to parts last began.

use sesamewind_protocol::{PartId, Time};

/// Number of parts that are remembered.
const SLOTS: usize = 4_096;

/// Odd multiplier that spreads part identities over the slots.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Times at which answers to parts last began. A part may displace another one.
#[derive(Debug, Clone, Default)]
pub(super) struct BegunParts {
    /// Empty until the first part.
    slots: Vec<(PartId, Time)>,
}

impl BegunParts {
    /// Records that an answer to `part` began at `begun`.
    pub(super) fn insert(&mut self, part: PartId, begun: Time) {
        if self.slots.is_empty() {
            self.slots = vec![(PartId(0), Time::ZERO); SLOTS];
        }
        let slot = &mut self.slots[slot_of(part)];
        if slot.0 != part || slot.1 < begun {
            *slot = (part, begun);
        }
    }

    /// Returns when an answer to `part` last began, if that is known.
    pub(super) fn get(&self, part: PartId) -> Option<Time> {
        let slot = self.slots.get(slot_of(part))?;
        (slot.0 == part && slot.1 != Time::ZERO).then_some(slot.1)
    }
}

fn slot_of(part: PartId) -> usize {
    (part.0.wrapping_mul(SPREAD) >> 52) as usize
}
