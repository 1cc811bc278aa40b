//! Fair shares of client accounts while there is too little room.
//!
//! The usage of an account counts in relation to its limit, as known of all instances. An account
//! that uses clearly more of its limit than the accounts do on average leaves a slot free at busy
//! engines, which the others take. Nothing is left unused: the slot is free only for as long as no
//! other account needs it, and an account uses more than its share whenever engines have room.

use std::time::Duration;

use sesamewind_protocol::Time;

use crate::quota::Quotas;
use crate::table::Account;

/// Fraction of its limit from which an account uses more than its share, relative to the fraction
/// that all accounts use together.
const ABOVE_FACTOR: f64 = 1.5;

/// Time for which a computed average applies: about the interval between reports of peers.
const AVERAGE_TIME: Duration = Duration::from_millis(100);

/// Fraction of the limits of all accounts that is used.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    average: f64,
    until: Time,
}

impl FairShares {
    /// Returns whether an account uses more than its fair share.
    pub(crate) fn is_above(&mut self, account: &Account, quotas: &Quotas, now: Time) -> bool {
        if now >= self.until {
            self.average = quotas.used_fraction();
            self.until = now + AVERAGE_TIME;
        }
        let used = quotas.used_fraction_of(&account.name);
        used.is_some_and(|used| used > ABOVE_FACTOR * self.average)
    }
}
