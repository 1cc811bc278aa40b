//! Log lines and metrics of a running daemon.

use std::path::Path;

use serde_json::Value;

use crate::caller::ModelRequest;
use crate::daemon::{OPERATOR_TOKEN, PEER_TOKEN};
use crate::deployment::{DESK_KEY, Deployment, NIGHT_KEY, Plan, wait_for};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_appear_in_log_and_metrics_but_secrets_do_not() {
    let settings = "[log]\nlevel = \"debug\"\n".to_owned();
    let deployment = Deployment::start(Plan { settings, ..Plan::default() }).await;
    let daemon = &deployment.daemons[0];
    let served = ModelRequest { output: 8, ..ModelRequest::default() }.send(daemon.callers).await;
    served.assert_whole(8);
    let unreachable =
        ModelRequest { timeout_ms: Some(1), ..ModelRequest::default() }.send(daemon.callers).await;
    let unknown = ModelRequest { account: "no-such-key", ..ModelRequest::default() }
        .send(daemon.callers)
        .await;
    assert_eq!((unreachable.code(), unknown.code()), (Some(1202), Some(1102)));

    let url = format!("http://{}/metrics", daemon.inner);
    let lines = [
        "sesamewind_dispatches_total{service=\"assistant\",version=\"v1\"} 1",
        "sesamewind_first_token_seconds_count{tier=\"urgent\"} 1",
        "sesamewind_queue_wait_seconds_count{tier=\"urgent\"} 1",
        "sesamewind_refusals_total{code=\"1202\",reason=\"deadline-unreachable\"} 1",
        "sesamewind_refusals_total{code=\"1102\",reason=\"unknown-account\"} 1",
        "sesamewind_retries_total{reason=\"connect-failed\"} 0",
        "sesamewind_in_flight 0",
        "sesamewind_config_revision 1",
    ];
    // The end of an attempt is counted by its own task, shortly after the caller has the answer.
    wait_for("the metrics include the requests", async || {
        let text = reqwest::get(&url).await.expect("daemon answers").text().await.expect("text");
        lines.iter().all(|line| text.lines().any(|got| got == *line))
    })
    .await;

    let option = &deployment.options[0];
    let name = format!("{}-{}.log", option.address, option.name);
    let log = std::fs::read_to_string(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name));
    let log = log.expect("log is read");
    let records: Vec<Value> =
        log.lines().map(|line| serde_json::from_str(line).expect("a JSON object")).collect();
    for record in &records {
        for member in ["time", "level", "instance", "module", "message"] {
            assert!(record[member].is_string(), "no {member} in {record}");
        }
    }
    for (id, code) in [(&served.id, 1000), (&unreachable.id, 1202)] {
        let found = records.iter().any(|record| {
            record["request"] == **id && record["account"] == "desk" && record["code"] == code
        });
        assert!(found, "no line for request {id} with code {code} in\n{log}");
    }
    for secret in [DESK_KEY, NIGHT_KEY, OPERATOR_TOKEN, PEER_TOKEN, "no-such-key"] {
        assert!(!log.contains(secret), "{secret} in\n{log}");
    }
}
