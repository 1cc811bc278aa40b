//! Division of what a target takes from all instances together.

use sesamewind_protocol::Time;

use crate::gateway::Identity;
use crate::limits::MIN_RATE;
use crate::sharers::Sharers;
use crate::targets::ListedTarget;

/// Maximum number of instances that share a rate: so many, and this factor times the rate. Each may
/// send one request at any time, so that their number bounds what arrives at once.
const MAX_SENDERS: (f64, f64) = (5.0, 0.9);

/// Turns a second for each request that an instance may send in any second. With one saved turn and
/// those of [`super::turns::BURST_TIME`], `n` requests take `0.9 * n` turns a second at most.
const TURNS_PER_REQUEST: f64 = 0.9;

/// Fraction of the requests in any second that are divided. The rest covers the time in which not all
/// instances choose the same senders.
const DIVIDED_FRACTION: f64 = 0.8;

/// What a target takes from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Bound {
    /// Requests a second on average.
    Rate(f64),
    /// Requests in any second.
    Second(f64),
}

impl Bound {
    /// Returns the requests a second that all instances together may send.
    pub(crate) fn rate(self) -> f64 {
        match self {
            Self::Rate(rate) => rate,
            Self::Second(_) => self.requests() as f64 * TURNS_PER_REQUEST,
        }
    }

    /// Returns the turns a second of the instance `me` at `target`.
    pub(crate) fn share(
        self,
        target: &ListedTarget,
        me: &Identity,
        sharers: &Sharers,
        now: Time,
    ) -> f64 {
        let instances = sharers.instances();
        let position = || sharers.position_at(target, me, now);
        match self {
            Self::Rate(rate) => {
                let rate = rate.max(MIN_RATE);
                let senders = (MAX_SENDERS.0 + MAX_SENDERS.1 * rate) as usize;
                if instances <= senders {
                    rate / instances as f64
                } else if position() < senders {
                    rate / senders as f64
                } else {
                    0.0
                }
            }
            Self::Second(_) => {
                whole_share(self.requests(), instances, position) as f64 * TURNS_PER_REQUEST
            }
        }
    }

    /// Returns the requests in any second that are allowed and not divided among the instances.
    pub(crate) fn margin(self) -> usize {
        match self {
            Self::Rate(_) => 0,
            Self::Second(requests) => requests.max(0.0) as usize - self.requests(),
        }
    }

    /// Returns the requests in any second that are divided among the instances.
    fn requests(self) -> usize {
        match self {
            Self::Rate(rate) => rate as usize,
            Self::Second(requests) => {
                (requests.max(0.0).floor() * DIVIDED_FRACTION).ceil() as usize
            }
        }
    }
}

/// Returns the share of the instance at `position` when `total` is divided in whole numbers.
pub(crate) fn whole_share(
    total: usize,
    instances: usize,
    position: impl FnOnce() -> usize,
) -> usize {
    let rest = total % instances;
    total / instances + usize::from(rest > 0 && position() < rest)
}
