//! When a rollout changes the share of its new version.

use std::time::Duration;

use super::verdict::EvidenceLevel;

/// Share of the requests that the new version receives in the first stage. Deployments allow a bad
/// version a tenth of the requests; the difference covers what later stages may add before a
/// verdict.
pub(super) const FIRST_SHARE: f64 = 0.05;

/// Upper limit on the share before it grows, for a service with few requests.
const MAX_FIRST_SHARE: f64 = 0.5;

/// Number of requests of the new version that the first stage aims for, enough for a verdict.
/// Deployments allow a bad version about twice as many beside its share.
const FIRST_REQUESTS: f64 = 24.0;

/// Number of requests sent to the new version at which the first stage has enough, answered or not.
const MAX_FIRST_SENT: f64 = 1.25 * FIRST_REQUESTS;

/// Share of a version that is suspect, below the share that deployments allow a bad version.
const SUSPECT_SHARE: f64 = 0.09;

/// Fraction of the first stage in which [`FIRST_REQUESTS`] should be sent, so that their outcomes
/// are known when the stage ends.
const SAMPLE_FRACTION: f64 = 0.6;

/// Fraction of the duration, and shortest time, between the completion and the deadline. The record
/// must be written in this time even if the store is slow and the writing instance is restarted.
const RECORD_FRACTION: f64 = 0.2;
const MIN_RECORD_TIME: Duration = Duration::from_millis(1_500);

/// Upper limit on the time between the completion and the deadline, as a fraction of the duration.
const MAX_RECORD_FRACTION: f64 = 0.4;

/// Time at which the share starts to grow, as a fraction of the time until the completion.
const GROWTH_FRACTION: f64 = 0.55;

/// Time at which the new version takes all requests that it has slots for, as a fraction of the
/// time until the completion.
const FULL_FRACTION: f64 = 0.7;

/// Time at which the old version stops receiving requests, as a fraction of the time until the
/// completion. The old targets are stopped as soon as the rollout is complete.
const ONLY_NEW_FRACTION: f64 = 0.85;

/// Number of unanswered requests of the new version that is not evidence yet.
const MIN_UNANSWERED: u64 = 10;

/// Rate at which a delayed share grows, relative to the usual one.
const CATCH_UP_RATE: f64 = 2.0;

/// Capacity of the new version, relative to the old one's, below which it can't take all requests.
const MIN_CAPACITY: f64 = 0.5;

/// Part of the time between the completion and the deadline for which a rollout that can't be
/// completed yet waits before it is rolled back.
const WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Part of the requests that the new version takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// The requests at split positions below this share.
    Share(f64),
    /// All requests that the new version has slots for.
    Preferred,
    /// All requests.
    Only,
}

/// What a stage follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StageReason {
    /// The time since the order.
    Time,
    /// The service has few requests, and the new version has received too few of them.
    FewRequests,
    /// Evidence against the new version.
    Evidence,
    /// The new version has few slots.
    Capacity,
    /// No other version has targets.
    OnlyVersion,
    /// The instance learned of the order when the outcome was already due.
    Late,
}

impl StageReason {
    /// Returns the reason as written in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::FewRequests => "few_requests",
            Self::Evidence => "evidence",
            Self::Capacity => "capacity",
            Self::OnlyVersion => "only_version",
            Self::Late => "late",
        }
    }
}

/// State of a rollout that its stage depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// Time since the order.
    pub(super) age: Duration,
    /// Requests of the service since the order.
    pub(super) requests: u64,
    /// Requests of the new version that were answered or failed.
    pub(super) new_requests: u64,
    /// Requests sent to the new version.
    pub(super) new_sent: u64,
    /// Evidence against the new version.
    pub(super) level: EvidenceLevel,
    /// Stage so far, and for how long; none at an instance that has just started.
    pub(super) previous: Option<(Stage, Duration)>,
    /// Whether the instance learned of the order when the outcome was already due.
    pub(super) is_late: bool,
    /// Whether only the new version has usable targets.
    pub(super) is_only_version: bool,
    /// Slots of the new version's usable targets, relative to the old one's.
    pub(super) capacity: f64,
}

impl Progress {
    /// Returns whether so many requests of the new version wait for an answer that the answered
    /// ones don't show what it is like.
    fn is_unanswered(&self) -> bool {
        self.new_sent > 2 * self.new_requests.max(MIN_UNANSWERED)
    }
}

impl Stage {
    /// Returns the share of the requests that the new version may take.
    pub(super) fn share(self) -> f64 {
        match self {
            Self::Share(share) => share,
            Self::Preferred | Self::Only => 1.0,
        }
    }

    /// Returns the stage of a new version with this capacity.
    fn limited_to(self, capacity: f64) -> Self {
        if capacity >= MIN_CAPACITY {
            return self;
        }
        match self {
            Self::Share(share) => Self::Share(share.min(capacity)),
            Self::Preferred | Self::Only => Self::Share(capacity),
        }
    }
}

/// Times of a rollout's stages, counted from its order.
#[derive(Debug, Clone, Copy)]
pub(super) struct Schedule {
    growth: Duration,
    full: Duration,
    only_new: Duration,
    /// When the rollout is recorded as complete.
    pub(super) complete: Duration,
    /// When the rollout is rolled back if it can't be recorded as complete.
    pub(super) last: Duration,
    /// Minimum time for which the old version has received no requests before the completion.
    pub(super) drain: Duration,
}

impl Schedule {
    /// Returns the schedule of a rollout that must end within `duration`.
    pub(super) fn new(duration: Duration) -> Self {
        let record = duration.mul_f64(RECORD_FRACTION).max(MIN_RECORD_TIME);
        let complete = duration - record.min(duration.mul_f64(MAX_RECORD_FRACTION));
        Self {
            growth: complete.mul_f64(GROWTH_FRACTION),
            full: complete.mul_f64(FULL_FRACTION),
            only_new: complete.mul_f64(ONLY_NEW_FRACTION),
            complete,
            last: complete + (duration - complete).mul_f64(WAIT_FRACTION),
            drain: complete.mul_f64(1.0 - ONLY_NEW_FRACTION),
        }
    }

    /// Returns the stage of a rollout and what it follows from.
    ///
    /// The share grows exponentially between the first stage and the full one, so that a version
    /// that is bad under load only is detected before it has all requests. It does not grow without
    /// answers that show the version to be like the old one.
    ///
    /// An instance that learns of the order late sends most requests to the old version, whose
    /// answers show whether it is still there.
    pub(super) fn stage(&self, progress: Progress) -> (Stage, StageReason) {
        if progress.is_only_version {
            return (Stage::Only, StageReason::OnlyVersion);
        }
        if progress.is_late {
            return (Stage::Share(FIRST_SHARE.min(progress.capacity)), StageReason::Late);
        }
        let (unlimited, reason) = self.unlimited_stage(progress);
        let stage = unlimited.limited_to(progress.capacity);
        (stage, if stage == unlimited { reason } else { StageReason::Capacity })
    }

    fn unlimited_stage(&self, progress: Progress) -> (Stage, StageReason) {
        let sample_share = self.sample_share(progress);
        let (share, reason) = if progress.level >= EvidenceLevel::Suspect {
            (SUSPECT_SHARE, StageReason::Evidence)
        } else if progress.age < self.growth {
            (FIRST_SHARE, StageReason::Time)
        } else if progress.level == EvidenceLevel::Unclear || progress.is_unanswered() {
            match progress.previous {
                // The drain of the old version starts anew if the new one loses requests.
                Some((stage, _)) if stage != Stage::Share(0.0) && progress.age >= self.only_new => {
                    return (stage, StageReason::Evidence);
                }
                _ => (SUSPECT_SHARE, StageReason::Evidence),
            }
        } else {
            let share = self.grown_share(progress);
            if share >= 1.0 && progress.age >= self.only_new {
                return (Stage::Only, StageReason::Time);
            } else if share >= 1.0 {
                return (Stage::Preferred, StageReason::Time);
            }
            (share, StageReason::Time)
        };
        if sample_share > share {
            (Stage::Share(sample_share), StageReason::FewRequests)
        } else {
            (Stage::Share(share), reason)
        }
    }

    /// Returns the share that is due at the age. A version whose growth was delayed catches up at
    /// twice the rate instead of at once.
    fn grown_share(&self, progress: Progress) -> f64 {
        let growth = (self.full - self.growth).as_secs_f64();
        let grown = (progress.age - self.growth).as_secs_f64() / growth;
        let due = FIRST_SHARE.powf(1.0 - grown).min(1.0);
        let Some((stage, elapsed)) = progress.previous else { return due };
        let steps = CATCH_UP_RATE * elapsed.as_secs_f64() / growth;
        due.min(stage.share().max(FIRST_SHARE) * FIRST_SHARE.powf(-steps))
    }

    /// Returns the share with which the new version receives [`FIRST_REQUESTS`] in time.
    fn sample_share(&self, progress: Progress) -> f64 {
        // Slow or missing answers must not prolong a raised share.
        if progress.new_requests as f64 >= FIRST_REQUESTS
            || progress.new_sent as f64 >= MAX_FIRST_SENT
        {
            return FIRST_SHARE;
        }
        let rate = progress.requests as f64 / progress.age.as_secs_f64().max(f64::MIN_POSITIVE);
        let sampled = rate * self.growth.as_secs_f64() * SAMPLE_FRACTION;
        (FIRST_REQUESTS / sampled.max(1.0)).clamp(FIRST_SHARE, MAX_FIRST_SHARE)
    }
}
