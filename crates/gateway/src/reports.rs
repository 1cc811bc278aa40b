//! Usage of account limits that other instances report.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::relay::RelayedUsage;
use sesamewind_protocol::{AccountId, Incarnation, InstanceId, Time};

use crate::meter::SHARE_INTERVAL;

/// Interval over which a peer's rate is averaged: a few exchanges.
const RATE_INTERVAL: Duration = Duration::from_millis(400);

/// Usage of one account at one peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerUsage {
    /// Units used since the peer's start.
    pub(crate) used: f64,
    /// Recent units per second.
    pub(crate) rate: f64,
    /// Units per second, averaged over [`SHARE_INTERVAL`].
    pub(crate) smoothed_rate: f64,
}

impl PeerUsage {
    /// Replaces the units used, `span` after the last report, and returns the difference.
    pub(crate) fn replace(&mut self, used: f64, span: Duration) -> f64 {
        let delta = used - std::mem::replace(&mut self.used, used);
        let seconds = span.as_secs_f64();
        if seconds > 0.0 {
            let rate = delta.max(0.0) / seconds;
            let weight = |time: Duration| (seconds / time.as_secs_f64()).min(1.0);
            self.rate += weight(RATE_INTERVAL) * (rate - self.rate);
            self.smoothed_rate += weight(SHARE_INTERVAL) * (rate - self.smoothed_rate);
        }
        delta
    }
}

/// Newest known report of one incarnation of a peer.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    pub(crate) incarnation: Incarnation,
    /// Number of the message.
    pub(crate) sequence: u64,
    /// When the peer sent the message, by this instance's clock.
    pub(crate) sent: Time,
    /// Whether the peer did not know the usage from before its start.
    pub(crate) joining: bool,
    pub(crate) usage: HashMap<AccountId, PeerUsage>,
}

impl Reported {
    /// Returns the report for another peer.
    pub(crate) fn relayed(&self, instance: &InstanceId, now: Time) -> RelayedUsage {
        RelayedUsage {
            instance: instance.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            age: now.since(self.sent),
            joining: self.joining,
            used: self.usage.iter().map(|(name, usage)| (name.clone(), usage.used)).collect(),
        }
    }
}

/// Reports of one peer.
#[derive(Debug, Clone)]
pub(crate) struct PeerReports {
    /// When the peer sent its last message that is known here, or was first expected.
    pub(crate) last_seen: Time,
    /// When the peer's last message arrived here, or when it was first expected.
    pub(crate) last_heard: Time,
    /// Whether the peer was announced but has not reported yet.
    pub(crate) expected: bool,
    /// Peers from which this peer has recently received no message.
    pub(crate) unheard: Vec<InstanceId>,
    /// Report of the newest incarnation.
    pub(crate) current: Option<Reported>,
    /// Last reports of earlier incarnations.
    pub(crate) former: Vec<Reported>,
}

impl PeerReports {
    pub(crate) fn new(expected: bool, now: Time) -> Self {
        Self {
            last_seen: now,
            last_heard: now,
            expected,
            unheard: Vec::new(),
            current: None,
            former: Vec::new(),
        }
    }

    /// Returns the report of an incarnation, and whether the incarnation was unknown before, in
    /// which case it is added with a first message of the time `sent`.
    pub(crate) fn entry(
        &mut self,
        incarnation: Incarnation,
        sent: Time,
    ) -> Option<(&mut Reported, bool)> {
        let is_same = |former: &Reported| former.incarnation == incarnation;
        if let Some(index) = self.former.iter().position(is_same) {
            return Some((&mut self.former[index], false));
        }
        let fresh =
            Reported { incarnation, sequence: 0, sent, joining: false, usage: HashMap::new() };
        let newest = self.current.as_ref().map(|current| current.incarnation);
        if newest == Some(incarnation) {
            return Some((self.current.as_mut()?, false));
        }
        if newest.is_some_and(|newest| incarnation < newest) {
            self.former.push(fresh);
            return Some((self.former.last_mut()?, true));
        }
        self.former.extend(self.current.replace(fresh));
        Some((self.current.as_mut()?, true))
    }
}
