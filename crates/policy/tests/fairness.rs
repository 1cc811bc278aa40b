//! Fair turns among accounts, limits over all instances, and no state for idle accounts.

mod support;

use std::time::Duration;

use sesamewind_policy::{Event, PeerUpdate};
use sesamewind_protocol::InstanceId;
use sesamewind_protocol::traffic::AccountUsage;

use support::fleet::{Policy, run};
use support::setups::{account_burst, limited};
use support::{
    account, arrival, at, config, dispatched, instance, refusals, scheduler, step, tick, wall,
};

#[test]
fn bursting_account_costs_others_little() {
    for seed in 1..=4 {
        let alone = run(&account_burst(false, Policy::Sesamewind, seed)).account("a");
        let beside = run(&account_burst(true, Policy::Sesamewind, seed)).account("a");
        assert!(beside >= 0.9 * alone, "seed {seed}: {alone} alone, {beside} beside");
    }
    let unfair = run(&account_burst(true, Policy::LeastInflight, 1)).account("a");
    assert!(unfair < 0.9, "the baseline is not unfair: {unfair}");
}

#[test]
fn limits_hold_over_all_instances() {
    for entry in [None, Some(0)] {
        let tokens = run(&limited(entry, 1)).tokens["a"] as f64 / 30.0;
        assert!((9_000.0..=11_000.0).contains(&tokens), "{entry:?}: {tokens} tokens/s");
    }
}

/// A busy instance may use the share of the limit that others leave unused, and less once they have
/// demand.
#[test]
fn limit_shares_follow_demand() {
    let mut limits = config(1);
    limits.accounts = vec![account("a", Some(1_000.0))];
    for (peer_rate, least, most) in [(0.0, 900, 1_100), (3_000.0, 420, 580)] {
        let mut node = scheduler(&limits, instance("a", 1));
        let (from, mut admitted) = (InstanceId::from("b"), 0);
        for ticket in 0..600_u64 {
            let now = at(1 + ticket * 50);
            let usage = [AccountUsage {
                account: "a".into(),
                tokens_per_s: peer_rate,
                requests_per_s: 1.0,
            }];
            let accounts = if peer_rate > 0.0 { &usage[..] } else { &[] };
            let update = PeerUpdate {
                from: &from,
                sent: wall(now),
                targets: &[],
                accounts,
                floors: &[],
                floor_acks: &[],
            };
            step(&mut node, Event::Peer(update), now);
            let actions = step(&mut node, Event::Arrive(arrival(ticket, ticket, now)), now);
            for (ticket, _) in dispatched(&actions) {
                step(&mut node, Event::WriteCheck { ticket }, now);
                let end = sesamewind_policy::AttemptOutcome::Complete;
                step(&mut node, Event::Finished { ticket, end }, now);
                // 150 tokens each over 30 s, beside a demand of 3,000 tokens per second here.
                admitted += 150;
            }
            let limited = refusals(&actions);
            assert!(limited.iter().all(|refusal| refusal.retry_after().is_some()));
        }
        let rate = admitted / 30;
        assert!((least..=most).contains(&rate), "peer {peer_rate}: {rate} tokens/s");
    }
}

#[test]
fn idle_accounts_have_no_state() {
    let mut many = config(1);
    many.accounts = (0..13_000).map(|n| account(&format!("account-{n}"), None)).collect();
    let mut node = scheduler(&many, instance("a", 1));
    assert_eq!(node.active_accounts(), 0);
    for ticket in 0..100 {
        let mut call = arrival(ticket, ticket, at(1));
        call.account = format!("account-{ticket}").as_str().into();
        step(&mut node, Event::Arrive(call), at(1));
    }
    assert_eq!(node.active_accounts(), 100);
    let late = at(1) + Duration::from_secs(60);
    tick(&mut node, late);
    assert_eq!(node.active_accounts(), 0);
}

/// Two waiting accounts get half of the turns each, however many requests one of them sends.
#[test]
fn turns_alternate_among_accounts() {
    let mut node = scheduler(&config(1), instance("a", 1));
    let now = at(1);
    let mut sent = Vec::new();
    for ticket in 0..120 {
        let mut call = arrival(ticket, ticket, now);
        call.prompt_tokens = 1_500;
        let heavy = ticket < 100;
        call.account = if heavy { "heavy" } else { "light" }.into();
        sent.extend(dispatched(&step(&mut node, Event::Arrive(call), now)));
    }
    let mut order = Vec::new();
    for round in 0..60 {
        let now = at(2 + round * 10);
        let Some((ticket, _)) = (!sent.is_empty()).then(|| sent.remove(0)) else { break };
        let events = [
            Event::WriteCheck { ticket },
            Event::Accepted { ticket },
            Event::Tokens { ticket, n: 50 },
            Event::Finished { ticket, end: sesamewind_policy::AttemptOutcome::Complete },
        ];
        for event in events {
            let next = dispatched(&step(&mut node, event, now));
            order.extend(next.iter().map(|(ticket, _)| *ticket >= 100));
            sent.extend(next);
        }
    }
    let light = order.iter().take(30).filter(|light| **light).count();
    assert!((10..=20).contains(&light), "{light} of the first 30 turns: {order:?}");
}
