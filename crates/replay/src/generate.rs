//! Seeded generator of the traces in `traces/`.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::trace::{COLUMNS, Entry};

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Share of requests that their callers send a second time.
const RESEND_SHARE: f64 = 0.02;
/// Shortest and longest time until a caller sends again, in milliseconds.
const RESEND_AFTER_MS: (u64, u64) = (400, 1_500);

/// A range of whole numbers, both ends included.
type Range = (u32, u32);

/// A steady stream of requests of one kind.
#[derive(Debug, Clone)]
pub struct Flow {
    account: &'static str,
    tier: &'static str,
    service: &'static str,
    route: &'static str,
    per_s: f64,
    from_s: f64,
    to_s: f64,
    /// Prefixes that requests share; zero for none.
    prefixes: u32,
    /// Share of the prompt that the prefix takes.
    prefix_share: f64,
    prompt: Range,
    output: Range,
    timeout_ms: u64,
}

/// What a trace is made of.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name of the file.
    pub file: &'static str,
    seed: u64,
    flows: Vec<Flow>,
}

/// A kind of request, before it is given to an account and a time.
#[derive(Debug, Clone, Copy)]
struct Kind {
    tier: &'static str,
    service: &'static str,
    route: &'static str,
    prefixes: u32,
    prefix_share: f64,
    prompt: Range,
    output: Range,
    timeout_ms: u64,
}

impl Kind {
    fn by(self, account: &'static str, per_s: f64, from_s: f64, to_s: f64) -> Flow {
        Flow {
            account,
            tier: self.tier,
            service: self.service,
            route: self.route,
            per_s,
            from_s,
            to_s,
            prefixes: self.prefixes,
            prefix_share: self.prefix_share,
            prompt: self.prompt,
            output: self.output,
            timeout_ms: self.timeout_ms,
        }
    }
}

const fn plain(service: &'static str, route: &'static str) -> Kind {
    Kind {
        tier: "urgent",
        service,
        route,
        prefixes: 0,
        prefix_share: 0.0,
        prompt: (0, 0),
        output: (0, 0),
        timeout_ms: 3_000,
    }
}

const fn model(tier: &'static str, route: &'static str, prompt: Range, output: Range) -> Kind {
    Kind {
        tier,
        service: "assistant",
        route,
        prefixes: 0,
        prefix_share: 0.0,
        prompt,
        output,
        timeout_ms: 4_000,
    }
}

/// The morning of the dispatch desk: replies, quotes over long histories, tagging, a burst.
pub fn bomba() -> Workload {
    const END_S: f64 = 60.0;
    let reply =
        Kind { prefixes: 12, prefix_share: 0.5, ..model("urgent", "reply", (40, 120), (30, 60)) };
    let quote = Kind {
        prefixes: 40,
        prefix_share: 0.9,
        timeout_ms: 15_000,
        ..model("standard", "quote", (4_000, 10_000), (80, 160))
    };
    let tag = Kind { timeout_ms: 30_000, ..model("overnight", "tag", (100, 200), (6, 12)) };
    let digest =
        Kind { timeout_ms: 40_000, ..model("overnight", "digest", (800, 2_000), (200, 400)) };
    let booking = plain("bookings", "POST /bookings");
    let deposit = plain("bookings", "POST /deposits");
    let roster = plain("bookings", "GET /roster");
    let flows = vec![
        reply.by("nairobi-east", 5.0, 0.0, END_S),
        reply.by("mombasa-coast", 5.0, 0.0, END_S),
        reply.by("nairobi-west", 1.0, 0.0, END_S),
        reply.by("kisauni", 0.5, 0.0, END_S),
        reply.by("thika", 12.0, 44.0, 52.0),
        reply.by("mombasa-coast", 80.0, 24.0, 34.0),
        quote.by("nairobi-east", 2.0, 0.0, END_S),
        quote.by("mombasa-coast", 1.5, 0.0, END_S),
        quote.by("nairobi-west", 0.5, 0.0, END_S),
        tag.by("nairobi-east", 12.0, 0.0, END_S),
        tag.by("mombasa-coast", 8.0, 0.0, END_S),
        digest.by("nairobi-east", 2.0, 0.0, 50.0),
        booking.by("nairobi-east", 2.0, 0.0, END_S),
        booking.by("mombasa-coast", 2.0, 0.0, END_S),
        deposit.by("nairobi-east", 1.0, 0.0, END_S),
        deposit.by("kisauni", 0.5, 0.0, END_S),
        roster.by("nairobi-east", 4.0, 0.0, END_S),
        roster.by("nairobi-west", 2.0, 0.0, END_S),
    ];
    Workload { file: "bomba-morning.csv", seed: 20_261_203, flows }
}

/// A week of the diaries, shortened: client answers, weekly summaries, sorting of notes, a burst.
pub fn derwent() -> Workload {
    const END_S: f64 = 60.0;
    let reply =
        Kind { prefixes: 20, prefix_share: 0.5, ..model("urgent", "answer", (30, 100), (25, 60)) };
    let summary = Kind {
        prefixes: 60,
        prefix_share: 0.8,
        timeout_ms: 20_000,
        ..model("standard", "summary", (3_000, 9_000), (120, 240))
    };
    let sort = Kind { timeout_ms: 30_000, ..model("overnight", "sort", (150, 300), (6, 12)) };
    let book = plain("diary", "POST /bookings");
    let pay = plain("diary", "POST /payments");
    let cancel = plain("diary", "POST /cancellations");
    let day = plain("diary", "GET /day");
    let flows = vec![
        reply.by("hobart-hands", 4.0, 0.0, END_S),
        reply.by("launceston-touch", 2.5, 0.0, END_S),
        reply.by("devonport-rest", 0.6, 0.0, END_S),
        reply.by("sandy-bay", 0.3, 0.0, END_S),
        reply.by("kingston-quiet", 8.0, 40.0, 46.0),
        reply.by("hobart-hands", 32.0, 20.0, 28.0),
        summary.by("hobart-hands", 1.2, 0.0, END_S),
        summary.by("launceston-touch", 0.6, 0.0, END_S),
        sort.by("hobart-hands", 5.0, 0.0, END_S),
        sort.by("launceston-touch", 4.0, 0.0, END_S),
        book.by("hobart-hands", 1.5, 0.0, END_S),
        book.by("devonport-rest", 0.5, 0.0, END_S),
        pay.by("hobart-hands", 1.0, 0.0, END_S),
        cancel.by("launceston-touch", 0.5, 0.0, END_S),
        day.by("hobart-hands", 3.0, 0.0, END_S),
        day.by("sandy-bay", 1.0, 0.0, END_S),
    ];
    Workload { file: "derwent-week.csv", seed: 20_261_204, flows }
}

/// Makes the trace of `workload` as CSV.
pub fn trace(workload: &Workload) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut entries: Vec<Entry> = Vec::new();
    for (index, flow) in workload.flows.iter().enumerate() {
        requests(flow, index, &mut rng, &mut entries);
    }
    entries.sort_by_key(|entry| entry.at_ms);
    let mut text = COLUMNS.join(",") + "\n";
    for entry in &entries {
        text += &line(entry);
    }
    text
}

fn requests(flow: &Flow, index: usize, rng: &mut ChaCha8Rng, entries: &mut Vec<Entry>) {
    let mut at_s = flow.from_s;
    let mut number = 0;
    loop {
        // Exponential pauses make a Poisson process.
        at_s -= (1.0 - rng.random::<f64>()).ln() / flow.per_s;
        if at_s >= flow.to_s {
            return;
        }
        number += 1;
        let entry = request(flow, format!("{index}-{number}"), at_s, rng);
        if rng.random::<f64>() < RESEND_SHARE {
            let after = rng.random_range(RESEND_AFTER_MS.0..=RESEND_AFTER_MS.1);
            let again = Entry { at_ms: entry.at_ms + after, attempt: 1, ..entry.clone() };
            entries.push(again);
        }
        entries.push(entry);
    }
}

fn request(flow: &Flow, key: String, at_s: f64, rng: &mut ChaCha8Rng) -> Entry {
    let prompt_tokens = rng.random_range(flow.prompt.0..=flow.prompt.1);
    let prefix = match flow.prefixes {
        0 => String::new(),
        count => format!("{}-{}-{}", flow.account, flow.route, rng.random_range(0..count)),
    };
    // Tokens of a prefix follow from the lower end, so that all its users share them.
    let prefix_tokens = (f64::from(flow.prompt.0) * flow.prefix_share) as u32;
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
        output_tokens: rng.random_range(flow.output.0..=flow.output.1),
        timeout_ms: flow.timeout_ms,
    }
}

fn line(entry: &Entry) -> String {
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
