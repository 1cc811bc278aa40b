//! The report of a replay: counts, comparison with baselines, expected outcomes and the printed
//! table.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use crate::scenario::{GroundTruth, OutcomePlan};

/// Requests of one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Goodput {
    /// Requests that callers sent, without resends.
    pub offered: u64,
    /// Requests whose whole answer arrived within the tier's time limits.
    pub answered_in_time: u64,
}

impl Goodput {
    /// Returns the share of the offered requests that were answered in time; 1 if none was offered.
    pub fn share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.answered_in_time as f64 / self.offered as f64 }
    }
}

/// Prompt tokens that engines prefilled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PrefillTokens {
    /// All prefilled tokens.
    pub total: u64,
    /// Tokens of runs whose whole answer no caller received within its timeout.
    pub wasted: u64,
}

/// Result of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutReport {
    /// Whether the new version is good, as the scenario defines it.
    pub truth: GroundTruth,
    /// Recorded outcome: `completed`, `rolled-back` or `none`.
    pub outcome: String,
    /// Whether the outcome was recorded by the deadline.
    pub in_time: bool,
    /// Requests that reached the new version.
    pub exposed_requests: u64,
    /// Requests that reached the new version more than 3 s after its rollback was recorded.
    pub requests_after_verdict: u64,
    /// Whether a good version completed by the deadline, or a bad one was rolled back.
    pub ended_well: bool,
}

/// Measures of one replay under one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// Name of the trace.
    pub trace: String,
    /// Seed of the balancer and the stand-ins.
    pub seed: u64,
    /// Goodput by tier.
    pub goodput: BTreeMap<String, Goodput>,
    /// Share of requests answered in time, by tier.
    pub goodput_share: BTreeMap<String, f64>,
    /// Prefilled prompt tokens.
    pub prefill_tokens: PrefillTokens,
    /// Wasted share of the prefilled prompt tokens.
    pub wasted_share: f64,
    /// Requests that ran more than once.
    pub dispatched_twice: u64,
    /// Requests that ran more than once although their route is not idempotent.
    pub unrepeatable_repeated: u64,
    /// Attempts that ended without an answer, a refusal or an error.
    pub lost: u64,
    /// Answers that were marked complete but were not the answer to the request.
    pub wrong_answer: u64,
    /// Requests reported as not run although they ran.
    pub false_not_run: u64,
    /// Attempts of the most urgent tier that were shed while lower-tier work of the same service
    /// was running.
    pub urgent_shed_while_lower_ran: u64,
    /// Runs that started at a target more than 3 s after it asked for no new work.
    pub dispatched_after_leaving: u64,
    /// Orders that unloaded a version in use, or under an old fencing number.
    pub harmful_orders: u64,
    /// Refused or failed attempts, by the name of the result code.
    pub refusals: BTreeMap<String, u64>,
    /// Results of the rollouts, by identifier.
    pub rollouts: BTreeMap<String, RolloutReport>,
    /// Ratio of the requests answered in time to those of the better baseline, by tier; empty
    /// without baselines.
    pub versus_baseline: BTreeMap<String, f64>,
    /// Whether each expected outcome holds, without those that could not be judged.
    pub outcomes: BTreeMap<String, bool>,
    /// Reports of the baselines, by policy.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub baselines: BTreeMap<String, Report>,
}

/// Status of an expected outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeStatus {
    /// The outcome holds.
    Held,
    /// The outcome does not hold.
    NotHeld,
    /// The report has no such measure, such as a comparison without baselines.
    NotJudged,
}

impl Report {
    /// Creates a report with all counts at zero.
    pub fn new(policy: &str, trace: &str, seed: u64) -> Self {
        Self {
            policy: policy.to_owned(),
            trace: trace.to_owned(),
            seed,
            goodput: BTreeMap::new(),
            goodput_share: BTreeMap::new(),
            prefill_tokens: PrefillTokens::default(),
            wasted_share: 0.0,
            dispatched_twice: 0,
            unrepeatable_repeated: 0,
            lost: 0,
            wrong_answer: 0,
            false_not_run: 0,
            urgent_shed_while_lower_ran: 0,
            dispatched_after_leaving: 0,
            harmful_orders: 0,
            refusals: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            versus_baseline: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            baselines: BTreeMap::new(),
        }
    }

    /// Computes shares and the comparison with `baselines`, and judges the expected outcomes.
    pub fn judge(&mut self, baselines: Vec<Report>, plans: &[OutcomePlan]) {
        self.versus_baseline = self.compare(&baselines);
        self.goodput_share =
            self.goodput.iter().map(|(tier, goodput)| (tier.clone(), goodput.share())).collect();
        self.wasted_share = self.prefill_tokens.wasted_share();
        for plan in plans {
            match self.status(plan) {
                OutcomeStatus::Held => self.outcomes.insert(plan.name.clone(), true),
                OutcomeStatus::NotHeld => self.outcomes.insert(plan.name.clone(), false),
                OutcomeStatus::NotJudged => None,
            };
        }
        let by_policy = |report: Report| (report.policy.clone(), report);
        self.baselines = baselines.into_iter().map(by_policy).collect();
    }

    /// Whether all judged outcomes hold.
    pub fn all_held(&self) -> bool {
        self.outcomes.values().all(|held| *held)
    }

    fn compare(&self, baselines: &[Report]) -> BTreeMap<String, f64> {
        let mut ratios = BTreeMap::new();
        for (tier, goodput) in &self.goodput {
            let results = baselines.iter().filter_map(|report| report.goodput.get(tier));
            let Some(best) = results.map(|goodput| goodput.answered_in_time).max() else {
                continue;
            };
            let ratio = goodput.answered_in_time as f64 / best.max(1) as f64;
            ratios.insert(tier.clone(), ratio);
        }
        ratios
    }

    /// Checks the expected outcome `plan` against the report.
    pub fn status(&self, plan: &OutcomePlan) -> OutcomeStatus {
        let Some(value) = self.measure(&plan.measure) else { return OutcomeStatus::NotJudged };
        let number = match &value {
            Value::Bool(flag) => Some(f64::from(u8::from(*flag))),
            other => other.as_f64(),
        };
        let min_ok = plan.at_least.is_none_or(|min| number.is_some_and(|n| n >= min));
        let max_ok = plan.at_most.is_none_or(|max| number.is_some_and(|n| n <= max));
        let text_ok = plan.equals.as_deref().is_none_or(|text| value.as_str() == Some(text));
        if min_ok && max_ok && text_ok { OutcomeStatus::Held } else { OutcomeStatus::NotHeld }
    }

    /// Returns the measure at a path such as `goodput_share.urgent`.
    pub fn measure(&self, path: &str) -> Option<Value> {
        let mut value = serde_json::to_value(self).ok()?;
        for key in path.split('.') {
            value = value.get_mut(key)?.take();
        }
        Some(value)
    }

    /// Returns the report as a text table: one column for each policy, then the expected outcomes.
    pub fn table(&self, plans: &[OutcomePlan]) -> String {
        let reports: Vec<&Report> = std::iter::once(self).chain(self.baselines.values()).collect();
        let mut text = format!("trace {}, seed {}\n\n", self.trace, self.seed);
        write_row(&mut text, "", reports.iter().map(|report| report.policy.clone()));
        for tier in self.goodput.keys() {
            let label = format!("goodput {tier}");
            write_row(&mut text, &label, reports.iter().map(|report| report.goodput_cell(tier)));
        }
        write_row(
            &mut text,
            "prefill tokens",
            reports.iter().map(|r| r.prefill_tokens.total.to_string()),
        );
        write_row(
            &mut text,
            "wasted prefill",
            reports.iter().map(|r| percent(r.prefill_tokens.wasted_share())),
        );
        for (label, count) in COUNTS {
            write_row(&mut text, label, reports.iter().map(|report| count(report).to_string()));
        }
        for id in self.rollouts.keys() {
            let label = format!("rollout {id}");
            write_row(&mut text, &label, reports.iter().map(|report| report.rollout_cell(id)));
            let exposed = |r: &&Report| r.rollouts.get(id).map_or(0, |r| r.exposed_requests);
            write_row(
                &mut text,
                "  exposed requests",
                reports.iter().map(|r| exposed(r).to_string()),
            );
        }
        for code in self.refusal_names(&reports) {
            let count = |r: &&Report| r.refusals.get(&code).copied().unwrap_or(0);
            let label = format!("refused {code}");
            write_row(&mut text, &label, reports.iter().map(|report| count(report).to_string()));
        }
        text.push('\n');
        for plan in plans {
            let value =
                self.measure(&plan.measure).map_or("-".to_owned(), |value| format_value(&value));
            let status = match self.status(plan) {
                OutcomeStatus::Held => "held",
                OutcomeStatus::NotHeld => "NOT HELD",
                OutcomeStatus::NotJudged => "not judged",
            };
            let _ = writeln!(text, "{status:<10}  {} ({} = {value})", plan.name, plan.measure);
        }
        text
    }

    fn goodput_cell(&self, tier: &str) -> String {
        let Some(goodput) = self.goodput.get(tier) else { return "-".to_owned() };
        format!("{}/{} {}", goodput.answered_in_time, goodput.offered, percent(goodput.share()))
    }

    fn rollout_cell(&self, id: &str) -> String {
        let Some(rollout) = self.rollouts.get(id) else { return "-".to_owned() };
        let when = if rollout.in_time { " in time" } else { "" };
        format!("{}{when}", rollout.outcome)
    }

    fn refusal_names(&self, reports: &[&Report]) -> Vec<String> {
        let mut names: Vec<String> =
            reports.iter().flat_map(|report| report.refusals.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names
    }
}

/// Function that reads one count of a report.
type Count = fn(&Report) -> u64;

/// Labels and values of the counts in the table.
const COUNTS: [(&str, Count); 8] = [
    ("dispatched twice", |report| report.dispatched_twice),
    ("  not repeatable", |report| report.unrepeatable_repeated),
    ("lost", |report| report.lost),
    ("wrong answers", |report| report.wrong_answer),
    ("false not-run", |report| report.false_not_run),
    ("urgent shed early", |report| report.urgent_shed_while_lower_ran),
    ("sent to leaving", |report| report.dispatched_after_leaving),
    ("harmful orders", |report| report.harmful_orders),
];

fn write_row(text: &mut String, label: &str, cells: impl Iterator<Item = String>) {
    let _ = write!(text, "{label:<26}");
    for cell in cells {
        let _ = write!(text, "{cell:>22}");
    }
    text.push('\n');
}

fn percent(share: f64) -> String {
    const HUNDRED: f64 = 100.0;
    format!("{:.1}%", share * HUNDRED)
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or(0.0))
        }
        other => other.to_string(),
    }
}
