//! Measures the cost of the exchanges between instances, which run in one process without sockets.
//!
//! Prints messages and bytes per second, processor time and memory per instance for several shapes
//! of a deployment, and how they grow with the numbers of instances, targets, accounts and evidence
//! cells. Messages and bytes are counted both when sent and when received.

#[path = "../tests/world/mod.rs"]
#[allow(dead_code)]
mod world;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamewind_membership::Timing;
use sesamewind_protocol::evidence::{Arm, EvidenceCell};
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::traffic::{AccountUsage, TargetUsage};
use sesamewind_protocol::{AccountId, Incarnation, TargetId, Time};
use world::{World, name};

const WARM_UP: Duration = Duration::from_secs(40);
const MEASURED: Duration = Duration::from_secs(40);

/// Estimated bytes of HTTP around a message between instances: request or status line and headers.
const HTTP_BYTES: u64 = 180;

/// Budgets of an instance at the size expected in two years: bytes per second, fraction of a core,
/// and bytes of memory.
const BUDGET_BYTES_S: f64 = 17_000.0;
const BUDGET_CPU: f64 = 0.032;
const BUDGET_STATE: f64 = 32.0 * 1024.0 * 1024.0;

/// Allocator that counts the allocated bytes.
struct Counting;

static LIVE: AtomicI64 = AtomicI64::new(0);

// SAFETY: every call is passed to the system's allocator unchanged.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract, which is that of the system's allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: the block came from the system's allocator with this layout.
        unsafe { System.dealloc(block, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Size and load of a deployment.
#[derive(Debug, Clone, Copy)]
struct Shape {
    name: &'static str,
    instances: usize,
    zones: usize,
    regions: usize,
    /// Number of targets in an availability zone; the instances of the zone use them.
    targets: usize,
    /// Number of client accounts that are active at an instance.
    accounts: usize,
    /// Number of evidence cells in which an instance counts; zero while no rollout runs.
    cells: usize,
    /// Seconds for which a usage value stays unchanged.
    hold_s: u64,
}

/// Cost of a shape per instance.
#[derive(Debug, Clone, Copy)]
struct Cost {
    messages_s: f64,
    body_bytes_s: f64,
    cpu: f64,
    state: f64,
}

impl Cost {
    fn bytes_s(&self) -> f64 {
        self.body_bytes_s + self.messages_s * HTTP_BYTES as f64
    }
}

/// Returns a function that fills in usage of targets and accounts. Each value is redrawn every
/// `hold_s` seconds.
fn fill(shape: Shape) -> world::Fill {
    Box::new(move |index, now: Time, exchange: &mut Exchange| {
        let second = now.as_micros() / 1_000_000;
        let zone = index % shape.zones;
        exchange.targets = (0..shape.targets)
            .map(|target| {
                let level = level(index, target, second, shape.hold_s);
                let name = format!("engine-{zone:02}-{target:03}");
                TargetUsage {
                    target: TargetId::new(name),
                    requests: level,
                    tokens: u64::from(level) * 600,
                    prefill: u64::from(level) * 200,
                    prefill_speed: 8_000.0,
                }
            })
            .filter(|used| used.requests > 0)
            .collect();
        exchange.accounts = (0..shape.accounts)
            .map(|account| {
                let level = level(index + 7, account + 1_000, second, shape.hold_s);
                AccountUsage {
                    account: AccountId::new(format!("account-{account:05}")),
                    tokens_per_s: level as f32 * 50.0,
                    requests_per_s: level as f32 / 10.0,
                }
            })
            .filter(|used| used.requests_per_s > 0.0)
            .collect();
        exchange.evidence = (0..shape.cells).map(|cell| evidence(index, cell, second)).collect();
    })
}

/// Returns a usage level that is redrawn every `hold_s` seconds, at a different second for each
/// pair of instance and item.
fn level(index: usize, item: usize, second: u64, hold_s: u64) -> u32 {
    let phase = (index * 3 + item * 7) as u64;
    let epoch = (second + phase) / hold_s;
    let seed = (index as u64) << 40 | (item as u64) << 20 | epoch & 0xf_ffff;
    ChaCha8Rng::seed_from_u64(seed).random_range(0..8)
}

/// Returns a cell to which a request is added every two seconds.
fn evidence(index: usize, cell: usize, second: u64) -> EvidenceCell {
    let requests = (second + cell as u64) / 2;
    EvidenceCell {
        instance: name(index),
        incarnation: Incarnation(1),
        stage: 1,
        rollout: "assistant-2026-12-03".into(),
        arm: if cell.is_multiple_of(2) { Arm::Old } else { Arm::New },
        route: "chat".into(),
        class: (cell / 2 % 5) as u8,
        requests,
        failures: 0,
        durations: vec![requests as u32 / 24; 24],
    }
}

fn measure(shape: Shape) -> Cost {
    let before = LIVE.load(Ordering::Relaxed);
    let mut world = World::new(shape.instances, shape.zones, shape.regions, Timing::default());
    world.step = Duration::from_millis(250);
    world.fill = fill(shape);
    world.run(WARM_UP);
    for node in &mut world.nodes {
        node.traffic = Default::default();
        node.events = Vec::new();
    }
    world.run(MEASURED);
    let state = (LIVE.load(Ordering::Relaxed) - before) as f64 / shape.instances as f64;
    let sum = |of: &dyn Fn(&world::Traffic) -> f64| {
        let total: f64 = world.nodes.iter().map(|node| of(&node.traffic)).sum();
        total / shape.instances as f64 / MEASURED.as_secs_f64()
    };
    Cost {
        messages_s: sum(&|traffic| traffic.messages as f64),
        body_bytes_s: sum(&|traffic| traffic.bytes as f64),
        cpu: sum(&|traffic| traffic.busy.as_secs_f64()),
        state,
    }
}

fn print(shape: &Shape, cost: &Cost) {
    println!(
        "{:<30} {:>5} {:>5} {:>8} {:>8} {:>6} {:>8.1} {:>9.0} {:>9.0} {:>7.3}% {:>9.0}",
        shape.name,
        shape.instances,
        shape.zones,
        shape.targets,
        shape.accounts,
        shape.cells,
        cost.messages_s,
        cost.body_bytes_s,
        cost.bytes_s(),
        cost.cpu * 100.0,
        cost.state / 1024.0,
    );
}

fn run(shape: Shape) -> Cost {
    let cost = measure(shape);
    print(&shape, &cost);
    cost
}

fn print_slope(name: &str, low: &Cost, high: &Cost, steps: usize) {
    let steps = steps as f64;
    println!(
        "slope {name}: {:.3} messages/s, {:.1} bytes/s, {:.4}% of a core, {:.0} bytes of state",
        (high.messages_s - low.messages_s) / steps,
        (high.bytes_s() - low.bytes_s()) / steps,
        (high.cpu - low.cpu) * 100.0 / steps,
        (high.state - low.state) / steps,
    );
}

fn verdict(name: &str, value: f64, budget: f64) {
    let share = value / budget;
    let word = if share <= 1.0 { "within" } else { "over" };
    println!("two-year {name}: {word} the budget, {share:.2} of it");
}

fn main() {
    println!("per instance, sent and received; bytes/s with {HTTP_BYTES} bytes of HTTP a message");
    println!(
        "{:<30} {:>5} {:>5} {:>8} {:>8} {:>6} {:>8} {:>9} {:>9} {:>8} {:>9}",
        "shape",
        "inst",
        "zones",
        "targets",
        "accounts",
        "cells",
        "msg/s",
        "body B/s",
        "bytes/s",
        "cpu",
        "state KB"
    );
    let base = Shape {
        name: "in one zone",
        instances: 8,
        zones: 1,
        regions: 1,
        targets: 12,
        accounts: 10,
        cells: 0,
        hold_s: 10,
    };
    let shape = |instances, zones, targets| Shape { instances, zones, targets, ..base };
    let today = run(Shape { name: "today", ..shape(8, 4, 5) });
    let _ = today;
    let zone_8 = run(shape(8, 1, 12));
    let zone_16 = run(shape(16, 1, 12));
    run(shape(32, 1, 12));
    run(shape(64, 1, 12));
    let few = run(Shape { name: "zones of 8", ..shape(32, 4, 12) });
    let many = run(Shape { name: "zones of 8", ..shape(64, 8, 12) });
    let targets = run(Shape { name: "more targets", ..shape(16, 1, 104) });
    let accounts = run(Shape { name: "more accounts", accounts: 60, ..shape(16, 1, 12) });
    let cells = run(Shape { name: "a rollout", cells: 10, ..shape(16, 1, 12) });
    run(Shape { name: "more targets, redrawn in 2 s", hold_s: 2, ..shape(16, 1, 104) });
    let two_years = Shape {
        name: "two years, no rollout",
        instances: 390,
        zones: 26,
        regions: 8,
        targets: 104,
        accounts: 50,
        cells: 0,
        hold_s: 10,
    };
    let quiet = run(two_years);
    let busy = run(Shape { name: "two years, a rollout", cells: 10, ..two_years });
    println!();
    print_slope("an instance of the own zone", &zone_8, &zone_16, 8);
    print_slope("an instance beyond it", &few, &many, 32);
    print_slope("a target of the zone", &zone_16, &targets, 92);
    print_slope("an active account", &zone_16, &accounts, 50);
    print_slope("an evidence cell", &zone_16, &cells, 10);
    println!();
    for (name, cost) in [("no rollout", quiet), ("a rollout", busy)] {
        verdict(&format!("bytes/s, {name}"), cost.bytes_s(), BUDGET_BYTES_S);
        verdict(&format!("processor, {name}"), cost.cpu, BUDGET_CPU);
        verdict(&format!("state, {name}"), cost.state, BUDGET_STATE);
    }
}
