//! Requests of callers as they arrive at the gateway.

use std::sync::Arc;

use sesamewind_protocol::{PartId, Time};

use crate::table::{Account, Route, Unit};

/// Number of route ranks that one account rank counts for. Configurations mostly use three route
/// ranks, so that the account's rank takes precedence.
const ACCOUNT_RANK_FACTOR: u8 = 3;

/// Identifies one request within this instance; never reused.
pub type Ticket = u64;

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Route of the request.
    pub route: Arc<Route>,
    /// The client account, if the route needs one.
    pub account: Option<Arc<Account>>,
    /// Tokens of the prompt, if the request states them.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// What other requests may have in common with this one: the parts of the prompt in order, if it
    /// states them, and last its fingerprint.
    pub parts: Arc<[PartId]>,
    /// Position in `[0, 1)` for weighted splits.
    pub point: f64,
    /// When the caller or the route stops waiting, whichever is earlier.
    pub deadline: Time,
    /// Whether an instance has counted its first attempt in the retry budget.
    pub counted: bool,
}

impl Arrival {
    /// Returns the urgency; zero is the most urgent. The account's rank takes precedence, and the
    /// route's rank decides between accounts of the same rank.
    pub fn rank(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.rank).unwrap_or(0);
        account.saturating_mul(ACCOUNT_RANK_FACTOR).saturating_add(self.route.rank)
    }

    /// Returns the units charged to the account's limit, in the account's unit.
    pub fn cost(&self) -> f64 {
        let Some(account) = &self.account else { return 0.0 };
        match account.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { default } => self.prompt_tokens.map_or(f64::from(default), |prompt| {
                f64::from(prompt) + f64::from(self.output_tokens)
            }),
        }
    }
}
