//! Whether this instance reaches targets.
//!
//! An instance may be partitioned from all targets while callers and peers still reach it. Its own
//! failed attempts raise a doubt, probes over new connections confirm or end it, and a peer that has
//! answers of targets meanwhile tells a partition from targets that are down. `docs/design/reach.md`
//! describes the rules.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_protocol::relay::{ReachReport, ReachState, RelayUpdate};
use sesamewind_protocol::{InstanceId, Time, ZoneId};

use crate::event::{AttemptOutcome, PassOutcome, Probe, ProbeResult};
use crate::targets::{Index, Targets};

/// Number of different targets at which attempts must fail to raise a doubt, and smallest number of
/// failed probes that confirm it.
const MIN_TARGETS: usize = 2;

/// Number of probes that must fail to confirm a doubt, if there are so many targets.
const CONFIRMING_PROBES: usize = 12;

/// Number of probes that are sent first. Most doubts end with them.
const FIRST_PROBES: usize = 4;

/// Time for which a failed connection counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);

/// Time after a doubt has ended in which attempts that wait raise none.
const SILENCE_PAUSE: Duration = Duration::from_secs(2);

/// Shortest time without an answer after which a probe of a doubt has failed, and attempts that wait
/// raise a doubt.
const MIN_PATIENCE: Duration = Duration::from_millis(400);

/// Number of the latest answered probes whose times count.
const PROBE_TIMES: usize = 8;

/// Interval of the probes while the doubt can't be confirmed.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the probes while this instance is cut off.
const RETURN_INTERVAL: Duration = Duration::from_millis(200);

/// Number of answered probes in a row that end a cut.
const RETURN_PROBES: u32 = 3;

/// Time for which a peer's warning of a failing target excludes it from the probes of a doubt.
const WARNING_TIME: Duration = Duration::from_millis(700);

/// Interval of the probes on behalf of peers in doubt, and after a single failed connection.
const WITNESS_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time from a peer's answer of a target to the probes of a doubt that it is evidence for.
const WITNESS_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a peer's report holds. It exceeds the interval between exchanges in deployments with
/// hundreds of instances.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Maximum number of this instance's requests at one peer.
const MAX_AT_PEER: u32 = 32;

/// Number of passed requests up to which a peer of the same zone is preferred to those of other zones.
const FREE_PASSED: u32 = 8;

/// How long a peer that could not be reached or broke off is avoided, and one that declined.
const AVOID_BROKEN: Duration = Duration::from_secs(2);
const AVOID_DECLINED: Duration = Duration::from_millis(500);

/// A change of this instance's reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachChange {
    /// New state.
    pub state: ReachState,
    /// Time spent in the state before.
    pub after: Duration,
    /// Peers that reach targets.
    pub peers: usize,
}

/// Attempts at targets give no reason for doubt.
#[derive(Debug, Clone)]
struct Reaching {
    since: Time,
}

/// Attempts fail, and probes find out whether all targets are unreachable.
#[derive(Debug, Clone)]
struct InDoubt {
    since: Time,
    /// Targets whose probes failed.
    failed: Vec<Index>,
    /// Targets to probe if all probes before them fail.
    next: Vec<Index>,
    /// Number of failed probes that confirm the doubt; none without enough targets.
    needed: Option<usize>,
    /// When the last round of probes began, and when its last probes were sent.
    round: Time,
    sent: Time,
    /// Time without an answer after which a probe of this round has failed.
    patience: Duration,
    /// Whether peers had answers of targets just before.
    witnessed: bool,
    next_probe: Time,
}

/// No target is reachable, although peers reach some.
#[derive(Debug, Clone)]
struct CutOff {
    since: Time,
    /// Answered probes in a row.
    answered: u32,
    /// When the first of them was sent.
    first: Time,
    next_probe: Time,
}

#[derive(Debug, Clone)]
enum Condition {
    Reaching(Reaching),
    InDoubt(InDoubt),
    CutOff(CutOff),
}

impl Reaching {
    fn doubt(self, now: Time) -> InDoubt {
        InDoubt {
            since: now,
            failed: Vec::new(),
            next: Vec::new(),
            needed: None,
            round: now,
            sent: now,
            patience: MIN_PATIENCE,
            witnessed: false,
            next_probe: now,
        }
    }
}

impl InDoubt {
    fn is_confirmed(&self) -> bool {
        self.witnessed && self.needed.is_some_and(|needed| self.failed.len() >= needed)
    }

    fn cut_off(self, now: Time) -> CutOff {
        CutOff { since: now, answered: 0, first: now, next_probe: now }
    }

    fn end(self, now: Time) -> Reaching {
        Reaching { since: now }
    }
}

impl CutOff {
    fn end(self, now: Time) -> Reaching {
        Reaching { since: now }
    }
}

/// What a peer has reported, and this instance's requests there.
#[derive(Debug, Clone)]
struct PeerReach {
    zone: ZoneId,
    address: SocketAddr,
    state: ReachState,
    /// When a target last answered the peer, by this instance's clock.
    answered: Time,
    /// When a probe of the peer was last answered.
    probed: Time,
    /// Longest time that the peer's latest answered probes took.
    probe_time: Duration,
    /// When the peer last reported a doubt of its own.
    doubted: Time,
    own: u32,
    passed: u32,
    heard: Time,
    /// Requests of this instance at the peer.
    in_flight: u32,
    avoid_until: Time,
}

impl PeerReach {
    fn is_reaching(&self, now: Time) -> bool {
        self.state == ReachState::Reaching && now.since(self.heard) < REPORT_TIME
    }

    /// Returns whether the peer is not known to be cut off, as far as it has told lately.
    fn may_reach(&self, now: Time) -> bool {
        self.state != ReachState::CutOff && now.since(self.heard) < REPORT_TIME
    }

    /// Returns whether the peer has more passed requests than its own callers should share it with.
    fn is_crowded(&self) -> bool {
        self.passed.max(self.in_flight) > self.own.max(FREE_PASSED)
    }

    fn load(&self) -> u32 {
        self.own + self.passed.max(self.in_flight)
    }
}

/// Attempts that have failed, and when a target last answered.
#[derive(Debug, Clone, Default)]
struct Evidence {
    answered: Option<Time>,
    /// When a probe was last answered.
    probed: Option<Time>,
    /// Times that the latest answered probes took.
    probe_times: VecDeque<Duration>,
    /// Targets to which no connection could be made, and when.
    unconnected: HashMap<Index, Time>,
    /// Targets at which attempts broke or fell silent since the last answer.
    broken: Vec<Index>,
}

impl Evidence {
    fn since_answer(&self, now: Time) -> Option<Duration> {
        self.answered.map(|answered| now.since(answered))
    }

    fn record_answer(&mut self, now: Time) {
        self.answered = Some(now);
        self.broken.clear();
    }

    fn record_answered_probe(&mut self, took: Duration, now: Time) {
        self.record_answer(now);
        self.probed = Some(now);
        self.probe_times.truncate(PROBE_TIMES - 1);
        self.probe_times.push_front(took);
    }

    fn raises_doubt(&mut self, now: Time) -> bool {
        self.unconnected.retain(|_, at| now.since(*at) < FAILURE_WINDOW);
        self.unconnected.len() >= MIN_TARGETS || self.broken.len() >= MIN_TARGETS
    }

    fn clear_failures(&mut self) {
        self.unconnected.clear();
        self.broken.clear();
    }
}

/// Reach of this instance, and of its peers.
#[derive(Debug, Clone)]
pub(crate) struct Reach {
    /// Generator of its own, so that probes don't change other random choices.
    rng: ChaCha8Rng,
    condition: Condition,
    evidence: Evidence,
    peers: HashMap<InstanceId, PeerReach>,
    /// Targets that peers which reach targets have reported as failing, and when.
    warnings: HashMap<Index, Time>,
    /// Probes to send.
    probes: Vec<Index>,
    last_witness: Time,
    changes: Vec<ReachChange>,
    /// Open requests of own callers, and of peers.
    pub(crate) open: (u32, u32),
}

impl Reach {
    /// Creates the state of an instance that has reached no target yet; `seed` initializes its random
    /// choices.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            condition: Condition::Reaching(Reaching { since: Time::ZERO }),
            evidence: Evidence::default(),
            peers: HashMap::new(),
            warnings: HashMap::new(),
            probes: Vec::new(),
            last_witness: Time::ZERO,
            changes: Vec::new(),
            open: (0, 0),
        }
    }

    /// Returns the state and when it began.
    fn state(&self) -> (ReachState, Time) {
        match &self.condition {
            Condition::Reaching(state) => (ReachState::Reaching, state.since),
            Condition::InDoubt(state) => (ReachState::InDoubt, state.since),
            Condition::CutOff(state) => (ReachState::CutOff, state.since),
        }
    }

    /// Returns whether this instance reaches no target, although peers do.
    pub(crate) fn is_cut_off(&self) -> bool {
        matches!(self.condition, Condition::CutOff(_))
    }

    /// Returns the report for peers.
    pub(crate) fn report(&self, now: Time) -> ReachReport {
        let answered = self.evidence.since_answer(now);
        let (own, passed) = self.open;
        let probed = self.evidence.probed.map(|probed| now.since(probed));
        let probe_time = self.evidence.probe_times.iter().max().copied();
        ReachReport { state: self.state().0, answered, probed, probe_time, own, passed }
    }

    /// Returns the time without an answer after which a probe that is sent now has failed. Only a doubt
    /// has use for an early failure.
    pub(crate) fn patience(&self) -> Duration {
        match &self.condition {
            Condition::InDoubt(doubt) => doubt.patience,
            Condition::Reaching(_) | Condition::CutOff(_) => Probe::MAX_TIME,
        }
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ReachChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the targets to probe now.
    pub(crate) fn take_probes(&mut self) -> Vec<Index> {
        std::mem::take(&mut self.probes)
    }

    /// Records that a target has sent something.
    pub(crate) fn record_answer(&mut self, now: Time) {
        self.evidence.record_answer(now);
    }

    /// Records that a new connection to a target failed.
    pub(crate) fn record_connection_failure(&mut self, target: Index, now: Time) {
        self.evidence.unconnected.insert(target, now);
    }

    /// Records how an attempt at a target ended.
    pub(crate) fn record_attempt(&mut self, target: Index, outcome: AttemptOutcome, now: Time) {
        match outcome {
            AttemptOutcome::Unconnected => self.record_connection_failure(target, now),
            AttemptOutcome::Broken | AttemptOutcome::Silent => {
                if !self.evidence.broken.contains(&target) {
                    self.evidence.broken.push(target);
                }
            }
            AttemptOutcome::Whole
            | AttemptOutcome::Failing
            | AttemptOutcome::Declined
            | AttemptOutcome::Replaced => self.record_answer(now),
            AttemptOutcome::Expired => {}
        }
    }

    /// Applies a peer's report.
    pub(crate) fn apply_update(&mut self, update: &RelayUpdate, targets: &Targets, now: Time) {
        let (Some(report), Ok(address)) = (&update.reach, update.address.parse()) else { return };
        if update.stopping {
            self.peers.remove(&update.from);
            return;
        }
        let answered = report.answered.map_or(Time::ZERO, |age| now - age);
        let probed = report.probed.map_or(Time::ZERO, |age| now - age);
        let known = self.peers.remove(&update.from);
        let (in_flight, avoid_until, doubted) = known.map_or((0, Time::ZERO, Time::ZERO), |peer| {
            (peer.in_flight, peer.avoid_until, peer.doubted)
        });
        let is_reaching = report.state == ReachState::Reaching;
        let peer = PeerReach {
            zone: update.zone.clone(),
            address,
            state: report.state,
            answered,
            probed,
            probe_time: report.probe_time.unwrap_or_default(),
            doubted: if is_reaching { doubted } else { now },
            own: report.own,
            passed: report.passed,
            heard: now,
            in_flight,
            avoid_until,
        };
        self.peers.insert(update.from.clone(), peer);
        if is_reaching {
            let failing = update.failing.iter().filter_map(|target| targets.find(target));
            self.warnings.extend(failing.map(|index| (index, now)));
        }
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(&mut self, target: Index, result: ProbeResult, now: Time) {
        let ProbeResult { answered, took } = result;
        if answered {
            self.evidence.record_answered_probe(took, now);
        }
        match &mut self.condition {
            Condition::Reaching(_) if answered => {}
            Condition::Reaching(_) => {
                self.evidence.unconnected.insert(target, now);
            }
            Condition::InDoubt(_) if answered => {
                self.change(now, |condition| match condition {
                    Condition::InDoubt(doubt) => Condition::Reaching(doubt.end(now)),
                    other => other,
                });
            }
            Condition::InDoubt(doubt) => {
                if !doubt.failed.contains(&target) {
                    doubt.failed.push(target);
                }
                if doubt.failed.len() == FIRST_PROBES && !doubt.next.is_empty() {
                    doubt.sent = now;
                    self.probes.append(&mut doubt.next);
                }
            }
            Condition::CutOff(cut) => {
                let sent = now - took;
                if answered && cut.answered == 0 {
                    cut.first = sent;
                }
                // Probes that were sent before the path was back fail after newer ones are answered.
                if answered {
                    cut.answered += 1;
                } else if sent >= cut.first {
                    cut.answered = 0;
                }
                if cut.answered >= RETURN_PROBES {
                    self.change(now, |condition| match condition {
                        Condition::CutOff(cut) => Condition::Reaching(cut.end(now)),
                        other => other,
                    });
                }
            }
        }
    }

    /// Decides on the condition. `waiting` returns the number of different targets at which attempts
    /// have waited for an answer for this long.
    pub(crate) fn update(
        &mut self,
        targets: &Targets,
        waiting: impl Fn(Duration) -> usize,
        now: Time,
    ) {
        self.warnings.retain(|_, at| now.since(*at) < WARNING_TIME);
        let silence = self.late_after(now);
        match &mut self.condition {
            Condition::Reaching(reaching) => {
                let may_wait =
                    reaching.since == Time::ZERO || now.since(reaching.since) >= SILENCE_PAUSE;
                let is_silent = may_wait
                    && self.evidence.since_answer(now).is_none_or(|age| age >= silence)
                    && waiting(silence) >= MIN_TARGETS;
                if self.evidence.raises_doubt(now) || is_silent {
                    self.change(now, |condition| match condition {
                        Condition::Reaching(reaching) => Condition::InDoubt(reaching.doubt(now)),
                        other => other,
                    });
                    self.probe_for_doubt(targets, now);
                } else {
                    self.probe_others(targets, now);
                }
            }
            Condition::InDoubt(doubt) => {
                let round = doubt.round;
                let is_witness = |peer: &&PeerReach| {
                    peer.is_reaching(now) && peer.probed > round && peer.doubted < round
                };
                // As slow an answer as the peers get may still arrive.
                let witnesses = self.peers.values().filter(is_witness);
                let wait = witnesses.map(|peer| late_after(peer.probe_time)).min();
                let wait = wait.filter(|_| doubt.is_confirmed());
                if wait.is_some_and(|wait| now.since(doubt.sent) < wait) {
                    return;
                }
                if wait.is_some() {
                    self.change(now, |condition| match condition {
                        Condition::InDoubt(doubt) => Condition::CutOff(doubt.cut_off(now)),
                        other => other,
                    });
                } else if now >= doubt.next_probe {
                    self.probe_for_doubt(targets, now);
                }
            }
            Condition::CutOff(cut) => {
                if now >= cut.next_probe {
                    cut.next_probe = now + RETURN_INTERVAL;
                    self.probes.extend(usable(targets, now).choose(&mut self.rng));
                }
            }
        }
    }

    /// Returns the time after which an answer is late, as far as this instance and its peers know.
    fn late_after(&self, now: Time) -> Duration {
        let reaching = self.peers.values().filter(|peer| peer.is_reaching(now));
        let times = reaching.map(|peer| &peer.probe_time).chain(&self.evidence.probe_times);
        late_after(times.max().copied().unwrap_or_default())
    }

    fn change(&mut self, now: Time, next: impl FnOnce(Condition) -> Condition) {
        let (_, before) = self.state();
        let placeholder = Condition::Reaching(Reaching { since: now });
        self.condition = next(std::mem::replace(&mut self.condition, placeholder));
        self.evidence.clear_failures();
        let peers = self.peers.values().filter(|peer| peer.is_reaching(now)).count();
        let (state, _) = self.state();
        self.changes.push(ReachChange { state, after: now.since(before), peers });
    }

    /// Sends the probes of a doubt.
    fn probe_for_doubt(&mut self, targets: &Targets, now: Time) {
        let patience = self.late_after(now);
        let Condition::InDoubt(doubt) = &mut self.condition else { return };
        let warnings = &self.warnings;
        // If peers see most targets fail as well, it is not the path of this instance.
        let is_warned = |index: &Index| warnings.contains_key(index);
        let (warned, all) =
            (usable(targets, now).filter(is_warned).count(), usable(targets, now).count());
        let candidates = usable(targets, now).filter(|index| !warnings.contains_key(index));
        let mut chosen = candidates.sample(&mut self.rng, CONFIRMING_PROBES);
        doubt.patience = patience;
        doubt.next_probe = now + DOUBT_INTERVAL + (doubt.patience - MIN_PATIENCE);
        doubt.failed.clear();
        doubt.round = now;
        doubt.sent = now;
        doubt.witnessed = self
            .peers
            .values()
            .any(|peer| peer.is_reaching(now) && now.since(peer.answered) < WITNESS_TIME);
        let may_confirm = chosen.len() >= MIN_TARGETS && 2 * warned < all;
        doubt.needed = may_confirm.then_some(chosen.len());
        // Two turns of slow probes would take too long.
        if doubt.patience == MIN_PATIENCE {
            doubt.next = chosen.split_off(FIRST_PROBES.min(chosen.len()));
        } else {
            doubt.next.clear();
        }
        self.probes.extend(chosen);
    }

    /// Sends a probe if a peer is in doubt, and two if a connection to a single target has failed.
    fn probe_others(&mut self, targets: &Targets, now: Time) {
        if self.last_witness != Time::ZERO && now.since(self.last_witness) < WITNESS_INTERVAL {
            return;
        }
        let is_doubting = |peer: &PeerReach| {
            peer.state == ReachState::InDoubt && now.since(peer.heard) < REPORT_TIME
        };
        let has_failed = !self.evidence.unconnected.is_empty();
        let count = if has_failed {
            MIN_TARGETS
        } else {
            usize::from(self.peers.values().any(is_doubting))
        };
        if count > 0 {
            self.last_witness = now;
            let failed = &self.evidence.unconnected;
            let others = usable(targets, now).filter(|index| !failed.contains_key(index));
            self.probes.extend(others.sample(&mut self.rng, count));
        }
    }

    /// Chooses a peer that takes a request of an instance in `zone`; of two random ones that with fewer
    /// open requests.
    pub(crate) fn choose_peer(
        &mut self,
        zone: &ZoneId,
        excluded: &[InstanceId],
        now: Time,
    ) -> Option<(InstanceId, SocketAddr)> {
        let can_take = |(name, peer): &(&InstanceId, &PeerReach)| {
            peer.may_reach(now)
                && now >= peer.avoid_until
                && peer.in_flight < MAX_AT_PEER
                && Self::may_take(&peer.zone)
                && !excluded.contains(name)
        };
        let mut able: Vec<_> = self.peers.iter().filter(can_take).collect();
        // The order of a map differs from run to run.
        able.sort_unstable_by_key(|(name, _)| *name);
        // A peer in doubt may reach targets, which this instance does not.
        if able.iter().any(|(_, peer)| peer.is_reaching(now)) {
            able.retain(|(_, peer)| peer.is_reaching(now));
        }
        let is_near = |peer: &PeerReach| peer.zone == *zone && !peer.is_crowded();
        if able.iter().any(|(_, peer)| is_near(peer)) {
            able.retain(|(_, peer)| is_near(peer));
        }
        if able.is_empty() {
            return None;
        }
        let mut draw = || able[self.rng.random_range(0..able.len())];
        let (first, second) = (draw(), draw());
        let (name, peer) = if first.1.load() <= second.1.load() { first } else { second };
        Some((name.clone(), peer.address))
    }

    /// Returns whether instances of `_zone` may take requests of this instance.
    fn may_take(_zone: &ZoneId) -> bool {
        true
    }

    /// Records that a request is passed on to a peer.
    pub(crate) fn record_pass(&mut self, peer: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.in_flight += 1;
        }
    }

    /// Records how a request at a peer ended; none if its caller has left.
    pub(crate) fn record_pass_end(
        &mut self,
        peer: &InstanceId,
        outcome: Option<PassOutcome>,
        now: Time,
    ) {
        let Some(peer) = self.peers.get_mut(peer) else { return };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        let avoid = match outcome {
            Some(PassOutcome::Unconnected | PassOutcome::Broken | PassOutcome::Expired) => {
                AVOID_BROKEN
            }
            Some(PassOutcome::Declined) => AVOID_DECLINED,
            Some(PassOutcome::Answered | PassOutcome::Refused) | None => return,
        };
        peer.avoid_until = now + avoid;
    }
}

/// Returns the time after which a probe is late where other ones took `longest`.
fn late_after(longest: Duration) -> Duration {
    (longest + longest / 2).clamp(MIN_PATIENCE, Probe::MAX_TIME)
}

fn usable(targets: &Targets, now: Time) -> impl Iterator<Item = Index> {
    targets.iter().filter(move |(_, target)| target.is_usable(now)).map(|(index, _)| index)
}
