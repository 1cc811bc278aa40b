//! A caller's request as it arrives.

use std::sync::Arc;

use sesamewind_protocol::Time;

use crate::table::{Account, Route, Unit};

/// Steps of the routes' urgency that one step of the accounts' urgency counts for: routes mostly
/// have three of them.
const ACCOUNT_RANK_FACTOR: u8 = 3;

/// Names one request at this instance, never used again.
pub type Ticket = u64;

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Name of the request.
    pub ticket: Ticket,
    /// Its route.
    pub route: Arc<Route>,
    /// The client account, if the route needs one.
    pub account: Option<Arc<Account>>,
    /// Tokens of the prompt; none if the request doesn't say.
    pub prompt_tokens: Option<u32>,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Identity of the prompt's shared beginning, if there is one.
    pub prefix: Option<u64>,
    /// Position in `[0, 1)` for weighted splits.
    pub point: f64,
    /// When the caller or the route gives up, whichever is first.
    pub deadline: Time,
}

impl Arrival {
    /// Urgency; zero is the most urgent. The account's comes first, and among accounts of the same
    /// urgency the route's decides.
    pub fn rank(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.rank).unwrap_or(0);
        account.saturating_mul(ACCOUNT_RANK_FACTOR).saturating_add(self.route.rank)
    }

    /// Use of the account's limit, in the account's unit.
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
