//! Moves of a service to another version of its targets' software, through real processes.

use serde_json::json;
use sesamewind_adapter::names;
use sesamewind_standins::relay::{Behaviour, RelayTarget, Script, TargetOptions};

use super::world::{World, until};

/// What the store says of the move.
fn state(world: &World) -> Option<String> {
    let row =
        world.store.row(names::STATUS_TABLE, &format!("{}plain", names::ROLLOUT_KEY_PREFIX))?;
    Some(row["state"].as_str()?.to_owned())
}

/// Orders a move to a second version, whose target answers by `script`, and sends calls until the
/// store has an outcome. Returns the outcome and how many calls reached each version.
async fn play(script: Script, seconds: u64) -> (String, usize, usize) {
    let world = World::start(0, 1).await;
    let options = TargetOptions {
        id: "i-new".into(),
        service: "plain".into(),
        stream: false,
        version: "v2".into(),
        slots: 50,
        script,
        ..TargetOptions::default()
    };
    let new = RelayTarget::start(options, &world.store).await;
    world.listed(2).await;
    let order = json!({"service": "plain", "target": "v2", "durationS": seconds});
    world.store.put(names::OPERATOR_TABLE, &format!("{}plain", names::ROLLOUT_KEY_PREFIX), &order);
    until("the move is recorded as running", async || state(&world).is_some()).await;
    assert_eq!(state(&world).as_deref(), Some(names::ROLLOUT_RUNNING));
    until("the move has ended", async || {
        let calls = (0..20).map(|_| world.send("/pay/x"));
        futures_util::future::join_all(calls).await;
        state(&world).as_deref() != Some(names::ROLLOUT_RUNNING)
    })
    .await;
    let outcome = state(&world).expect("a state");
    (outcome, new.received().len(), world.plains[0].received().len())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_good_version_takes_over() {
    let (outcome, new, old) = play(Script::default(), 5).await;
    assert_eq!(outcome, names::ROLLOUT_COMPLETED);
    assert!(new > 0 && old > 0, "{new} new, {old} old");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failing_version_is_taken_back() {
    let script = Script::default();
    script.extend(&[Behaviour::Fail; 10_000]);
    let (outcome, new, old) = play(script, 30).await;
    assert_eq!(outcome, names::ROLLOUT_ROLLED_BACK);
    assert!(new as f64 <= 0.1 * (new + old) as f64 + 50.0, "{new} new, {old} old");
}
