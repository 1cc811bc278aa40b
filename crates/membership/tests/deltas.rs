//! Tests of delta encoding: restored messages equal the complete ones.

use bolero::{TypeGenerator, check, produce};
use sesamewind_membership::{Deltas, ExchangeKind};
use sesamewind_protocol::codec::encode;
use sesamewind_protocol::evidence::{Arm, EvidenceCell};
use sesamewind_protocol::message::{ConfigDigest, Exchange, LeavingEntry, Sender};
use sesamewind_protocol::traffic::{AccountUsage, TargetUsage};
use sesamewind_protocol::{Incarnation, InstanceId, Revision, TargetId, WallTime};

const TARGETS: usize = 8;

/// One of two instances that exchange messages.
struct Side {
    name: InstanceId,
    incarnation: u64,
    seq: u64,
    deltas: Deltas,
    used: [u32; TARGETS],
    leaving: usize,
}

impl Side {
    fn new(name: &str, incarnation: u64) -> Self {
        let deltas = Deltas::new(Incarnation(incarnation));
        Self { name: name.into(), incarnation, seq: 0, deltas, used: [0; TARGETS], leaving: 0 }
    }

    fn targets(&self) -> Vec<TargetUsage> {
        let used = self.used.iter().enumerate().filter(|(_, requests)| **requests > 0);
        used.map(|(index, requests)| TargetUsage {
            target: TargetId::new(format!("engine-{index}")),
            requests: *requests,
            tokens: u64::from(*requests) * 100,
            prefill: 0,
            prefill_speed: 0.0,
        })
        .collect()
    }

    fn send_raw(&mut self) -> Exchange {
        self.seq += 1;
        let from = Sender {
            deployment: "bomba".to_owned(),
            instance: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            zone: "zone".into(),
            seq: self.seq,
        };
        Exchange::new(from, WallTime(0))
    }

    fn send(&mut self, to: &InstanceId, kind: ExchangeKind) -> Exchange {
        let mut exchange = self.send_raw();
        exchange.config = ConfigDigest { revision: Revision(3), hash: "hash".to_owned() };
        exchange.targets = self.targets();
        exchange.leaving = (0..self.leaving)
            .map(|index| LeavingEntry {
                target: TargetId::new(format!("engine-{index}")),
                incarnation: Incarnation(1),
            })
            .collect();
        self.deltas.outgoing(to, kind, exchange)
    }
}

#[test]
fn acknowledged_entries_are_not_sent_again() {
    let (mut a, mut b) = (Side::new("a", 1), Side::new("b", 1));
    a.used = [4; TARGETS];
    let first = a.send(&b.name, ExchangeKind::Full);
    assert_eq!(first.targets.len(), TARGETS);
    let again = a.send(&b.name, ExchangeKind::Full);
    assert_eq!(again.targets.len(), TARGETS, "the first message is not acknowledged");
    let restored = b.deltas.incoming(again);
    assert_eq!(restored.targets, a.targets());
    let reply = b.send(&a.name, ExchangeKind::Full);
    a.deltas.incoming(reply);
    let trimmed = a.send(&b.name, ExchangeKind::Full);
    assert_eq!(trimmed.targets, [], "every entry is acknowledged");
    assert_eq!(trimmed.config.hash, "", "the receiver has the revision");
    let restored = b.deltas.incoming(trimmed);
    assert_eq!(restored.targets, a.targets());
    assert_eq!(restored.config.hash, "hash");
    assert!(encode(&restored).unwrap().len() > 100);
}

#[test]
fn summaries_omit_usage_and_a_change_of_kind_resends_everything() {
    let (mut a, mut b) = (Side::new("a", 1), Side::new("b", 1));
    a.used = [4; TARGETS];
    a.leaving = 2;
    for _ in 0..3 {
        let summary = a.send(&b.name, ExchangeKind::Summary);
        assert_eq!(summary.targets, []);
        b.deltas.incoming(summary);
        let reply = b.send(&a.name, ExchangeKind::Summary);
        a.deltas.incoming(reply);
    }
    let full = a.send(&b.name, ExchangeKind::Full);
    assert_eq!(full.targets.len(), TARGETS);
    assert_eq!(full.leaving.len(), 2);
}

#[test]
fn small_changes_wait_until_they_add_up() {
    struct Case {
        name: &'static str,
        receivers: usize,
        from: u32,
        to: u32,
        is_sent: bool,
    }
    let case = |name, receivers, from, to, is_sent| Case { name, receivers, from, to, is_sent };
    let cases = [
        case("same", 1, 100, 100, false),
        case("a tenth more", 1, 100, 110, false),
        case("a fifth more", 1, 100, 120, true),
        case("a fifth less", 1, 100, 80, true),
        case("no longer used", 1, 100, 0, true),
        case("first", 1, 0, 1, true),
        case("a third more, many receivers", 14, 100, 133, false),
        case("two thirds more, many receivers", 14, 100, 167, true),
        case("no longer used, many receivers", 14, 100, 0, true),
        case("first, many receivers", 14, 0, 1, true),
    ];
    for case in cases {
        let (mut a, mut b) = (Side::new("a", 1), Side::new("b", 1));
        for receiver in 1..case.receivers {
            a.send(&InstanceId::new(format!("other-{receiver}")), ExchangeKind::Full);
        }
        a.used[0] = case.from;
        b.deltas.incoming(a.send(&b.name.clone(), ExchangeKind::Full));
        a.deltas.incoming(b.send(&a.name.clone(), ExchangeKind::Full));
        a.used[0] = case.to;
        let sent = a.send(&b.name, ExchangeKind::Full);
        assert_eq!(!sent.targets.is_empty(), case.is_sent, "{}", case.name);
        let restored = b.deltas.incoming(sent);
        let want = if case.is_sent { case.to } else { case.from };
        let got = restored.targets.first().map_or(0, |used| used.requests);
        assert_eq!(got, want, "{}", case.name);
    }
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Event {
    Use {
        target: u8,
        requests: u8,
    },
    /// An exchange started by the first instance; either message may be lost.
    Call {
        is_request_lost: bool,
        is_reply_lost: bool,
    },
    /// A message is delayed and arrives after later ones.
    HoldBack,
    Release,
    RestartFirst,
    RestartSecond,
}

/// For random losses, delays and restarts, the receiver has exactly the sender's usage after each
/// message, once the sender knows the receiver's incarnation. Until then it has a subset of the
/// usage, without outdated entries.
#[test]
fn random_losses_never_leave_the_receiver_wrong() {
    let orders = produce::<Vec<Event>>().with().len(0..120usize);
    check!().with_generator(orders).for_each(|events| {
        let (mut a, mut b) = (Side::new("a", 1), Side::new("b", 1));
        let mut held = Vec::new();
        let mut is_known = true;
        for event in events {
            match *event {
                Event::Use { target, requests } => {
                    // Powers of two differ by more than the fraction below which changes wait.
                    let requests = if requests % 4 == 0 { 0 } else { 1 << (requests % 8) };
                    a.used[usize::from(target) % TARGETS] = requests;
                }
                Event::Call { is_request_lost, is_reply_lost } => {
                    let request = a.send(&b.name, ExchangeKind::Full);
                    if is_request_lost {
                        continue;
                    }
                    let restored = b.deltas.incoming(request);
                    let targets = a.targets();
                    if is_known {
                        assert_eq!(restored.targets, targets);
                    }
                    assert!(restored.targets.iter().all(|used| targets.contains(used)));
                    let reply = b.send(&a.name, ExchangeKind::Full);
                    if !is_reply_lost {
                        a.deltas.incoming(reply);
                        is_known = true;
                    }
                }
                Event::HoldBack => held.push(a.send(&b.name, ExchangeKind::Full)),
                Event::Release => {
                    if let Some(message) = held.pop() {
                        b.deltas.incoming(message);
                    }
                }
                Event::RestartFirst => {
                    a = Side { used: a.used, ..Side::new("a", a.incarnation + 1) };
                    is_known = true;
                    held.clear();
                }
                Event::RestartSecond => {
                    b = Side::new("b", b.incarnation + 1);
                    is_known = false;
                }
            }
        }
    });
}

#[test]
fn account_usage_is_restored() {
    let (mut a, mut b) = (Side::new("a", 1), Side::new("b", 1));
    let used = AccountUsage { account: "x".into(), tokens_per_s: 10.0, requests_per_s: 1.0 };
    let with = |side: &mut Side, to: &InstanceId, accounts: Vec<AccountUsage>| {
        let exchange = Exchange { accounts, ..side.send_raw() };
        side.deltas.outgoing(to, ExchangeKind::Full, exchange)
    };
    let first = with(&mut a, &b.name, vec![used.clone()]);
    assert_eq!(b.deltas.incoming(first).accounts, std::slice::from_ref(&used));
    let reply = with(&mut b, &a.name, Vec::new());
    a.deltas.incoming(reply);
    let same = with(&mut a, &b.name, vec![used.clone()]);
    assert_eq!(same.accounts, []);
    assert_eq!(b.deltas.incoming(same).accounts, [used]);
    let gone = with(&mut a, &b.name, Vec::new());
    assert_eq!(b.deltas.incoming(gone).accounts, []);
}

#[test]
fn evidence_is_sent_as_it_adds_up() {
    struct Case {
        name: &'static str,
        from: (u64, u64),
        to: (u64, u64),
        is_sent: bool,
    }
    let cases = [
        Case { name: "first request", from: (0, 0), to: (1, 0), is_sent: true },
        Case { name: "a tenth more", from: (100, 0), to: (110, 0), is_sent: false },
        Case { name: "an eighth more", from: (100, 0), to: (113, 0), is_sent: true },
        Case {
            name: "32 more, less than an eighth",
            from: (1_000, 0),
            to: (1_032, 0),
            is_sent: true,
        },
        Case { name: "first failure", from: (1_000, 0), to: (1_001, 1), is_sent: true },
    ];
    for case in cases {
        let (mut a, mut b) = (Side::new("a", 1), Side::new("b", 1));
        let send = |a: &mut Side, counts| {
            let mut exchange = a.send_raw();
            exchange.evidence = vec![cell("a", counts)];
            a.deltas.outgoing(&"b".into(), ExchangeKind::Full, exchange)
        };
        b.deltas.incoming(send(&mut a, case.from));
        a.deltas.incoming(b.send(&"a".into(), ExchangeKind::Full));
        let sent = send(&mut a, case.to);
        assert_eq!(!sent.evidence.is_empty(), case.is_sent, "{}", case.name);
    }
}

fn cell(origin: &str, (requests, failures): (u64, u64)) -> EvidenceCell {
    EvidenceCell {
        instance: origin.into(),
        incarnation: Incarnation(1),
        rollout: "r".into(),
        stage: 0,
        arm: Arm::New,
        route: "chat".into(),
        class: 0,
        requests,
        failures,
        durations: Vec::new(),
    }
}

/// Each receiver is offered a different part of the evidence. Evidence that is not offered to one
/// receiver does not count as changed for the other.
#[test]
fn evidence_left_out_for_one_receiver_is_not_sent_again_to_another() {
    let mut a = Side::new("a", 1);
    let mut others = [Side::new("b", 1), Side::new("c", 1)];
    for round in 0..4 {
        for (index, other) in others.iter_mut().enumerate() {
            let mut exchange = a.send_raw();
            let origin = ["x", "y"][index];
            exchange.evidence = vec![cell("a", (100, 0)), cell(origin, (50, 0))];
            let sent = a.deltas.outgoing(&other.name, ExchangeKind::Full, exchange);
            let want: &[&str] = if round == 0 { &["a", origin] } else { &[] };
            let origins: Vec<_> = sent.evidence.iter().map(|cell| cell.instance.as_str()).collect();
            assert_eq!(origins, want, "round {round}");
            other.deltas.incoming(sent);
            let reply = other.send(&a.name, ExchangeKind::Full);
            a.deltas.incoming(reply);
        }
    }
}
