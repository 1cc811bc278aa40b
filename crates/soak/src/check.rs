//! Compares what callers got with what reached the targets.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use sesamewind_adapter::names;
use sesamewind_standins::relay::Received;
use sesamewind_standins::relay::configuration::ATTEMPTS;
use sesamewind_standins::relay::settings::{DRAIN, GRACE};

use crate::callers::BODY;
use crate::configuration::{LIMIT_BURST, LIMIT_RATE, TOKENS};
use crate::record::{Ask, Breach, Change, Events, Got, Scope, Sent};

/// Span over which account limits are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(8);

/// Tolerance over an account limit: a part of it, and tokens.
const LIMIT_TOLERANCE: (f64, f64) = (0.1, 1_000.0);

/// Span over which further attempts are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Further attempts for each request, and beside that.
const RETRY_BOUND: (f64, f64) = (0.2, 50.0);

/// Time within which an acknowledged configuration is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after which no instance goes back behind a configuration that took effect.
const BACK_SLACK: Duration = Duration::from_millis(250);

/// Time after its caller has left in which a request may still reach a target.
const LEFT_SLACK: Duration = Duration::from_millis(700);

/// Time beyond a caller's patience by which its answer has to be there.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Time after its sending within which a request may cross the close of its connection.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Part of the requests at the end of a run that have to be served.
const SERVED_PART: f64 = 0.95;

/// Span at the end of a run in which everything has to be served.
const LAST_SPAN: Duration = Duration::from_secs(2);

/// A request that reached a target.
#[derive(Debug)]
pub struct Arrived {
    /// Name of the target.
    pub target: String,
    /// Whether the target is a plain one.
    pub plain: bool,
    /// The request.
    pub received: Received,
}

impl Arrived {
    fn id(&self) -> &str {
        self.received.header(names::REQUEST_ID)
    }
}

/// What a run's end is judged by.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// Everything that happened.
    pub events: &'a Events,
    /// Requests that reached targets, by time.
    pub arrived: &'a [Arrived],
}

/// Breaches of the promises that hold at every moment.
pub fn always(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut breaches = evidence.events.breaches.clone();
    breaches.extend(requests(evidence));
    breaches.extend(arrivals(evidence));
    breaches.extend(limits(evidence));
    breaches.extend(retries(evidence));
    breaches.extend(no_way_back(evidence));
    breaches
}

/// Breaches of the promises that are bounded in time and hold for instances left alone.
pub fn timed(evidence: &Evidence<'_>, end: Instant) -> Vec<Breach> {
    let mut breaches = in_force(evidence);
    breaches.extend(leaving(evidence));
    breaches.extend(left(evidence));
    breaches.extend(answered(evidence));
    breaches.extend(stops(evidence));
    breaches.extend(served_again(evidence, end));
    breaches
}

fn breach(promise: &'static str, seen: String) -> Breach {
    Breach { promise, seen }
}

/// Each answer is whole, each refusal true, and what may run once runs once.
fn requests(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for arrived in evidence.arrived.iter().filter(|arrived| arrived.received.ran) {
        *runs.entry(arrived.id()).or_default() += 1;
    }
    let mut breaches = Vec::new();
    for sent in &evidence.events.sent {
        let ran = runs.get(sent.id.as_str()).copied().unwrap_or(0);
        let seen = || format!("{} {:?} at {:?}: {:?}", sent.id, sent.ask, sent.instance, sent.got);
        match &sent.got {
            Got::Wrong(_) => breaches.push(breach("whole answer", seen())),
            Got::Whole if ran == 0 => breaches.push(breach("whole answer", seen())),
            Got::Status(408 | 421 | 429 | 503, _) if ran > 0 => {
                breaches.push(breach("true refusal", seen()));
            }
            Got::Status(429 | 503, false) => breaches.push(breach("time to come back", seen())),
            _ => {}
        }
        let most = if sent.ask.is_once() { 1 } else { ATTEMPTS };
        if ran > most {
            breaches.push(breach("runs once", format!("{ran} runs: {}", seen())));
        }
    }
    breaches
}

/// Targets get what callers sent, with the right account and no key.
fn arrivals(evidence: &Evidence<'_>) -> Vec<Breach> {
    let sent: HashMap<&str, &Sent> =
        evidence.events.sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut breaches = Vec::new();
    for arrived in evidence.arrived {
        let received = &arrived.received;
        let Some(sent) = sent.get(arrived.id()) else {
            breaches.push(breach("only what was asked", format!("unknown {received:?}")));
            continue;
        };
        let account = if sent.limited { "limited" } else { "free" };
        let right = received.line == format!("POST {}", sent.ask.path())
            && received.body == BODY.as_bytes()
            && received.header(names::ACCOUNT) == account
            && received.header("authorization").is_empty()
            && received.header(names::EXPECT_TARGET) == arrived.target
            && arrived.plain != sent.ask.is_stream();
        if !right {
            breaches.push(breach("only what was asked", format!("{}: {received:?}", sent.id)));
        }
    }
    breaches
}

/// The account's limit holds over all instances in every window.
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

/// Further attempts stay within their share of the requests in every window.
fn retries(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for plain in [false, true] {
        let requests = evidence.events.sent.iter().filter(|sent| sent.ask.is_stream() != plain);
        let mut requests: Vec<Instant> = requests.map(|sent| sent.at).collect();
        requests.sort_unstable();
        let mut known: HashMap<&str, u32> = HashMap::new();
        let mut further: VecDeque<Instant> = VecDeque::new();
        let mut worst = 0.0_f64;
        for arrived in evidence.arrived.iter().filter(|arrived| arrived.plain == plain) {
            let count = known.entry(arrived.id()).or_default();
            *count += 1;
            if *count == 1 {
                continue;
            }
            let at = arrived.received.at;
            further.push_back(at);
            while further.front().is_some_and(|first| at - *first > RETRY_WINDOW) {
                further.pop_front();
            }
            // Requests of the window, of the one before it, or of the one half a window before it.
            let counted = |back: Duration| {
                let end = at - back;
                let begin = end - RETRY_WINDOW;
                requests.partition_point(|one| *one <= end)
                    - requests.partition_point(|one| *one < begin)
            };
            let most = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW].map(counted);
            let most = most.into_iter().max().unwrap_or(0);
            let bound = RETRY_BOUND.0 * most as f64 + RETRY_BOUND.1;
            worst = worst.max(further.len() as f64 / bound);
        }
        if worst > 1.0 {
            breaches.push(breach("retry budget", format!("{worst:.2} of the bound")));
        }
    }
    breaches
}

/// A life of an instance that served a configuration never goes back behind it.
fn no_way_back(evidence: &Evidence<'_>) -> Vec<Breach> {
    let mut newest: HashMap<(usize, u32), Vec<(Instant, u64)>> = HashMap::new();
    for sent in &evidence.events.sent {
        if let (Ask::Marker(version), Got::Whole) = (sent.ask, &sent.got) {
            newest.entry(sent.instance).or_default().push((sent.ended, version));
        }
    }
    let mut breaches = Vec::new();
    for sent in &evidence.events.sent {
        let Ask::Marker(version) = sent.ask else { continue };
        let Some(seen) = newest.get(&sent.instance) else { continue };
        let before = seen.iter().filter(|(ended, _)| *ended + BACK_SLACK < sent.at);
        let Some(in_force) = before.map(|(_, version)| *version).max() else { continue };
        let older_served = sent.got == Got::Whole && version < in_force;
        let newer_gone = matches!(sent.got, Got::Status(404, _)) && version == in_force;
        let replaced = evidence.events.changes.iter().any(|(at, change)| {
            matches!(change, Change::Configured(newer) if *newer > in_force) && *at <= sent.ended
        });
        if older_served || (newer_gone && !replaced) {
            let seen = format!("{sent:?} after version {in_force}");
            breaches.push(breach("no way back", seen));
        }
    }
    breaches
}

/// An acknowledged configuration is in force within its bound.
fn in_force(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let mut breaches = Vec::new();
    for sent in &events.sent {
        let Ask::Marker(version) = sent.ask else { continue };
        let configured = events.changes.iter().filter_map(|(at, change)| match change {
            Change::Configured(version) => Some((*at, *version)),
            _ => None,
        });
        let bound = configured.clone().filter(|(at, _)| *at + APPLY_TIME < sent.at);
        let Some((at, newest)) = bound.max_by_key(|(_, version)| *version) else { continue };
        let scopes = [Scope::Instance(sent.instance.0), Scope::Store];
        if !events.is_calm(&scopes, at, sent.ended) {
            continue;
        }
        let known = configured.filter(|(at, _)| *at <= sent.ended).map(|(_, version)| version);
        let last = known.max().unwrap_or(newest);
        let gone = version < newest && sent.got == Got::Whole;
        let missing = version == last && matches!(sent.got, Got::Status(404, _)) && last == newest;
        if gone || missing {
            breaches.push(breach("configuration in force", format!("{sent:?}, {newest} is")));
        }
    }
    breaches
}

/// A leaving target gets no new work after its bound.
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
        if late && events.is_calm(&scopes, *at, arrived.received.at) {
            let after = arrived.received.at - *at;
            breaches.push(breach("leaving target", format!("{} {after:?} later", sent.id)));
        }
    }
    breaches
}

/// A request whose caller has left reaches no target.
fn left(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let gone = events.sent.iter().filter(|sent| sent.got == Got::Left);
    let gone: HashMap<&str, &Sent> = gone.map(|sent| (sent.id.as_str(), sent)).collect();
    let mut breaches = Vec::new();
    for arrived in evidence.arrived {
        let Some(sent) = gone.get(arrived.id()) else { continue };
        let at = arrived.received.at;
        let scopes = [Scope::Instance(sent.instance.0), Scope::Targets];
        if at > sent.ended + LEFT_SLACK && events.is_calm(&scopes, sent.at, at) {
            breaches.push(breach("caller left", format!("{sent:?}, sent on later")));
        }
    }
    breaches
}

/// Each request gets its final answer by the time that its caller waits.
fn answered(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let late = events.sent.iter().filter(|sent| {
        sent.ended > sent.at + sent.patience + ANSWER_SLACK
            && events.is_calm(&[Scope::Instance(sent.instance.0)], sent.at, sent.ended)
    });
    late.map(|sent| breach("answer in time", format!("{sent:?}"))).collect()
}

/// A planned stop cuts no request that was read. One that crosses the close of its connection and
/// reached no target was not read.
fn stops(evidence: &Evidence<'_>) -> Vec<Breach> {
    let events = evidence.events;
    let arrived: HashSet<&str> = evidence.arrived.iter().map(Arrived::id).collect();
    let mut breaches = Vec::new();
    for sent in &events.sent {
        let cut = matches!(sent.got, Got::Incomplete | Got::Nothing(_));
        let stop = events.changes.iter().find(|(at, change)| {
            *change == Change::Stopping(sent.instance.0)
                && *at <= sent.ended
                && sent.ended <= *at + GRACE + Duration::from_secs(1)
        });
        let scopes = [Scope::Instance(sent.instance.0), Scope::Targets];
        let read = sent.ended > sent.at + CROSSING_TIME || arrived.contains(sent.id.as_str());
        if cut && read && stop.is_some() && events.is_calm(&scopes, sent.at, sent.ended) {
            breaches.push(breach("planned stop", format!("{sent:?}")));
        }
    }
    breaches
}

/// After the last fault everything is served again.
fn served_again(evidence: &Evidence<'_>, end: Instant) -> Option<Breach> {
    let last = evidence.events.sent.iter().filter(|sent| {
        sent.at + LAST_SPAN > end
            && !sent.limited
            && !matches!(sent.ask, Ask::Marker(_))
            && sent.got != Got::Left
    });
    let got: Vec<&Got> = last.map(|sent| &sent.got).collect();
    let served = got.iter().filter(|got| ***got == Got::Whole).count();
    let enough = !got.is_empty() && served as f64 >= SERVED_PART * got.len() as f64;
    (!enough).then(|| breach("served again", format!("{served} of {}", got.len())))
}
