//! Checks the guarantees of a run by comparing the outcomes of requests with what targets received.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use sesamewind_adapter::names;
use sesamewind_standins::relay::Received;
use sesamewind_standins::relay::configuration::ATTEMPTS;
use sesamewind_standins::relay::settings::{DRAIN, GRACE};

use crate::callers::BODY;
use crate::configuration::{LIMIT_BURST, LIMIT_RATE, TOKENS};
use crate::limits as request_limits;
use crate::record::{Breach, Change, Events, Outcome, RequestKind, Scope, Sent};

/// Window in which usage of an account is counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(8);

/// Tolerance over an account limit: a fraction of the limit, and a number of tokens.
const LIMIT_TOLERANCE: (f64, f64) = (0.1, 1_000.0);

/// Window in which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Retries allowed per request, and the number allowed in addition.
const RETRY_BOUND: (f64, f64) = (0.2, 50.0);

/// Time after the acknowledgement of a configuration within which it must come into force.
pub const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after an instance has served a configuration during which it may still serve older ones.
const REVERT_SLACK: Duration = Duration::from_millis(250);

/// Time after a caller has left during which its request may still reach a target.
const CANCEL_SLACK: Duration = Duration::from_millis(700);

/// Margin over a caller's timeout within which its answer must arrive.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Time after a request was written during which the gateway may close the connection without having
/// read the request, because the request and the close cross in transit.
pub const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Minimum fraction of the requests at the end of a run that must be served.
const SERVED_FRACTION: f64 = 0.95;

/// Window at the end of a run in which requests must be served again.
const FINAL_WINDOW: Duration = Duration::from_secs(2);

/// A request received by a target.
#[derive(Debug)]
pub struct Arrived {
    /// Name of the target.
    pub target: String,
    /// Whether the target is a plain service.
    pub plain: bool,
    /// The request.
    pub received: Received,
}

impl Arrived {
    /// Returns the id of the request.
    pub fn id(&self) -> &str {
        self.received.header(names::REQUEST_ID)
    }
}

/// Observations of a run that the checks use.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// Events of the run.
    pub events: &'a Events,
    /// Requests received by targets, ordered by time.
    pub arrived: &'a [Arrived],
}

/// Returns the breaches of guarantees that hold at all times.
pub fn always(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut breaches = evidence.events.breaches.clone();
    breaches.extend(requests(evidence));
    breaches.extend(arrivals(evidence));
    breaches.extend(limits(evidence));
    breaches.extend(retries(evidence));
    breaches.extend(never_reverts(evidence));
    breaches.extend(request_limits::check(evidence));
    breaches
}

/// Returns the breaches of guarantees that have a time bound and hold for undisturbed instances.
pub fn timed(evidence: &Evidence<'_>, end: Instant) -> Vec<Breach> {
    let mut breaches = in_force(evidence);
    breaches.extend(leaving(evidence));
    breaches.extend(caller_left(evidence));
    breaches.extend(answered(evidence));
    breaches.extend(stops(evidence));
    breaches.extend(served_again(evidence, end));
    breaches
}

/// Returns a breach.
pub fn breach(guarantee: &'static str, seen: String) -> Breach {
    Breach { guarantee, seen }
}

/// Answers are complete, refused requests did not run, refusals with 429 or 503 carry
/// `retry-after`, and no request ran more often than allowed.
fn requests(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for arrived in evidence.arrived.iter().filter(|arrived| arrived.received.ran) {
        *runs.entry(arrived.id()).or_default() += 1;
    }
    let mut breaches = Vec::new();
    for sent in &evidence.events.sent {
        let ran = runs.get(sent.id.as_str()).copied().unwrap_or(0);
        let seen =
            || format!("{} {:?} at {:?}: {:?}", sent.id, sent.kind, sent.instance, sent.outcome);
        match &sent.outcome {
            Outcome::Wrong(_) => breaches.push(breach("complete answer", seen())),
            Outcome::Complete if ran == 0 => breaches.push(breach("complete answer", seen())),
            Outcome::Status(408 | 421 | 429 | 503, _) if ran > 0 => {
                breaches.push(breach("refusal without a run", seen()));
            }
            Outcome::Status(429 | 503, false) => breaches.push(breach("retry-after sent", seen())),
            _ => {}
        }
        let most = if sent.kind.is_once() { 1 } else { ATTEMPTS };
        if ran > most {
            breaches.push(breach("runs once", format!("{ran} runs: {}", seen())));
        }
    }
    breaches
}

/// Targets receive what callers sent, with the right account and without the API key, and only
/// requests that are meant for them.
fn arrivals(evidence: &Evidence<'_>) -> Vec<Breach> {
    let sent: HashMap<&str, &Sent> =
        evidence.events.sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut breaches = Vec::new();
    for arrived in evidence.arrived {
        let received = &arrived.received;
        let Some(sent) = sent.get(arrived.id()) else {
            breaches.push(breach("request forwarded unchanged", format!("unknown {received:?}")));
            continue;
        };
        let account = if sent.limited { "limited" } else { "free" };
        let correct = received.line == format!("POST {}", sent.kind.path())
            && received.body == BODY.as_bytes()
            && received.header(names::ACCOUNT) == account
            && received.header("authorization").is_empty()
            && received.header(names::EXPECT_TARGET) == arrived.target
            && arrived.plain != sent.kind.is_stream();
        if !correct {
            breaches
                .push(breach("request forwarded unchanged", format!("{}: {received:?}", sent.id)));
        }
    }
    breaches
}

/// Usage of the limited account over all instances stays within its limit in every window.
fn limits(evidence: &Evidence<'_>) -> Option<Breach> {
    let cost = f64::from(TOKENS.0 + TOKENS.1);
    let limit = LIMIT_RATE * LIMIT_WINDOW.as_secs_f64() + LIMIT_BURST;
    let bound = limit * (1.0 + LIMIT_TOLERANCE.0) + LIMIT_TOLERANCE.1;
    let begin = evidence.events.sent.first()?.at;
    let mut window: VecDeque<&Received> = VecDeque::new();
    let mut most: Option<(f64, String)> = None;
    for arrived in evidence.arrived {
        let received = &arrived.received;
        if !received.ran || received.header(names::ACCOUNT) != "limited" {
            continue;
        }
        window.push_back(received);
        while window.front().is_some_and(|first| received.at - first.at > LIMIT_WINDOW) {
            window.pop_front();
        }
        let used = window.len() as f64 * cost;
        if used > most.as_ref().map_or(bound, |(most, _)| *most) {
            let (from, to) = (window[0].at - begin, received.at - begin);
            most = Some((used, format!("{used} of {bound} tokens from {from:?} to {to:?}")));
        }
    }
    most.map(|(_, seen)| breach("account limit", seen))
}

/// Retries stay within their share of the requests in every window.
fn retries(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for plain in [false, true] {
        let requests = evidence.events.sent.iter().filter(|sent| sent.kind.is_stream() != plain);
        let mut requests: Vec<Instant> = requests.map(|sent| sent.at).collect();
        requests.sort_unstable();
        let mut attempts: HashMap<&str, u32> = HashMap::new();
        let mut retry_times: VecDeque<Instant> = VecDeque::new();
        let mut worst = 0.0_f64;
        for arrived in evidence.arrived.iter().filter(|arrived| arrived.plain == plain) {
            let count = attempts.entry(arrived.id()).or_default();
            *count += 1;
            if *count == 1 {
                continue;
            }
            let at = arrived.received.at;
            retry_times.push_back(at);
            while retry_times.front().is_some_and(|first| at - *first > RETRY_WINDOW) {
                retry_times.pop_front();
            }
            // The bound uses the largest count of requests in this window, the one half a window
            // earlier, and the one a whole window earlier.
            let counted = |back: Duration| {
                let end = at - back;
                let begin = end - RETRY_WINDOW;
                requests.partition_point(|sent_at| *sent_at <= end)
                    - requests.partition_point(|sent_at| *sent_at < begin)
            };
            let most = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW].map(counted);
            let most = most.into_iter().max().unwrap_or(0);
            let bound = RETRY_BOUND.0 * most as f64 + RETRY_BOUND.1;
            worst = worst.max(retry_times.len() as f64 / bound);
        }
        if worst > 1.0 {
            breaches.push(breach("retry budget", format!("{worst:.2} times the bound")));
        }
    }
    breaches
}

/// An incarnation that has served a configuration does not serve older ones afterwards.
fn never_reverts(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut served: HashMap<(usize, u32), Vec<(Instant, u64)>> = HashMap::new();
    for sent in &evidence.events.sent {
        if let (RequestKind::Marker(version), Outcome::Complete) = (sent.kind, &sent.outcome) {
            served.entry(sent.instance).or_default().push((sent.ended, version));
        }
    }
    let mut breaches = Vec::new();
    for sent in &evidence.events.sent {
        let RequestKind::Marker(version) = sent.kind else { continue };
        let Some(seen) = served.get(&sent.instance) else { continue };
        let before = seen.iter().filter(|(ended, _)| *ended + REVERT_SLACK < sent.at);
        let Some(in_force) = before.map(|(_, version)| *version).max() else { continue };
        let older_served = sent.outcome == Outcome::Complete && version < in_force;
        let newer_gone = matches!(sent.outcome, Outcome::Status(404, _)) && version == in_force;
        let replaced = evidence.events.changes.iter().any(|(at, change)| {
            matches!(change, Change::Configured(newer) if *newer > in_force) && *at <= sent.ended
        });
        if older_served || (newer_gone && !replaced) {
            let seen = format!("{sent:?} after version {in_force}");
            breaches.push(breach("configuration never reverts", seen));
        }
    }
    breaches
}

/// An acknowledged configuration is in force on undisturbed instances within [`APPLY_TIME`].
fn in_force(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let mut breaches = Vec::new();
    for sent in &events.sent {
        let RequestKind::Marker(version) = sent.kind else { continue };
        let configured = events.changes.iter().filter_map(|(at, change)| match change {
            Change::Configured(version) => Some((*at, *version)),
            _ => None,
        });
        let due = configured.clone().filter(|(at, _)| *at + APPLY_TIME < sent.at);
        let Some((at, newest)) = due.max_by_key(|(_, version)| *version) else { continue };
        let scopes = [Scope::Instance(sent.instance.0), Scope::Store];
        if !events.is_undisturbed(&scopes, at, sent.ended) {
            continue;
        }
        let known = configured.filter(|(at, _)| *at <= sent.ended).map(|(_, version)| version);
        let last = known.max().unwrap_or(newest);
        let older_served = version < newest && sent.outcome == Outcome::Complete;
        let missing =
            version == last && matches!(sent.outcome, Outcome::Status(404, _)) && last == newest;
        if older_served || missing {
            breaches.push(breach(
                "configuration in force",
                format!("{sent:?}; version {newest} must be in force"),
            ));
        }
    }
    breaches
}

/// A target gets no new requests later than [`DRAIN`] after its entry was marked as leaving.
fn leaving(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let left: HashMap<&str, Instant> = events
        .changes
        .iter()
        .filter_map(|(at, change)| match change {
            Change::Leaving(target) => Some((target.as_str(), *at)),
            _ => None,
        })
        .collect();
    let sent: HashMap<&str, &Sent> =
        events.sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut breaches = Vec::new();
    for arrived in evidence.arrived.iter().filter(|arrived| arrived.received.ran) {
        let (Some(at), Some(sent)) = (left.get(arrived.target.as_str()), sent.get(arrived.id()))
        else {
            continue;
        };
        let late = arrived.received.at > *at + DRAIN;
        let scopes = [Scope::Instance(sent.instance.0), Scope::Store];
        if late && events.is_undisturbed(&scopes, *at, arrived.received.at) {
            let after = arrived.received.at - *at;
            breaches.push(breach(
                "leaving target",
                format!("{} arrived {after:?} after the target was marked as leaving", sent.id),
            ));
        }
    }
    breaches
}

/// A request reaches no target later than [`CANCEL_SLACK`] after its caller has left.
fn caller_left(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let gone = events.sent.iter().filter(|sent| sent.outcome == Outcome::CallerLeft);
    let gone: HashMap<&str, &Sent> = gone.map(|sent| (sent.id.as_str(), sent)).collect();
    let mut breaches = Vec::new();
    for arrived in evidence.arrived {
        let Some(sent) = gone.get(arrived.id()) else { continue };
        let at = arrived.received.at;
        let scopes = [Scope::Instance(sent.instance.0), Scope::Targets];
        if at > sent.ended + CANCEL_SLACK && events.is_undisturbed(&scopes, sent.at, at) {
            breaches.push(breach(
                "caller left",
                format!("{sent:?} reached a target after its caller had left"),
            ));
        }
    }
    breaches
}

/// Each request gets its final answer within the caller's timeout plus [`ANSWER_SLACK`].
fn answered(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let late = events.sent.iter().filter(|sent| {
        sent.ended > sent.at + sent.timeout + ANSWER_SLACK
            && events.is_undisturbed(&[Scope::Instance(sent.instance.0)], sent.at, sent.ended)
    });
    late.map(|sent| breach("answer in time", format!("{sent:?}"))).collect()
}

/// A planned stop cuts off no request that the instance has read and that has time left. A request
/// that failed within [`CROSSING_TIME`] and reached no target counts as not read.
fn stops(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let arrived: HashSet<&str> = evidence.arrived.iter().map(Arrived::id).collect();
    let mut breaches = Vec::new();
    for sent in &events.sent {
        let was_cut = matches!(sent.outcome, Outcome::Incomplete | Outcome::NoAnswer(_));
        let stop = events.changes.iter().find(|(at, change)| {
            *change == Change::Stopping(sent.instance.0)
                && *at <= sent.ended
                && sent.ended <= *at + GRACE + Duration::from_secs(1)
        });
        let scopes = [Scope::Instance(sent.instance.0), Scope::Targets];
        let was_read =
            sent.ended > sent.written + CROSSING_TIME || arrived.contains(sent.id.as_str());
        if was_cut
            && was_read
            && stop.is_some()
            && sent.ended < sent.at + sent.timeout
            && events.is_undisturbed(&scopes, sent.at, sent.ended)
        {
            breaches.push(breach("planned stop", format!("{sent:?}")));
        }
    }
    breaches
}

/// At the end of a run, after the last fault, at least [`SERVED_FRACTION`] of the requests are
/// served.
fn served_again(evidence: &Evidence<'_>, end: Instant) -> Option<Breach> {
    let last = evidence.events.sent.iter().filter(|sent| {
        sent.at + FINAL_WINDOW > end
            && !sent.limited
            && !sent.kind.is_optional()
            && !matches!(sent.outcome, Outcome::CallerLeft | Outcome::Closed)
    });
    let got: Vec<&Outcome> = last.map(|sent| &sent.outcome).collect();
    let served = got.iter().filter(|got| ***got == Outcome::Complete).count();
    let enough = !got.is_empty() && served as f64 >= SERVED_FRACTION * got.len() as f64;
    (!enough).then(|| breach("served again", format!("{served} of {}", got.len())))
}
