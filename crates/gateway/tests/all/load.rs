//! Behavior under more load than the targets can take.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use sesamewind_gateway::{AttemptOutcome, Event, Step, Ticket, Tuning};

use crate::support::{Bench, MODEL, at, bench, routing, target};

/// Outcomes of the requests of one route.
#[derive(Debug, Default)]
struct Tally {
    arrived: u32,
    served: u32,
    /// Longest time from arrival to a refusal, in milliseconds.
    refused_after: u64,
    /// Longest time from arrival to dispatch, in milliseconds.
    waited: u64,
}

/// Simulates `seconds` of requests. Each route in `load` has the given number of arrivals per
/// second, and a target works for `work` milliseconds on each request.
fn run_load(load: &[(&str, u64)], work: u64, seconds: u64) -> Vec<Tally> {
    let mut bench = bench(4, 0);
    let mut ends: BinaryHeap<Reverse<(u64, Ticket)>> = BinaryHeap::new();
    let mut tallies: Vec<Tally> = load.iter().map(|_| Tally::default()).collect();
    let mut open: Vec<(Ticket, usize, u64)> = Vec::new();
    for now in 1..seconds * 1_000 {
        while ends.peek().is_some_and(|Reverse((end, _))| *end <= now) {
            let Some(Reverse((_, ticket))) = ends.pop() else { break };
            bench.send(Event::Started(ticket), at(now));
            bench.send(Event::Ended(ticket, AttemptOutcome::Whole), at(now));
        }
        for (route, (name, rate)) in load.iter().enumerate() {
            if now * rate / 1_000 > (now - 1) * rate / 1_000 {
                tallies[route].arrived += 1;
                let ticket = bench.arrive(name, 100, at(now));
                open.push((ticket, route, now));
            }
        }
        if now % 20 == 0 {
            bench.send(Event::Tick, at(now));
        }
        open.retain(|(ticket, route, arrived)| {
            let Some(step) = bench.steps.remove(ticket) else { return true };
            let (tally, took) = (&mut tallies[*route], now - arrived);
            match step {
                Step::Dispatch(_) => {
                    tally.served += 1;
                    tally.waited = tally.waited.max(took);
                    ends.push(Reverse((now + work, *ticket)));
                }
                _ => tally.refused_after = tally.refused_after.max(took),
            }
            false
        });
    }
    tallies
}

/// The load is twice what 16 slots can take, and a third of it is urgent. Urgent requests are
/// served in time and ahead of the usual ones, and no request waits so long that the target can't
/// meet the objective.
#[test]
fn urgent_requests_are_served_through_an_overload() {
    let tallies = run_load(&[("urgent", 50), ("usual", 60), ("bulk", 50)], 200, 10);
    let share = |tally: &Tally| f64::from(tally.served) / f64::from(tally.arrived);
    assert!(share(&tallies[0]) > 0.97, "{tallies:?}");
    assert!(share(&tallies[0]) >= share(&tallies[1]), "{tallies:?}");
    assert!(share(&tallies[1]) >= share(&tallies[2]), "{tallies:?}");
    for tally in &tallies {
        // The objective is 600 ms, of which a target needs about 100 ms.
        assert!(tally.waited <= 500, "{tallies:?}");
        assert!(tally.refused_after <= 500, "{tallies:?}");
    }
    let served: u32 = tallies.iter().map(|tally| tally.served).sum();
    // 16 slots with 200 ms per request serve 80 requests per second.
    assert!(f64::from(served) > 0.95 * 800.0, "slots were left free: {tallies:?}");
}

/// Without overload, no request is refused or waits.
#[test]
fn nothing_is_refused_while_slots_are_free() {
    let tallies = run_load(&[("urgent", 20), ("usual", 20), ("bulk", 20)], 200, 5);
    for tally in &tallies {
        assert_eq!(tally.served, tally.arrived, "{tallies:?}");
        assert_eq!(tally.waited, 0, "{tallies:?}");
    }
}

/// Callers that are refused at the same time are asked to retry at different times, and within the
/// delay that they honor.
#[test]
fn refused_callers_get_spread_out_retry_delays() {
    let mut bench = bench(1, 0);
    let tickets: Vec<_> = (0..60).map(|_| bench.arrive("usual", 100, at(10))).collect();
    let waits: Vec<Duration> =
        tickets.iter().filter_map(|ticket| bench.refusal(*ticket)).map(|r| r.retry_after).collect();
    assert!(waits.len() > 40, "{waits:?}");
    let (least, most) = (waits.iter().min().expect("some"), waits.iter().max().expect("some"));
    assert!(*most <= Duration::from_secs(4), "callers honour a third of 12 s: {most:?}");
    assert!(*most - *least > Duration::from_millis(1_000), "{least:?} to {most:?}");
}

/// A long prompt is not sent to an engine that is known to be too slow for it while another engine
/// will soon have a free slot.
#[test]
fn slow_engines_get_no_prompt_that_would_be_late_there() {
    let mut bench = bench(2, 0);
    // Train the gateway: one engine takes ten times as long as the other.
    let mut now = 0;
    let mut slow = None;
    for _ in 0..200 {
        now += 2_000;
        let ticket = bench.arrive("usual", 1_000, at(now));
        let target = bench.dispatch(ticket).expect("a free slot").target.clone();
        let took = if target.as_str() == "m0" { 600 } else { 60 };
        slow = Some("m0");
        bench.send(Event::Started(ticket), at(now + took));
        bench.end(ticket, AttemptOutcome::Whole, at(now + took + 10));
    }
    let slow = slow.expect("trained");
    now += 2_000;
    let first: Vec<_> = (0..4).map(|_| bench.arrive("usual", 500, at(now))).collect();
    assert!(
        first.iter().all(|ticket| {
            bench.dispatch(*ticket).expect("a free slot").target.as_str() != slow
        })
    );
    let long = bench.arrive("urgent", 40_000, at(now));
    assert!(bench.dispatch(long).is_none(), "{:?}", bench.dispatch(long));
    bench.end(first[0], AttemptOutcome::Whole, at(now + 100));
    assert_ne!(bench.dispatch(long).expect("the freed slot").target.as_str(), slow);
}

/// The most urgent route finds a free slot on arrival although other requests would fill all of
/// them, because engines with eight slots reserve one for it.
#[test]
fn others_leave_a_slot_to_the_most_urgent_route() {
    let targets = (0..2).map(|n| target(&format!("m{n}"), MODEL, 8)).collect();
    let mut bench = Bench::new(routing(), targets, Tuning::default());
    let others: Vec<_> = (0..20).map(|_| bench.arrive("usual", 100, at(1))).collect();
    let sent = others.iter().filter(|ticket| bench.dispatch(**ticket).is_some()).count();
    assert_eq!(sent, 14);
    for _ in 0..2 {
        let urgent = bench.arrive("urgent", 6_000, at(2));
        assert!(bench.dispatch(urgent).is_some());
    }
    let urgent = bench.arrive("urgent", 6_000, at(2));
    assert!(bench.dispatch(urgent).is_none());
}

/// One of two engines pauses for longer than the streams of one route allow. These streams wait
/// briefly for the other engine, and streams that hardly pause leave that engine to them.
#[test]
fn streams_go_where_their_pauses_are_short_enough() {
    let mut bench = bench(2, 0);
    let mut now = 0;
    for round in 0..100 {
        // Some streams of the route with long streams are short.
        let long = if round % 10 == 9 { 3 } else { 50 };
        for (route, events, slow, fast) in [("usual", long, 250, 50), ("bulk", 2, 2, 2)] {
            now += 2_000;
            let ticket = bench.arrive(route, 100, at(now));
            let at_slow = bench.dispatch(ticket).expect("a free slot").target.as_str() == "m0";
            bench.send(Event::Started(ticket), at(now + 60));
            let pause = Duration::from_millis(if at_slow { slow } else { fast });
            bench.send(Event::Streamed(ticket, events, pause), at(now + 300));
            bench.end(ticket, AttemptOutcome::Whole, at(now + 300));
        }
    }
    now += 2_000;
    let target = |bench: &Bench, ticket: Ticket| {
        bench.dispatch(ticket).map(|dispatch| dispatch.target.as_str().to_owned())
    };
    let bulk = bench.arrive("bulk", 100, at(now));
    assert_eq!(target(&bench, bulk).as_deref(), Some("m0"));
    let usual: Vec<_> = (0..5).map(|_| bench.arrive("usual", 100, at(now))).collect();
    for ticket in &usual[..4] {
        assert_eq!(target(&bench, *ticket).as_deref(), Some("m1"));
    }
    assert_eq!(target(&bench, usual[4]), None, "it waits for the fast one");
    bench.send(Event::Tick, at(now + 200));
    assert_eq!(target(&bench, usual[4]).as_deref(), Some("m0"));
}
