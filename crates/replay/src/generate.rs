//! Seeded generator for the traces in `traces/`.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::trace::{COLUMNS, Entry};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Fraction of requests that their callers send a second time.
const RESEND_FRACTION: f64 = 0.02;
/// Shortest and longest time until a caller resends a request, in milliseconds.
const RESEND_AFTER_MS: (u64, u64) = (400, 1_500);

/// An inclusive range.
type Range = (u32, u32);

/// Requests of one kind from one account, at a constant mean rate.
#[derive(Debug, Clone)]
pub struct Flow {
    account: &'static str,
    tier: &'static str,
    service: &'static str,
    route: &'static str,
    requests_per_s: f64,
    from_s: f64,
    to_s: f64,
    /// Number of prefixes that requests share; zero for none.
    prefix_count: u32,
    /// Fraction of the shortest prompt that the prefix takes.
    prefix_fraction: f64,
    prompt_range: Range,
    output_range: Range,
    timeout_ms: u64,
}

/// Description of a generated trace.
#[derive(Debug, Clone)]
pub struct Workload {
    /// File name of the trace.
    pub file: &'static str,
    seed: u64,
    flows: Vec<Flow>,
}

/// A kind of request, without account, rate and time span.
#[derive(Debug, Clone, Copy)]
struct RequestKind {
    tier: &'static str,
    service: &'static str,
    route: &'static str,
    prefix_count: u32,
    prefix_fraction: f64,
    prompt_range: Range,
    output_range: Range,
    timeout_ms: u64,
}

impl RequestKind {
    fn flow(self, account: &'static str, requests_per_s: f64, from_s: f64, to_s: f64) -> Flow {
        Flow {
            account,
            tier: self.tier,
            service: self.service,
            route: self.route,
            requests_per_s,
            from_s,
            to_s,
            prefix_count: self.prefix_count,
            prefix_fraction: self.prefix_fraction,
            prompt_range: self.prompt_range,
            output_range: self.output_range,
            timeout_ms: self.timeout_ms,
        }
    }
}

const fn plain(service: &'static str, route: &'static str) -> RequestKind {
    RequestKind {
        tier: "urgent",
        service,
        route,
        prefix_count: 0,
        prefix_fraction: 0.0,
        prompt_range: (0, 0),
        output_range: (0, 0),
        timeout_ms: 3_000,
    }
}

const fn model(
    tier: &'static str,
    route: &'static str,
    prompt_range: Range,
    output_range: Range,
) -> RequestKind {
    RequestKind {
        tier,
        service: "assistant",
        route,
        prefix_count: 0,
        prefix_fraction: 0.0,
        prompt_range,
        output_range,
        timeout_ms: 4_000,
    }
}

/// Returns the workload of a dispatch desk in the morning: replies, quotes with long histories,
/// tagging, and a burst of replies.
pub fn bomba() -> Workload {
    const END_S: f64 = 60.0;
    let reply = RequestKind {
        prefix_count: 12,
        prefix_fraction: 0.5,
        ..model("urgent", "reply", (40, 120), (30, 60))
    };
    let quote = RequestKind {
        prefix_count: 40,
        prefix_fraction: 0.9,
        timeout_ms: 15_000,
        ..model("standard", "quote", (4_000, 10_000), (80, 160))
    };
    let tag = RequestKind { timeout_ms: 30_000, ..model("overnight", "tag", (100, 200), (6, 12)) };
    let digest = RequestKind {
        timeout_ms: 40_000,
        ..model("overnight", "digest", (800, 2_000), (200, 400))
    };
    let booking = plain("bookings", "POST /bookings");
    let deposit = plain("bookings", "POST /deposits");
    let roster = plain("bookings", "GET /roster");
    let flows = vec![
        reply.flow("nairobi-east", 5.0, 0.0, END_S),
        reply.flow("mombasa-coast", 5.0, 0.0, END_S),
        reply.flow("nairobi-west", 1.0, 0.0, END_S),
        reply.flow("kisauni", 0.5, 0.0, END_S),
        reply.flow("thika", 12.0, 44.0, 52.0),
        reply.flow("mombasa-coast", 80.0, 24.0, 34.0),
        quote.flow("nairobi-east", 2.0, 0.0, END_S),
        quote.flow("mombasa-coast", 1.5, 0.0, END_S),
        quote.flow("nairobi-west", 0.5, 0.0, END_S),
        tag.flow("nairobi-east", 12.0, 0.0, END_S),
        tag.flow("mombasa-coast", 8.0, 0.0, END_S),
        digest.flow("nairobi-east", 2.0, 0.0, 50.0),
        booking.flow("nairobi-east", 2.0, 0.0, END_S),
        booking.flow("mombasa-coast", 2.0, 0.0, END_S),
        deposit.flow("nairobi-east", 1.0, 0.0, END_S),
        deposit.flow("kisauni", 0.5, 0.0, END_S),
        roster.flow("nairobi-east", 4.0, 0.0, END_S),
        roster.flow("nairobi-west", 2.0, 0.0, END_S),
    ];
    Workload { file: "bomba-morning.csv", seed: 20_261_203, flows }
}

/// Returns the workload of a week of appointment diaries, shortened to a minute: answers to
/// clients, weekly summaries, sorting of notes, and a burst of answers.
pub fn derwent() -> Workload {
    const END_S: f64 = 60.0;
    let reply = RequestKind {
        prefix_count: 20,
        prefix_fraction: 0.5,
        ..model("urgent", "answer", (30, 100), (25, 60))
    };
    let summary = RequestKind {
        prefix_count: 60,
        prefix_fraction: 0.8,
        timeout_ms: 20_000,
        ..model("standard", "summary", (3_000, 9_000), (120, 240))
    };
    let sort =
        RequestKind { timeout_ms: 30_000, ..model("overnight", "sort", (150, 300), (6, 12)) };
    let book = plain("diary", "POST /bookings");
    let pay = plain("diary", "POST /payments");
    let cancel = plain("diary", "POST /cancellations");
    let day = plain("diary", "GET /day");
    let flows = vec![
        reply.flow("hobart-hands", 4.0, 0.0, END_S),
        reply.flow("launceston-touch", 2.5, 0.0, END_S),
        reply.flow("devonport-rest", 0.6, 0.0, END_S),
        reply.flow("sandy-bay", 0.3, 0.0, END_S),
        reply.flow("kingston-quiet", 8.0, 40.0, 46.0),
        reply.flow("hobart-hands", 32.0, 20.0, 28.0),
        summary.flow("hobart-hands", 1.2, 0.0, END_S),
        summary.flow("launceston-touch", 0.6, 0.0, END_S),
        sort.flow("hobart-hands", 5.0, 0.0, END_S),
        sort.flow("launceston-touch", 4.0, 0.0, END_S),
        book.flow("hobart-hands", 1.5, 0.0, END_S),
        book.flow("devonport-rest", 0.5, 0.0, END_S),
        pay.flow("hobart-hands", 1.0, 0.0, END_S),
        cancel.flow("launceston-touch", 0.5, 0.0, END_S),
        day.flow("hobart-hands", 3.0, 0.0, END_S),
        day.flow("sandy-bay", 1.0, 0.0, END_S),
    ];
    Workload { file: "derwent-week.csv", seed: 20_261_204, flows }
}

/// Generates the trace of `workload` as CSV.
pub fn trace(workload: &Workload) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut entries: Vec<Entry> = Vec::new();
    for (index, flow) in workload.flows.iter().enumerate() {
        add_requests(flow, index, &mut rng, &mut entries);
    }
    entries.sort_by_key(|entry| entry.at_ms);
    let mut text = COLUMNS.join(",") + "\n";
    for entry in &entries {
        text += &csv_line(entry);
    }
    text
}

fn add_requests(flow: &Flow, index: usize, rng: &mut ChaCha8Rng, entries: &mut Vec<Entry>) {
    let mut at_s = flow.from_s;
    let mut number = 0;
    loop {
        // Exponentially distributed intervals give a Poisson process.
        at_s -= (1.0 - rng.random::<f64>()).ln() / flow.requests_per_s;
        if at_s >= flow.to_s {
            return;
        }
        number += 1;
        let entry = new_entry(flow, format!("{index}-{number}"), at_s, rng);
        if rng.random::<f64>() < RESEND_FRACTION {
            let after = rng.random_range(RESEND_AFTER_MS.0..=RESEND_AFTER_MS.1);
            let resend = Entry { at_ms: entry.at_ms + after, attempt: 1, ..entry.clone() };
            entries.push(resend);
        }
        entries.push(entry);
    }
}

fn new_entry(flow: &Flow, key: String, at_s: f64, rng: &mut ChaCha8Rng) -> Entry {
    let prompt_tokens = rng.random_range(flow.prompt_range.0..=flow.prompt_range.1);
    let prefix = match flow.prefix_count {
        0 => String::new(),
        count => format!("{}-{}-{}", flow.account, flow.route, rng.random_range(0..count)),
    };
    // Computed from the shortest prompt, so that the prefix has the same length in every request.
    let prefix_tokens = (f64::from(flow.prompt_range.0) * flow.prefix_fraction) as u32;
    Entry {
        at_ms: (at_s * MILLIS_PER_SECOND) as u64,
        account: flow.account.to_owned(),
        tier: flow.tier.to_owned(),
        service: flow.service.to_owned(),
        route: flow.route.to_owned(),
        key,
        attempt: 0,
        prefix_tokens: if prefix.is_empty() { 0 } else { prefix_tokens },
        prefix,
        prompt_tokens,
        output_tokens: rng.random_range(flow.output_range.0..=flow.output_range.1),
        timeout_ms: flow.timeout_ms,
    }
}

fn csv_line(entry: &Entry) -> String {
    format!(
        "{},{},{},{},{},{},{},{},{},{},{},{}\n",
        entry.at_ms,
        entry.account,
        entry.tier,
        entry.service,
        entry.route,
        entry.key,
        entry.attempt,
        entry.prefix,
        entry.prefix_tokens,
        entry.prompt_tokens,
        entry.output_tokens,
        entry.timeout_ms
    )
}
