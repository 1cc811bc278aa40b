//! Prints the time per decision and the memory of requests, records and accounts.
//!
//! `cargo run --release -p sesamewind-policy --example cost`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use sesamewind_policy::{Action, AttemptOutcome, Event, Scheduler};
use sesamewind_protocol::Time;

use support::{account, arrival, at, config, dispatched, instance, scheduler, step, tick};

const ROUNDS: u64 = 20_000;
const ROUND_MICROS: u64 = 100;
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns a scheduler whose targets are full and that has `queued` waiting requests, the running
/// tickets and the last ticket.
fn loaded(targets: usize, queued: usize) -> (Scheduler, Vec<u64>, u64) {
    let mut full = config(targets);
    full.limits.queue_requests = 1_000_000;
    let mut node = scheduler(&full, instance("a", 1));
    let (mut running, mut last, mut waiting) = (Vec::new(), 0, 0);
    while waiting < queued {
        last += 1;
        let started = arrive(&mut node, last, at(1));
        waiting += usize::from(started.is_empty());
        for ticket in &started {
            begin(&mut node, *ticket, at(1));
        }
        running.extend(started);
    }
    (node, running, last)
}

fn arrive(node: &mut Scheduler, ticket: u64, now: Time) -> Vec<u64> {
    let mut call = arrival(ticket, ticket, now);
    call.account = format!("account-{}", ticket % 50).as_str().into();
    call.first_token_by = now + Duration::from_secs(3_600);
    call.deadline = now + Duration::from_secs(7_200);
    tickets(&step(node, Event::Arrive(call), now))
}

fn tickets(actions: &[Action]) -> Vec<u64> {
    dispatched(actions).into_iter().map(|(ticket, _)| ticket).collect()
}

fn begin(node: &mut Scheduler, ticket: u64, now: Time) {
    step(node, Event::WriteCheck { ticket }, now);
    step(node, Event::Accepted { ticket }, now);
    step(node, Event::Tokens { ticket, n: 1 }, now);
}

fn decisions(targets: usize, queued: usize) {
    let (mut node, mut running, mut last) = loaded(targets, queued);
    let (mut arriving, mut finishing, mut ticking) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        // The interval is short enough that no stream reaches its progress timeout.
        let now = Time::from_micros(10_000 + round * ROUND_MICROS);
        last += 1;
        let start = Instant::now();
        let mut started = arrive(&mut node, last, now);
        arriving.push(start.elapsed());
        let at = (round as usize * 7) % running.len();
        let ticket = running.swap_remove(at);
        let start = Instant::now();
        let actions =
            step(&mut node, Event::Finished { ticket, end: AttemptOutcome::Complete }, now);
        finishing.push(start.elapsed());
        started.extend(tickets(&actions));
        if round % 200 == 0 {
            let start = Instant::now();
            let actions = tick(&mut node, now);
            ticking.push(start.elapsed());
            started.extend(tickets(&actions));
        }
        for ticket in &started {
            begin(&mut node, *ticket, now);
        }
        running.extend(started);
    }
    println!(
        "targets {targets:4} queued {queued:5} running {:5}: arrive {}, finish and dispatch {}, tick {}",
        running.len(),
        spread(arriving),
        spread(finishing),
        spread(ticking)
    );
}

fn spread(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let micros =
        |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6;
    let mean = times.iter().sum::<Duration>().as_secs_f64() * 1e6 / times.len() as f64;
    format!("mean {mean:.1} p50 {:.1} p99 {:.1} us", micros(0.5), micros(0.99))
}

fn idle_accounts() {
    for limit in [None, Some(1_000.0)] {
        let mut many = config(12);
        many.accounts = (0..13_000).map(|n| account(&format!("account-{n}"), limit)).collect();
        let before = resident();
        // With several schedulers, memory that the allocator already holds hardly affects the
        // result.
        let nodes: Vec<Scheduler> = (0..10).map(|_| scheduler(&many, instance("a", 1))).collect();
        let bytes = resident().saturating_sub(before) / nodes.len() as u64;
        println!("scheduler with 13000 idle accounts, limit {limit:?}: {bytes} bytes");
    }
}

fn memory() {
    const NUMBER: u64 = 100_000;
    let (mut node, running, last) = loaded(12, 1);
    let before = resident();
    for ticket in last + 1..=last + NUMBER {
        arrive(&mut node, ticket, at(2));
    }
    println!("queued request: {} bytes", (resident() - before) / NUMBER);
    drop((node, running));

    let mut node = scheduler(&config(12), instance("a", 1));
    let before = resident();
    for ticket in 1..=NUMBER {
        for ticket in arrive(&mut node, ticket, at(1)) {
            begin(&mut node, ticket, at(1));
            step(&mut node, Event::Finished { ticket, end: AttemptOutcome::Complete }, at(1));
        }
    }
    println!("{} records: {} bytes each", node.records(), (resident() - before) / NUMBER);
}

fn main() {
    idle_accounts();
    memory();
    for targets in [12, 104] {
        for queued in [10, 1_000] {
            decisions(targets, queued);
        }
    }
}
