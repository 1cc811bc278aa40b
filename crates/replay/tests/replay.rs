//! End-to-end test of a short replay, with daemons and with a baseline.

use std::sync::Arc;

use sesamewind_replay::count::Observations;
use sesamewind_replay::replay::{Policy, replay};
use sesamewind_replay::report::Report;
use sesamewind_replay::scenario::Scenario;
use sesamewind_replay::trace;

const SCENARIO: &str = r#"
region = "r"
zones = ["a", "b"]
zone_delay_ms = 0.5
client_delay_ms = 1
instances = [{ name = "i1", zone = "a" }, { name = "i2", zone = "b" }]
tiers = [{ name = "urgent", rank = 0, first_token_ms = 20000, total_ms = 20000 }]
accounts = [{ name = "a", tier = "urgent" }]
outcomes = []

[generations.new]
prefill_tokens_per_s = 100000
decode_tokens_per_s = 200
batch_knee = 8
max_batch = 16
cache_tokens = 10000

[[services]]
name = "assistant"
class = "model"
version = "v1"
routes = [{ route = "reply", tier = "urgent", idempotent = false }]

[[services]]
name = "diary"
class = "plain"
version = "v1"
routes = [{ route = "POST /bookings", tier = "urgent", idempotent = false }]

[[targets]]
name = "e1"
service = "assistant"
zone = "a"
generation = "new"

[[targets]]
name = "d1"
service = "diary"
zone = "b"
delay_ms = 300
"#;

/// A model call and a plain call, each resent while its first attempt is still running, and a
/// model call without a resend.
const LINES: [&str; 5] = [
    "0,a,urgent,assistant,reply,k1,0,p,40,100,60,20000",
    "10,a,urgent,diary,POST /bookings,k2,0,,0,0,0,20000",
    "120,a,urgent,assistant,reply,k1,1,p,40,100,60,20000",
    "130,a,urgent,diary,POST /bookings,k2,1,,0,0,0,20000",
    "200,a,urgent,assistant,reply,k3,0,,0,50,5,20000",
];

async fn run(policy: Policy) -> Report {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let text = trace::COLUMNS.join(",") + "\n" + &LINES.join("\n");
    let entries = Arc::new(trace::read(text.as_bytes()).unwrap());
    let output = replay(&scenario, &entries, policy, 1).await.unwrap();
    Observations::collect(&scenario, &entries, &output).report(policy.as_str(), "short", 1)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_run_twice_under_a_baseline_and_once_under_daemons() {
    for (policy, twice) in [(Policy::RoundRobin, 2), (Policy::Sesamewind, 0)] {
        let report = run(policy).await;
        let name = policy.as_str();
        assert_eq!(report.goodput["urgent"].offered, 3, "{name}");
        assert_eq!(report.goodput["urgent"].answered_in_time, 3, "{name}");
        assert_eq!(report.dispatched_twice, twice, "{name}");
        assert_eq!((report.lost, report.wrong_answer), (0, 0), "{name}");
        assert!(report.prefill_tokens.total >= 150, "{name}");
    }
}
