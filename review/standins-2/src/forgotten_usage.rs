//! A configuration without a client account, and the next one with it again: its usage is forgotten.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    Outcome, Run, ZONES, account, configuration, route, start_gateways, wait_until,
};
use crate::engine::Engine;
use crate::http;
use crate::json::Json;
use crate::store::Store;

/// Bounds of `derwent-hands`.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;

/// Limit of the account: the least one of the site, in tokens.
const RATE: f64 = 36_000.0;
const BURST: f64 = 36_000.0;

/// Tokens of each request, and the interval between requests at one instance.
const TOKENS: (u32, u32) = (6_000, 400);
const INTERVAL: Duration = Duration::from_millis(25);

/// Times after the start of the traffic.
const REMOVED: Duration = Duration::from_millis(2_000);
const RESTORED: Duration = Duration::from_millis(3_000);
const END: Duration = Duration::from_millis(6_000);

fn version(number: u64, has_busy: bool) -> Json {
    let mut accounts = vec![account("other", "other-key", 0.0, 0.0)];
    if has_busy {
        accounts.push(account("busy", "busy-key", RATE, BURST));
    }
    configuration(number, vec![route("read")], accounts)
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &version(10, true));
    let work = Duration::from_millis(20);
    let engines: Vec<_> =
        ZONES.iter().map(|zone| Engine::start(&store, zone, "v1", 16, work)).collect();
    let Some(gateways) = start_gateways(run, store.address) else { return Outcome::NotRun };
    // Longer than `contactMs` and the window, so that all instances are in touch and count alike.
    thread::sleep(Duration::from_secs(10));

    let start = Instant::now();
    let (mut next, mut calls) = (start, Vec::new());
    let (mut removed, mut restored) = (false, false);
    while Instant::now() < start + END {
        if run.trouble && !removed && Instant::now() >= start + REMOVED {
            removed = true;
            store.put("op", "config", &version(14, false));
            run.note("the store acknowledges configuration 14, without the account `busy`");
        }
        if run.trouble && !restored && Instant::now() >= start + RESTORED {
            restored = true;
            store.put("op", "config", &version(21, true));
            run.note("the store acknowledges configuration 21, with the account as before");
        }
        for (at, gateway) in gateways.iter().enumerate() {
            let (front, id) = (gateway.front, format!("{at}-{}", calls.len()));
            calls.push(thread::spawn(move || {
                let tokens = format!("{},{}", TOKENS.0, TOKENS.1);
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Authorization", "Token busy-key"),
                    ("Token-Usage", tokens.as_str()),
                    ("Deadline-Ms", "1500"),
                ];
                let answer = http::get(front, "/read/x", &headers);
                (id, answer)
            }));
        }
        next += INTERVAL;
        wait_until(next);
    }
    let mut ran = Vec::new();
    let mut statuses = BTreeMap::new();
    for call in calls {
        let Ok((id, answer)) = call.join() else { return Outcome::NotRun };
        let status = answer.text();
        let runs: usize = engines.iter().map(|engine| engine.runs(&id)).sum();
        run.note_at(answer.sent, &format!("request {id}: answer {status}, ran {runs} times"));
        *statuses.entry(status).or_insert(0) += 1;
        if runs > 0 {
            ran.push(answer.sent);
        }
    }
    ran.sort_unstable();
    let tokens = f64::from(TOKENS.0 + TOKENS.1);
    let within =
        |from: Instant| ran.iter().filter(|at| **at >= from && **at < from + WINDOW).count();
    let most = ran.iter().map(|&from| within(from)).max().unwrap_or(0) as f64 * tokens;
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    run.note(&format!("answers by status: {statuses:?}"));
    run.note(&format!("most tokens within quotaWindowS: {most}; allowed: {allowed}"));
    if ran.is_empty() {
        Outcome::NotRun
    } else if most > allowed {
        run.note("QUOTA");
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
