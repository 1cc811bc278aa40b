//! Fair shares of client accounts while there is too little room.
//!
//! Usage of an account counts in relation to its limit, over all instances. Requests of accounts
//! that have lately used less of their limit stand ahead in the queue, and the requests that are
//! refused come from its end. The order leaves no slot unused.

use std::time::Duration;

use sesamewind_protocol::Time;

use crate::quota::Quotas;
use crate::table::Account;

/// Multiple of the average used fraction of limits from which an account's requests stand as far
/// behind as they can.
const FULL_MULTIPLE: f64 = 2.0;

/// Time for which a computed average applies: about the interval between reports of peers.
const AVERAGE_TIME: Duration = Duration::from_millis(100);

/// Average used fraction of the limits of all accounts in use.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairShares {
    average: f64,
    until: Time,
}

impl FairShares {
    /// Returns how far the requests of an account stand behind, from zero to one. An account without
    /// a limit stands where an average one does.
    pub(crate) fn lag(&mut self, account: Option<&Account>, quotas: &Quotas, now: Time) -> f64 {
        if now >= self.until {
            self.average = quotas.used_fraction();
            self.until = now + AVERAGE_TIME;
        }
        let used = account.and_then(|account| quotas.used_fraction_of(&account.name));
        match used {
            Some(used) if self.average > 0.0 => (used / self.average / FULL_MULTIPLE).min(1.0),
            _ => 1.0 / FULL_MULTIPLE,
        }
    }
}
