//! Tests of the engine stand-in.

use std::time::Duration;

use serde_json::{Value, json};
use sesamewind_protocol::target::LoadReport;
use sesamewind_standins::answer::{self, Check};
use sesamewind_standins::{DispatchEnd, Engine, EngineOptions, Side, VersionFault};

fn fast() -> EngineOptions {
    EngineOptions {
        prefill_tokens_per_s: 1_000_000.0,
        decode_tokens_per_s: 5_000.0,
        ..EngineOptions::default()
    }
}

fn slow() -> EngineOptions {
    EngineOptions { decode_tokens_per_s: 20.0, ..fast() }
}

fn post(engine: &Engine, request: &str, tokens: u32, streamed: bool) -> reqwest::RequestBuilder {
    let body = json!({"model": "assistant", "stream": streamed, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "hello"}]});
    reqwest::Client::new()
        .post(format!("http://{}/v1/chat/completions", engine.addr()))
        .header("x-request-id", request)
        .header("x-version", "v1")
        .body(body.to_string())
}

/// Returns the text of a server-sent event stream, the last event id, and whether the end marker
/// arrived.
fn read_events(body: &str) -> (String, u32, bool) {
    let mut text = String::new();
    let mut next = 0;
    let mut done = false;
    for line in body.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            next = id.parse().unwrap();
        }
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        text += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
    }
    (text, next, done)
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn streams_the_complete_answer() {
    let engine = Engine::start(fast()).await;
    let response = post(&engine, "r1", 50, true).send().await.unwrap();
    assert!(response.headers().contains_key("x-stream-id"));
    let (text, next, done) = read_events(&response.text().await.unwrap());
    assert_eq!((answer::check("r1", 50, &text), next, done), (Check::Whole, 50, true));
    until(|| engine.in_flight() == 0).await;
    let log = engine.log();
    assert_eq!(log.dispatch_count("r1"), 1);
    assert_eq!((log.dispatches[0].end, log.dispatches[0].produced), (DispatchEnd::Complete, 50));
}

#[tokio::test]
async fn answers_without_streaming() {
    let engine = Engine::start(fast()).await;
    let body = post(&engine, "r1", 7, false).send().await.unwrap().text().await.unwrap();
    let body: Value = serde_json::from_str(&body).unwrap();
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(answer::check("r1", 7, text), Check::Whole);
}

#[tokio::test]
async fn resumes_from_a_token_after_the_connection_is_lost() {
    let engine = Engine::start(EngineOptions { decode_tokens_per_s: 200.0, ..fast() }).await;
    let mut response = post(&engine, "r1", 40, true).send().await.unwrap();
    let id = response.headers()["x-stream-id"].to_str().unwrap().to_owned();
    let first = response.chunk().await.unwrap().unwrap();
    let (mut text, next, _) = read_events(std::str::from_utf8(&first).unwrap());
    engine.proxy().close_open().await;
    drop(response);
    let url = format!("http://{}/v1/streams/{id}?from={next}", engine.addr());
    let rest = reqwest::get(url).await.unwrap().text().await.unwrap();
    let (more, _, done) = read_events(&rest);
    text += &more;
    assert_eq!((answer::check("r1", 40, &text), done), (Check::Whole, true));
    assert_eq!(engine.log().dispatch_count("r1"), 1);
}

#[tokio::test]
async fn cancel_ends_the_stream_without_its_end_marker() {
    let engine = Engine::start(slow()).await;
    let response = post(&engine, "r1", 1_000, true).send().await.unwrap();
    let id = response.headers()["x-stream-id"].to_str().unwrap().to_owned();
    let url = format!("http://{}/v1/streams/{id}", engine.addr());
    reqwest::Client::new().delete(url).send().await.unwrap();
    assert!(response.text().await.is_err());
    until(|| engine.in_flight() == 0).await;
    assert_eq!(engine.dispatches()[0].end, DispatchEnd::Cancelled);
}

#[tokio::test]
async fn a_stream_without_readers_is_abandoned() {
    let options = EngineOptions { abandon_after: Duration::from_millis(20), ..slow() };
    let engine = Engine::start(options).await;
    drop(post(&engine, "r1", 1_000, true).send().await.unwrap());
    until(|| engine.in_flight() == 0).await;
    assert_eq!(engine.dispatches()[0].end, DispatchEnd::Abandoned);
}

#[tokio::test]
async fn cached_prefixes_are_not_prefilled_again_until_evicted() {
    let engine = Engine::start(EngineOptions { cache_tokens: 1_000, ..fast() }).await;
    for (request, prefix) in [("r1", "a"), ("r2", "a"), ("r3", "b"), ("r4", "a")] {
        let call = post(&engine, request, 1, false).header("x-prompt-tokens", "700");
        let call = call.header("x-prefix", prefix).header("x-prefix-tokens", "600");
        assert!(call.send().await.unwrap().status().is_success());
    }
    let hits: Vec<u32> = engine.dispatches().iter().map(|entry| entry.cache_hit).collect();
    assert_eq!(hits, [0, 600, 0, 0]);
    assert_eq!(engine.log().prefill_total(), 700 + 100 + 700 + 700);
    let url = format!("http://{}/events?after=1", engine.addr());
    let body = reqwest::get(url).await.unwrap().text().await.unwrap();
    let body: Value = serde_json::from_str(&body).unwrap();
    let seqs: Vec<u64> =
        body["events"].as_array().unwrap().iter().map(|e| e["seq"].as_u64().unwrap()).collect();
    assert_eq!(seqs, [2, 3, 4, 5]);
}

#[tokio::test]
async fn refuses_before_running() {
    struct Case {
        name: &'static str,
        refuse: bool,
        version: &'static str,
        dispatched: usize,
    }
    let cases = [
        Case { name: "refusing", refuse: true, version: "v1", dispatched: 0 },
        Case { name: "version not loaded", refuse: false, version: "v9", dispatched: 0 },
        Case { name: "served", refuse: false, version: "v1", dispatched: 1 },
    ];
    for case in cases {
        let engine = Engine::start(fast()).await;
        engine.refuse(case.refuse);
        let mut call = post(&engine, "r1", 1, false).build().unwrap();
        call.headers_mut().insert("x-version", case.version.parse().unwrap());
        let response = reqwest::Client::new().execute(call).await.unwrap();
        let refused = response.headers().contains_key("x-not-run");
        assert_eq!(refused, case.dispatched == 0, "{}", case.name);
        assert_eq!(engine.log().dispatch_count("r1"), case.dispatched, "{}", case.name);
    }
}

#[tokio::test]
async fn a_version_fault_applies_only_to_matching_requests() {
    struct Case {
        name: &'static str,
        fault: VersionFault,
        fails: bool,
    }
    let all = VersionFault { fail_share: 1.0, ..VersionFault::default() };
    let route = |name: &str| Some(name.to_owned());
    let cases = [
        Case { name: "outright", fault: all.clone(), fails: true },
        Case {
            name: "later",
            fault: VersionFault { from_s: 3_600.0, ..all.clone() },
            fails: false,
        },
        Case {
            name: "under load",
            fault: VersionFault { above_load: Some(0.5), ..all.clone() },
            fails: false,
        },
        Case {
            name: "its route",
            fault: VersionFault { route: route("quote"), ..all.clone() },
            fails: true,
        },
        Case {
            name: "other route",
            fault: VersionFault { route: route("reply"), ..all },
            fails: false,
        },
    ];
    for case in cases {
        let engine = Engine::start(fast()).await;
        engine.misbehave("v1", Some(case.fault));
        let call = post(&engine, "r1", 1, false).header("x-route", "quote");
        let failed = !call.send().await.unwrap().status().is_success();
        assert_eq!(failed, case.fails, "{}", case.name);
        assert_eq!(engine.log().dispatch_count("r1"), 1, "{}", case.name);
    }
}

async fn order(engine: &Engine, fence: u64, order: &str, version: &str) -> u16 {
    let body = json!({"fence": fence, "order": order, "version": version}).to_string();
    let url = format!("http://{}/orders", engine.addr());
    reqwest::Client::new().post(url).body(body).send().await.unwrap().status().as_u16()
}

async fn load(engine: &Engine) -> LoadReport {
    let body = reqwest::get(format!("http://{}/load", engine.addr())).await.unwrap();
    serde_json::from_str(&body.text().await.unwrap()).unwrap()
}

#[tokio::test]
async fn orders_with_old_fencing_numbers_are_refused_if_checked() {
    for (checks_fence, status, harmful) in [(true, 409, 0), (false, 200, 1)] {
        let options = EngineOptions { checks_fence, load_time: Duration::from_millis(1), ..fast() };
        let engine = Engine::start(options).await;
        assert_eq!(order(&engine, 5, "load", "v2").await, 200);
        while load(&engine).await.versions.len() < 2 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        assert_eq!(order(&engine, 4, "unload", "v1").await, status);
        assert_eq!(engine.log().harmful_orders(), harmful);
        assert_eq!(order(&engine, 5, "unload", "v2").await, 200);
        assert_eq!(engine.log().harmful_orders(), harmful, "an unused version may be unloaded");
    }
}

#[tokio::test]
async fn load_reports_lag_and_show_when_the_engine_is_leaving() {
    let lagging = EngineOptions { report_lag: Duration::from_secs(3_600), ..fast() };
    for (options, seen) in [(fast(), true), (lagging, false)] {
        let engine = Engine::start(options).await;
        load(&engine).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.leave(true);
        assert_eq!(load(&engine).await.leaving, seen);
        post(&engine, "r1", 1, false).send().await.unwrap();
        assert!(engine.dispatches()[0].leaving);
    }
}

#[tokio::test]
async fn a_killed_engine_refuses_connections_and_restarts_as_another_incarnation() {
    let engine = Engine::start(slow()).await;
    let before = load(&engine).await.incarnation;
    let response = post(&engine, "r1", 1_000, true).send().await.unwrap();
    engine.kill().await;
    assert!(response.text().await.is_err());
    assert!(post(&engine, "r2", 1, false).send().await.unwrap_err().is_connect());
    until(|| engine.in_flight() == 0).await;
    assert_eq!(engine.dispatches()[0].end, DispatchEnd::Killed);
    tokio::time::sleep(Duration::from_millis(2)).await;
    engine.revive().await;
    assert!(load(&engine).await.incarnation > before);
    assert_eq!(engine.log().dispatch_count("r2"), 0);
}

#[tokio::test]
async fn silence_on_open_connections_leaves_new_ones_working() {
    let engine = Engine::start(fast()).await;
    let client = reqwest::Client::new();
    let url = format!("http://{}/load", engine.addr());
    client.get(&url).send().await.unwrap().text().await.unwrap();
    engine.silence_open(Side::Down);
    let pooled = tokio::time::timeout(Duration::from_millis(200), client.get(&url).send()).await;
    assert!(pooled.is_err(), "the pooled connection is silent");
    assert!(reqwest::get(&url).await.unwrap().status().is_success());
}
