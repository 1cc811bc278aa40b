//! Joins the stand-ins' logs with the callers' answers and computes the counts of the report.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use sesamewind_protocol::{Code, RunState, WallTime};
use sesamewind_standins::DispatchEnd;

use crate::client::request_key;
use crate::received::{Answer, Received, Refusal};
use crate::replay::ReplayOutput;
use crate::report::{Goodput, PrefillTokens, Report, RolloutReport};
use crate::scenario::{GroundTruth, RolloutPlan, Scenario};
use crate::trace::Entry;

/// Time after which a leaving target or a rolled-back version must not get new requests.
const NEW_WORK_GRACE: Duration = Duration::from_secs(3);

/// One run of a request at a stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Identifier of the request.
    pub request: String,
    /// Name of the target.
    pub target: String,
    /// Name of the service.
    pub service: String,
    /// Version that served the run.
    pub version: String,
    /// When the run started.
    pub at: WallTime,
    /// When the run ended; `None` if it did not, or if the target is a plain service.
    pub ended: Option<WallTime>,
    /// Whether the whole answer was generated.
    pub complete: bool,
    /// Prompt tokens that were prefilled for the run.
    pub prefill_tokens: u64,
    /// Whether the run started more than 3 s after the target asked for no new work.
    pub after_leaving: bool,
}

/// The outcome of a rollout, from the first write that recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// Identifier of the rollout.
    pub rollout: String,
    /// When the outcome was first written.
    pub at: WallTime,
    /// `completed` or `rolled-back`.
    pub outcome: String,
}

/// Everything that the report is computed from.
#[derive(Debug)]
pub struct Observations<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The trace.
    pub entries: &'a [Entry],
    /// When the replay started.
    pub start: WallTime,
    /// What callers received, by attempt.
    pub received: &'a [Received],
    /// Runs at the targets.
    pub dispatches: Vec<Dispatch>,
    /// Rollout outcomes in the platform's table.
    pub recorded: Vec<RecordedOutcome>,
    /// Orders that unloaded a version in use, or under an old fencing number.
    pub harmful_orders: u64,
}

impl<'a> Observations<'a> {
    /// Collects the observations of a replay from its output.
    pub fn collect(scenario: &'a Scenario, entries: &'a [Entry], output: &'a ReplayOutput) -> Self {
        let mut dispatches = Vec::new();
        let mut harmful_orders = 0;
        for target in &scenario.targets {
            if let Some(engine) = output.testbed.engines.get(&target.name) {
                let log = engine.log();
                harmful_orders += log.harmful_orders() as u64;
                let new_work_limit = log.left.map(|left| left + NEW_WORK_GRACE);
                dispatches.extend(log.dispatches.into_iter().map(|entry| Dispatch {
                    request: entry.request,
                    target: target.name.clone(),
                    service: target.service.clone(),
                    version: entry.version,
                    at: entry.at,
                    ended: entry.ended,
                    complete: entry.end == DispatchEnd::Complete,
                    prefill_tokens: u64::from(entry.prefill_spent),
                    after_leaving: entry.leaving
                        && new_work_limit.is_some_and(|limit| entry.at > limit),
                }));
            }
            if let Some(service) = output.testbed.services.get(&target.name) {
                dispatches.extend(service.log().runs.into_iter().map(|run| Dispatch {
                    request: run.request,
                    target: target.name.clone(),
                    service: target.service.clone(),
                    version: run.version,
                    at: run.at,
                    ended: None,
                    complete: true,
                    prefill_tokens: 0,
                    after_leaving: false,
                }));
            }
        }
        let recorded = recorded_outcomes(output);
        let (start, received) = (output.start, output.received.as_slice());
        Self { scenario, entries, start, received, dispatches, recorded, harmful_orders }
    }

    /// Returns a report with the counts; [`Report::judge`] adds shares and outcomes.
    pub fn report(&self, policy: &str, trace: &str, seed: u64) -> Report {
        let requests = self.requests();
        let lower_tier = self.lower_tier_requests();
        let mut report = Report::new(policy, trace, seed);
        for tier in &self.scenario.tiers {
            report.goodput.insert(tier.name.clone(), Goodput::default());
        }
        for request in &requests {
            self.count_request(request, &lower_tier, &mut report);
        }
        for received in self.received {
            if let Answer::Refused(refusal) = &received.answer {
                *report.refusals.entry(refusal_name(refusal)).or_insert(0) += 1;
            }
        }
        report.dispatched_after_leaving =
            self.dispatches.iter().filter(|dispatch| dispatch.after_leaving).count() as u64;
        report.harmful_orders = self.harmful_orders;
        for rollout in &self.scenario.rollouts {
            report.rollouts.insert(rollout.id.clone(), self.rollout_report(rollout));
        }
        report
    }

    fn requests(&self) -> Vec<Request<'_>> {
        let mut requests: Vec<Request<'_>> = Vec::new();
        let mut index: HashMap<String, usize> = HashMap::new();
        for received in self.received {
            let entry = &self.entries[received.entry];
            let id = request_key(entry).to_string();
            let at = *index.entry(id).or_insert_with(|| {
                requests.push(Request { entry, attempts: Vec::new(), dispatches: Vec::new() });
                requests.len() - 1
            });
            requests[at].attempts.push(received);
        }
        for dispatch in &self.dispatches {
            if let Some(at) = index.get(&dispatch.request) {
                requests[*at].dispatches.push(dispatch);
            }
        }
        requests
    }

    fn count_request(
        &self,
        request: &Request<'_>,
        lower_tier: &HashSet<String>,
        report: &mut Report,
    ) {
        let Some(tier) = self.scenario.tier(&request.entry.tier) else { return };
        let first_token = Duration::from_millis(tier.first_token_ms);
        let total = Duration::from_millis(tier.total_ms);
        let goodput = report.goodput.entry(tier.name.clone()).or_default();
        goodput.offered += 1;
        goodput.answered_in_time += u64::from(request.is_in_time(first_token, total));
        let prefill_tokens: u64 =
            request.dispatches.iter().map(|dispatch| dispatch.prefill_tokens).sum();
        report.prefill_tokens.total += prefill_tokens;
        report.prefill_tokens.wasted += prefill_tokens - request.useful_prefill_tokens();
        report.dispatched_twice += u64::from(request.dispatches.len() > 1);
        let is_repeatable = self.is_repeatable(request.entry);
        report.unrepeatable_repeated += u64::from(request.dispatches.len() > 1 && !is_repeatable);
        report.lost += request.attempts.iter().filter(|a| a.answer == Answer::Lost).count() as u64;
        report.wrong_answer +=
            request.attempts.iter().filter(|a| a.answer == Answer::Wrong).count() as u64;
        report.false_not_run += u64::from(request.has_false_not_run());
        if tier.rank == 0 {
            let shed = request
                .attempts
                .iter()
                .filter(|a| self.is_shed_early(request.entry, a, lower_tier));
            report.urgent_shed_while_lower_ran += shed.count() as u64;
        }
    }

    /// Whether the caller may repeat the call, by the longest matching route of the service. Model
    /// routes are expected to be marked as not idempotent.
    fn is_repeatable(&self, entry: &Entry) -> bool {
        let service = self.scenario.service(&entry.service);
        let routes = service.into_iter().flat_map(|service| &service.routes);
        let best_match = routes
            .filter(|route| entry.route.starts_with(&route.route))
            .max_by_key(|route| route.route.len());
        best_match.is_some_and(|route| route.idempotent)
    }

    /// Whether an attempt was shed while lower-tier work of the same service was still running.
    fn is_shed_early(
        &self,
        entry: &Entry,
        attempt: &Received,
        lower_tier: &HashSet<String>,
    ) -> bool {
        let Answer::Refused(refusal) = &attempt.answer else { return false };
        if !is_shed(refusal) {
            return false;
        }
        let refused_at = WallTime(
            attempt.ended.0.saturating_sub(self.scenario.client_delay().as_millis() as u64),
        );
        self.dispatches.iter().any(|dispatch| {
            let was_running =
                dispatch.at < refused_at && dispatch.ended.is_some_and(|ended| ended > refused_at);
            was_running
                && dispatch.service == entry.service
                && lower_tier.contains(&dispatch.request)
        })
    }

    /// Identifiers of the requests below the most urgent tier.
    fn lower_tier_requests(&self) -> HashSet<String> {
        let is_lower =
            |entry: &&Entry| self.scenario.tier(&entry.tier).is_some_and(|tier| tier.rank > 0);
        let lower_tier = self.entries.iter().filter(is_lower);
        lower_tier.map(|entry| request_key(entry).to_string()).collect()
    }

    fn rollout_report(&self, rollout: &RolloutPlan) -> RolloutReport {
        let deadline = self.start + Duration::from_secs_f64(rollout.deadline_s);
        let recorded = self.recorded.iter().find(|recorded| recorded.rollout == rollout.id);
        let is_new_version =
            |d: &&Dispatch| d.service == rollout.service && d.version == rollout.to;
        let exposed = self.dispatches.iter().filter(is_new_version);
        let rolled_back = recorded.filter(|recorded| recorded.outcome == "rolled-back");
        let after = exposed.clone().filter(|dispatch| {
            rolled_back.is_some_and(|recorded| dispatch.at > recorded.at + NEW_WORK_GRACE)
        });
        RolloutReport {
            truth: rollout.truth,
            outcome: recorded.map_or("none", |recorded| recorded.outcome.as_str()).to_owned(),
            in_time: recorded.is_some_and(|recorded| recorded.at <= deadline),
            exposed_requests: exposed.clone().count() as u64,
            requests_after_verdict: after.count() as u64,
            ended_well: recorded.is_some_and(|recorded| match rollout.truth {
                GroundTruth::Good => recorded.outcome == "completed" && recorded.at <= deadline,
                GroundTruth::Bad => recorded.outcome == "rolled-back",
            }),
        }
    }
}

fn recorded_outcomes(output: &ReplayOutput) -> Vec<RecordedOutcome> {
    let mut found: BTreeMap<String, RecordedOutcome> = BTreeMap::new();
    for write in output.testbed.platform.writes() {
        let Some(rollout) = write.key.strip_prefix("rollout.") else { continue };
        let value = &write.row.value["outcome"];
        let first_key = value.as_object().and_then(|object| object.keys().next());
        let Some(kind) = first_key.map(String::as_str).or(value.as_str()) else { continue };
        found.entry(rollout.to_owned()).or_insert_with(|| RecordedOutcome {
            rollout: rollout.to_owned(),
            at: write.at,
            outcome: kind.to_owned(),
        });
    }
    found.into_values().collect()
}

fn is_shed(refusal: &Refusal) -> bool {
    const SHED: [Code; 5] = [
        Code::DeadlineUnreachable,
        Code::DeadlinePassed,
        Code::QueueFull,
        Code::TierShed,
        Code::Preempted,
    ];
    SHED.iter().any(|code| code.number() == refusal.code)
}

fn refusal_name(refusal: &Refusal) -> String {
    let code = Code::try_from(refusal.code);
    code.map_or_else(|_| format!("status-{}", refusal.status), |code| code.slug().to_owned())
}

/// One request with all its attempts and runs.
#[derive(Debug)]
struct Request<'a> {
    entry: &'a Entry,
    attempts: Vec<&'a Received>,
    dispatches: Vec<&'a Dispatch>,
}

impl Request<'_> {
    /// Whether any attempt got the whole answer in time, measured from the first attempt.
    fn is_in_time(&self, first_token: Duration, total: Duration) -> bool {
        let Some(first) = self.attempts.iter().map(|attempt| attempt.sent).min() else {
            return false;
        };
        self.attempts.iter().any(|attempt| {
            let delay = attempt.sent.since(first);
            let token_in_time = attempt.first_token.is_none_or(|time| delay + time <= first_token);
            attempt.answer == Answer::Whole && token_in_time && delay + attempt.total <= total
        })
    }

    /// Prompt tokens of the first complete run, if the caller received the whole answer within its
    /// timeout; otherwise zero.
    fn useful_prefill_tokens(&self) -> u64 {
        let timeout = Duration::from_millis(self.entry.timeout_ms);
        let within_timeout = |a: &&&Received| a.answer == Answer::Whole && a.total <= timeout;
        if self.attempts.iter().find(within_timeout).is_none() {
            return 0;
        }
        let useful = self.dispatches.iter().find(|dispatch| dispatch.complete);
        useful.map_or(0, |dispatch| dispatch.prefill_tokens)
    }

    /// Whether a refusal reported the request as not run although it had run before, or although
    /// it ran afterwards without another attempt.
    fn has_false_not_run(&self) -> bool {
        let denials = self.attempts.iter().filter(|attempt| reports_not_run(&attempt.answer));
        denials
            .into_iter()
            .any(|a| self.dispatches.iter().any(|dispatch| self.contradicts(a, dispatch)))
    }

    /// Whether `dispatch` contradicts the report that `attempt` was not run.
    fn contradicts(&self, attempt: &Received, dispatch: &Dispatch) -> bool {
        let is_between =
            |other: &&Received| other.sent >= attempt.sent && other.sent <= dispatch.at;
        let others = self.attempts.iter().filter(|other| other.entry != attempt.entry);
        dispatch.at <= attempt.ended || !others.copied().any(|other| is_between(&other))
    }
}

fn reports_not_run(answer: &Answer) -> bool {
    matches!(answer, Answer::Refused(refusal) if refusal.run == RunState::NotRun)
}

/// The share is computed here, next to the code that counts the tokens, so that they stay
/// consistent.
impl PrefillTokens {
    /// Share of the prompt tokens that was wasted.
    pub fn wasted_share(&self) -> f64 {
        if self.total == 0 { 0.0 } else { self.wasted as f64 / self.total as f64 }
    }
}
