//! Measures one attempt at a request for the metrics, and logs its end.

use sesamewind_protocol::{AccountId, Code, RequestKey, ServiceId, Time, VersionId};

use crate::answer::Ending;
use crate::metrics::Metrics;

/// Measurements of one attempt.
#[derive(Debug)]
pub struct Meter {
    key: RequestKey,
    account: AccountId,
    service: ServiceId,
    tier: String,
    arrived: Time,
    dispatched: bool,
    /// Arrival time of the last tokens.
    last_tokens: Option<Time>,
}

impl Meter {
    /// Creates the meter of an attempt that arrived at `arrived`.
    pub fn new(
        key: RequestKey,
        account: &AccountId,
        service: &ServiceId,
        tier: &str,
        arrived: Time,
    ) -> Self {
        Self {
            key,
            account: account.clone(),
            service: service.clone(),
            tier: tier.to_owned(),
            arrived,
            dispatched: false,
            last_tokens: None,
        }
    }

    /// Records a dispatch to a target. The queue wait is measured at the first one only.
    pub fn dispatched(&mut self, version: &VersionId, metrics: &Metrics, now: Time) {
        metrics.dispatched(&self.service, version);
        if !self.dispatched {
            metrics.queue_wait(&self.tier, now.since(self.arrived));
        }
        self.dispatched = true;
    }

    /// Records that `count` new tokens arrived together. A count of 0 is ignored.
    pub fn tokens(&mut self, count: u32, metrics: &Metrics, now: Time) {
        if count == 0 {
            return;
        }
        match self.last_tokens {
            None => metrics.first_token(&self.tier, now.since(self.arrived)),
            Some(last) => metrics.between_tokens(&self.tier, now.since(last) / count),
        }
        self.last_tokens = Some(now);
    }

    /// Records and logs the end of the attempt.
    pub fn ended(&self, ending: &Ending, metrics: &Metrics) {
        let code = match ending {
            Ending::Complete => Code::Ok,
            Ending::Problem(problem) => problem.code,
        };
        metrics.refused(code);
        let Self { key, account, .. } = self;
        let (number, reason) = (code.number(), code.slug());
        log::debug!(request:% = key, account:%, code = number; "request ended: {reason}");
    }
}
