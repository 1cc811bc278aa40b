//! What is known of one part.

use std::time::Duration;

use sesamewind_protocol::Time;

/// Maximum number of ended targets that are remembered.
const MAX_TARGETS: usize = 8;

/// Time for which a part is held before the first trial; it doubles with each trial.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// Maximum number of trials. A request that has ended a target in each of them is a certain cause.
const MAX_TRIALS: u32 = 2;

/// Time for which a part is held after the last trial, at the end of which it is forgotten.
const FINAL_HOLD_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A part whose requests are refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// Number of trials so far.
    pub(super) round: u32,
    /// When a request may be let through as a trial.
    pub(super) until: Time,
}

impl Hold {
    fn new(round: u32, now: Time) -> Self {
        let time = if round < MAX_TRIALS { HOLD_TIME * (1 << round) } else { FINAL_HOLD_TIME };
        Self { round, until: now + time }
    }

    /// Returns whether a request may be let through.
    pub(super) fn allows_trial(&self, now: Time) -> bool {
        self.round < MAX_TRIALS && now >= self.until
    }
}

/// What is known of one part.
#[derive(Debug, Clone)]
pub(super) struct Record {
    /// Targets that ended before an answer to the part began, since one last did.
    targets: Vec<u64>,
    /// When an answer to the part last began, if that is known.
    pub(super) begun: Option<Time>,
    /// Set while requests with the part are refused.
    pub(super) hold: Option<Hold>,
    /// When the record last changed.
    pub(super) changed: Time,
    /// When this instance last saw something of the part that its peers may not know.
    pub(super) news: Option<Time>,
}

impl Record {
    pub(super) fn new(now: Time) -> Self {
        Self { targets: Vec::new(), begun: None, hold: None, changed: now, news: None }
    }

    pub(super) fn targets(&self) -> &[u64] {
        &self.targets
    }

    /// Returns whether there is no evidence against the part.
    pub(super) fn is_cleared(&self) -> bool {
        self.targets.is_empty() && self.hold.is_none()
    }

    /// Returns the order in which records are kept and reported.
    pub(super) fn weight(&self) -> (bool, usize, Time) {
        (self.hold.is_some(), self.targets.len(), self.changed)
    }

    /// Returns when the record was last of use.
    pub(super) fn last_use(&self) -> Time {
        self.hold.as_ref().map_or(self.changed, |hold| hold.until.max(self.changed))
    }

    pub(super) fn add_target(&mut self, key: u64, now: Time) {
        if self.targets.len() < MAX_TARGETS && !self.targets.contains(&key) {
            self.targets.push(key);
            self.changed = now;
        }
    }

    /// Holds the part; returns whether it was not held before.
    pub(super) fn start_hold(&mut self, now: Time) -> bool {
        let is_new = self.hold.is_none();
        self.hold.get_or_insert(Hold::new(0, now));
        is_new
    }

    /// Holds the part as a peer does, unless it is held for longer; returns whether it was not held
    /// before.
    pub(super) fn adopt_hold(&mut self, hold: Hold, now: Time) -> bool {
        let is_new = self.hold.is_none();
        let is_later =
            self.hold.is_none_or(|own| (hold.round, hold.until) > (own.round, own.until));
        if is_later {
            self.hold = Some(hold);
        }
        if is_new {
            self.changed = now;
        }
        is_new
    }

    /// Lets a request through if the part is held and may be tried; returns whether it is.
    pub(super) fn start_trial(&mut self, now: Time) -> bool {
        let Some(hold) = self.hold.as_mut().filter(|hold| hold.allows_trial(now)) else {
            return false;
        };
        *hold = Hold::new(hold.round + 1, now);
        self.changed = now;
        true
    }

    /// Removes all evidence, since an answer began at `begun`; returns whether the part was held.
    pub(super) fn clear(&mut self, begun: Time, now: Time) -> bool {
        if self.begun.is_some_and(|known| known > begun) {
            return false;
        }
        if !self.is_cleared() {
            self.changed = now;
            self.news = Some(now);
        }
        self.begun = Some(begun);
        self.targets.clear();
        self.hold.take().is_some()
    }

    /// Makes the record part of reports again, since a peer does not know that an answer began at
    /// `begun`.
    pub(super) fn answer(&mut self, begun: Time, now: Time, interval: Duration) {
        if self.begun != Some(begun) || now.since(self.changed) >= interval {
            self.begun = Some(begun);
            self.changed = now;
            self.news = Some(now);
        }
    }
}
