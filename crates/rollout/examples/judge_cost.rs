//! Measures the time that judging takes at an instance, by the number of instances whose counts it
//! has merged.
//!
//! `cargo run --release -p sesamewind-rollout --example judge_cost` prints the number of cells,
//! their encoded size and the time of one tick with changed evidence.

use std::time::{Duration, Instant};

use sesamewind_protocol::evidence::{Arm, EvidenceCell, RolloutRecord, Stage};
use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{
    Incarnation, InstanceId, Revision, RolloutId, RouteId, ServiceId, TargetId, Time, VersionId,
    WallTime, codec,
};
use sesamewind_rollout::{ClusterState, RolloutSpec, Rollouts};

const ROUTES: u8 = 6;
const CLASSES: u8 = 3;
const STAGES: u8 = 4;
const TICKS: u32 = 200;
const DEADLINE: WallTime = WallTime(3_600_000);

struct EmptyCluster;

impl ClusterState for EmptyCluster {
    fn versions(&self, _target: &TargetId) -> Option<Vec<VersionId>> {
        None
    }

    fn peers(&self) -> Vec<InstanceIncarnation> {
        Vec::new()
    }

    fn in_flight(&self, _service: &ServiceId, _version: &VersionId) -> u32 {
        0
    }
}

fn main() {
    println!("| instances | cells | bytes of all cells | microseconds per tick |");
    println!("|---|---|---|---|");
    for instances in [1, 8, 15, 60, 380] {
        let mut rollouts = rollouts_at_step();
        let all = cells(instances, 20);
        rollouts.merge(&all);
        let mut elapsed = Duration::ZERO;
        for tick in 0..TICKS {
            rollouts.merge(&cells(1, 21 + u64::from(tick)));
            let started = Instant::now();
            rollouts.tick(Time::from_millis(u64::from(tick)), WallTime(1), None, &EmptyCluster);
            elapsed += started.elapsed();
        }
        let bytes: usize = all.iter().map(|cell| codec::encode(cell).map_or(0, |b| b.len())).sum();
        println!("| {instances} | {} | {bytes} | {} |", all.len(), (elapsed / TICKS).as_micros());
    }
}

fn rollouts_at_step() -> Rollouts {
    let (from, to) = (VersionId::from("v1"), VersionId::from("v2"));
    let service = ServiceId::from("assistant");
    let spec = RolloutSpec {
        id: RolloutId::from("move"),
        service: service.clone(),
        from: from.clone(),
        to: to.clone(),
        deadline: DEADLINE,
        first_share: 0.05,
        targets: Vec::new(),
    };
    let mut rollouts = Rollouts::new(InstanceId::from("entry"), Incarnation(1));
    rollouts.configure(&[spec], Revision(1), WallTime(0));
    let record = RolloutRecord {
        service,
        from,
        to,
        deadline: DEADLINE,
        config: Revision(1),
        stage: Stage::Step(2),
        share: 0.45,
        started: WallTime(0),
        staged: WallTime(0),
        fence: 1,
        outcome: None,
    };
    rollouts.on_record(&RolloutId::from("move"), 1, record);
    rollouts
}

fn cells(instances: u64, requests: u64) -> Vec<EvidenceCell> {
    let mut cells = Vec::new();
    for instance in 0..instances {
        for number in 0..ROUTES * CLASSES * STAGES * 2 {
            let durations = (0..32).map(|bucket| u32::from(bucket > 20)).collect();
            cells.push(EvidenceCell {
                instance: InstanceId::new(format!("entry-{instance}")),
                incarnation: Incarnation(1),
                rollout: RolloutId::from("move"),
                stage: number / 2 % STAGES,
                arm: if number % 2 == 0 { Arm::Old } else { Arm::New },
                route: RouteId::new(format!("route-{}", number / 2 / STAGES % ROUTES)),
                class: number / 2 / STAGES / ROUTES,
                requests,
                failures: 0,
                durations,
            });
        }
    }
    cells
}
