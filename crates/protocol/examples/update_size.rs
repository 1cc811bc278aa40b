//! Measures the encoded size of updates between instances, and the time to encode and decode one.
//!
//! `cargo run --release -p sesamewind-protocol --example update_size` prints the bytes with structs
//! as arrays, as maps from names, and as [`codec::encode`] writes them, with the microseconds of
//! the last.

use std::time::{Duration, Instant};

use sesamewind_protocol::relay::{
    AccountTotal, ArmCounts, LatencyCounts, LatencyReport, LeavingEntry, RelayUpdate,
    RolloutCounts, RolloutProgress, RouteCounts, StorePosition, TargetLoad, ZoneReport,
};
use sesamewind_protocol::{AccountId, Incarnation, Revision, RouteId, TargetId, codec};

const START: u64 = 1_796_000_000_000;
const ROUNDS: u32 = 1_000;

#[derive(Debug)]
struct Case {
    name: &'static str,
    targets: u32,
    accounts: u32,
    /// Amounts of each account, sent to an instance that joins.
    amounts: u32,
    rollouts: u32,
    routes: u32,
}

fn progress(routes: u32) -> RolloutProgress {
    let arm = ArmCounts { requests: 300, failures: 2 };
    let times = LatencyCounts { intervals: 40, logs: 1.25 };
    let report = LatencyReport { old: times, new: [times; 8] };
    let route = |index| RouteCounts {
        route: RouteId::new(format!("route-{index}")),
        old: arm,
        new: [arm; 8],
    };
    RolloutProgress {
        service: "quotes".into(),
        version: "2026-12-04".into(),
        age: Duration::from_millis(12_345),
        counts: RolloutCounts {
            requests: 4_000,
            new_sent: 400,
            routes: (0..routes).map(route).collect(),
            latency: report,
            pace: report,
        },
        outcome: None,
        recorded: None,
    }
}

fn update(case: &Case) -> RelayUpdate {
    let load = |index| TargetLoad {
        target: TargetId::new(format!("engine-{index}")),
        requests: 7,
        prefill: 4_200,
        pause: 180,
        streams: 90,
    };
    let total = |index| AccountTotal {
        account: AccountId::new(format!("account-{index}")),
        used: 123_456.0,
        amounts: vec![(Duration::from_millis(5_250), 250.0); case.amounts as usize],
    };
    RelayUpdate {
        from: "gateway-1".into(),
        incarnation: Incarnation(START),
        zone: "ke-central-a".into(),
        address: "10.0.0.1:9001".to_owned(),
        sequence: 10_000,
        revision: Revision(12),
        list_position: StorePosition { era: 1, version: 400 },
        store_age: Duration::from_millis(850),
        joining: false,
        loads: (0..case.targets).map(load).collect(),
        totals: (0..case.accounts).map(total).collect(),
        leaving: vec![LeavingEntry { target: "engine-1".into(), incarnation: Incarnation(START) }],
        failing: vec!["engine-2".into()],
        rollouts: (0..case.rollouts).map(|_| progress(case.routes)).collect(),
        unheard: Vec::new(),
        relayed: Vec::new(),
        parts: Vec::new(),
        limits: Vec::new(),
        stopping: false,
        config_position: StorePosition { era: 1, version: 390 },
        evacuations: ZoneReport::default(),
        cold: Vec::new(),
        brittle: Vec::new(),
        reach: None,
    }
}

fn micros(work: impl Fn()) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(|_| work());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn main() {
    let case = |name, targets, accounts, amounts, rollouts, routes| Case {
        name,
        targets,
        accounts,
        amounts,
        rollouts,
        routes,
    };
    let cases = [
        case("idle", 0, 0, 0, 0, 0),
        case("typical", 12, 6, 0, 0, 0),
        case("with a rollout", 12, 6, 0, 1, 4),
        case("large", 300, 200, 0, 4, 20),
        case("large, to one that joins", 300, 200, 60, 4, 20),
    ];
    println!("| update | arrays | names | written | encode | decode |");
    println!("|---|---|---|---|---|---|");
    for case in &cases {
        let update = update(case);
        let arrays = rmp_serde::to_vec(&update).expect("arrays are encoded").len();
        let names = rmp_serde::to_vec_named(&update).expect("names are encoded").len();
        let bytes = codec::encode(&update).expect("the update is encoded");
        let encode = micros(|| assert!(codec::encode(&update).is_ok()));
        let decode = micros(|| assert!(codec::decode::<RelayUpdate>(&bytes).is_ok()));
        let (name, written) = (case.name, bytes.len());
        println!("| {name} | {arrays} | {names} | {written} | {encode:.1} | {decode:.1} |");
    }
}
