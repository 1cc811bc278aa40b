//! Exchange of targets' request limits between instances.

use std::time::Duration;

use sesamewind_protocol::relay::LimitEntry;
use sesamewind_protocol::{InstanceId, Time};

use crate::gateway::Gateway;
use crate::limits::Statement;
use crate::targets::Target;

/// Time by which a statement that a peer reports may be older than its age says, since the message
/// took a while.
const PEER_MARGIN: Duration = Duration::from_secs(1);

/// Time for which peers are told that a limit has ended. It exceeds the interval between exchanges in
/// deployments with hundreds of instances.
const END_REPORT_TIME: Duration = Duration::from_secs(8);

impl Gateway {
    /// Returns the limits that peers should know of: those that hold, and those that have ended
    /// recently.
    pub(crate) fn limit_entries(&mut self, now: Time) -> Vec<LimitEntry> {
        let limits = &mut self.limits;
        limits.ended.retain(|(_, ended)| now.since(*ended) < END_REPORT_TIME);
        let ended = limits.ended.iter().map(|(index, _)| *index);
        let mut indexes: Vec<_> = limits.limited.iter().copied().chain(ended).collect();
        indexes.sort_unstable();
        indexes.dedup();
        indexes.iter().filter_map(|&index| entry(self.targets.get(index), now)).collect()
    }

    /// Applies the limits that a peer reports.
    pub(crate) fn apply_limits(&mut self, entries: &[LimitEntry], from: &InstanceId, now: Time) {
        for entry in entries {
            let Some(index) = self.targets.find(&entry.target) else { continue };
            let target = self.targets.get(index);
            let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
            if target.listed.incarnation != entry.incarnation || !entry.rate.is_none_or(is_rate) {
                continue;
            }
            let heard = now - entry.heard;
            let asked = now - entry.asked.saturating_add(PEER_MARGIN).max(entry.heard);
            let new = Statement { rate: entry.rate, asked, heard };
            // A statement that goes back and forth between instances does not become a newer one.
            let known = target.limit.as_ref().map(|limit| limit.statement);
            let is_known = known.is_some_and(|known| {
                known.rate == new.rate && new.heard <= known.heard + PEER_MARGIN
            });
            if !is_known {
                self.apply_statement(index, new, Some(from), now);
            }
        }
    }
}

fn entry(target: &Target, now: Time) -> Option<LimitEntry> {
    let statement = target.limit.as_ref()?.statement;
    Some(LimitEntry {
        target: target.listed.id.clone(),
        incarnation: target.listed.incarnation,
        rate: statement.rate,
        asked: now.since(statement.asked),
        heard: now.since(statement.heard),
    })
}
