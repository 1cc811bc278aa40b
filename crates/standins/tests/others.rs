//! Tests of the plain service, the platform and the fault proxy.

use std::time::Duration;

use serde_json::{Value, json};
use sesamewind_standins::{
    FaultProxy, Flow, Platform, PlatformOptions, RunEnd, Service, ServiceOptions, Side,
    TargetEntry, answer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_run_is_logged_even_if_its_answer_is_lost() {
    struct Case {
        name: &'static str,
        set: fn(&Service),
        status: Option<u16>,
        ends: &'static [RunEnd],
    }
    let cases = [
        Case { name: "answered", set: |_| {}, status: Some(200), ends: &[RunEnd::Answered] },
        Case {
            name: "lost",
            set: |service| service.lose_answers(1),
            status: None,
            ends: &[RunEnd::AnswerLost],
        },
        Case {
            name: "failed",
            set: |service| service.fail(true),
            status: Some(500),
            ends: &[RunEnd::Failed],
        },
        Case { name: "refused", set: |service| service.refuse(true), status: Some(503), ends: &[] },
    ];
    for case in cases {
        let service = Service::start(ServiceOptions::default()).await;
        (case.set)(&service);
        let url = format!("http://{}/deposits/7", service.addr());
        let call = reqwest::Client::new().post(url).header("x-request-id", "r1").body("abc");
        let response = call.send().await.ok();
        assert_eq!(response.as_ref().map(|r| r.status().as_u16()), case.status, "{}", case.name);
        let log = service.log();
        let ends: Vec<RunEnd> = log.runs.iter().map(|run| run.end).collect();
        assert_eq!(ends, case.ends, "{}", case.name);
        if case.status == Some(200) {
            let want = answer::service_body("r1", "POST", "/deposits/7");
            assert_eq!(response.unwrap().text().await.unwrap(), want);
            assert_eq!((log.runs[0].bytes, log.run_count("r1")), (3, 1));
        }
    }
}

async fn put(platform: &Platform, key: &str, expected: u64, value: u64) -> Option<(u16, Value)> {
    let url = format!("http://{}/table/{key}", platform.addr());
    let body = json!({"expected": expected, "value": value}).to_string();
    let response = reqwest::Client::new().put(url).body(body).send().await.ok()?;
    let status = response.status().as_u16();
    Some((status, serde_json::from_str(&response.text().await.ok()?).unwrap_or(Value::Null)))
}

async fn get(platform: &Platform, path: &str) -> (u16, Value) {
    let response = reqwest::get(format!("http://{}{path}", platform.addr())).await.unwrap();
    let status = response.status().as_u16();
    (status, serde_json::from_str(&response.text().await.unwrap()).unwrap_or(Value::Null))
}

#[tokio::test]
async fn the_table_writes_only_against_the_expected_revision() {
    let platform = Platform::start(PlatformOptions::default()).await;
    assert_eq!(get(&platform, "/table/config").await.0, 404);
    assert_eq!(put(&platform, "config", 0, 1).await, Some((200, json!({"revision": 1}))));
    let conflict = Some((409, json!({"revision": 1, "value": 1})));
    assert_eq!(put(&platform, "config", 0, 2).await, conflict);
    assert_eq!(put(&platform, "config", 1, 3).await, Some((200, json!({"revision": 2}))));
    assert_eq!(get(&platform, "/table/config").await, (200, json!({"revision": 2, "value": 3})));
    put(&platform, "lease%2Fa", 0, 4).await;
    let rows = json!({"rows": [{"key": "lease/a", "revision": 1, "value": 4}]});
    assert_eq!(get(&platform, "/table?prefix=lease").await, (200, rows));
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_took_effect() {
    let platform = Platform::start(PlatformOptions::default()).await;
    platform.lose_answers(1);
    assert_eq!(put(&platform, "config", 0, 1).await, None);
    assert_eq!(platform.row("config").map(|row| row.revision), Some(1));
    assert_eq!(put(&platform, "config", 1, 2).await, Some((200, json!({"revision": 2}))));
}

#[tokio::test]
async fn the_platform_fails_on_demand_and_counts_calls() {
    let platform = Platform::start(PlatformOptions::default()).await;
    platform.down(true);
    assert_eq!(get(&platform, "/list").await.0, 503);
    platform.down(false);
    platform.rate_limit(Some(1));
    assert_eq!(get(&platform, "/list").await.0, 429);
    platform.rate_limit(None);
    platform.list_lag(Duration::from_secs(3_600));
    let target = |state: &str| TargetEntry { name: "e1".to_owned(), state: state.to_owned() };
    platform.set_targets(vec![target("live")]);
    platform.set_targets(vec![target("leaving")]);
    assert_eq!(get(&platform, "/list").await.1["targets"][0]["state"], "live");
    platform.list_lag(Duration::ZERO);
    assert_eq!(get(&platform, "/list").await.1["targets"][0]["state"], "leaving");
    platform.put_object("abc", "content");
    assert_eq!(get(&platform, "/objects/abc").await.0, 200);
    assert_eq!(platform.calls_per_second().values().sum::<u64>(), 5);
}

/// Returns a proxy in front of an echo server.
async fn echo() -> FaultProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    FaultProxy::start(addr).await
}

/// Returns whether a byte is echoed within `limit`.
async fn echoes(stream: &mut TcpStream, limit: Duration) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    matches!(tokio::time::timeout(limit, stream.read_exact(&mut byte)).await, Ok(Ok(_)))
}

#[tokio::test]
async fn the_flow_applies_to_the_chosen_open_and_new_connections() {
    struct Case {
        name: &'static str,
        set: fn(&FaultProxy),
        open: bool,
        new: bool,
    }
    let cases = [
        Case { name: "pass", set: |_| {}, open: true, new: true },
        Case { name: "open up", set: |p| p.set_open(Side::Up, Flow::Drop), open: false, new: true },
        Case {
            name: "open down",
            set: |p| p.set_open(Side::Down, Flow::Drop),
            open: false,
            new: true,
        },
        Case { name: "new", set: |p| p.set_new(Side::Both, Flow::Drop), open: true, new: false },
        Case { name: "all", set: |p| p.set(Side::Up, Flow::Drop), open: false, new: false },
        Case { name: "freeze", set: |p| p.set(Side::Down, Flow::Freeze), open: false, new: false },
    ];
    let long = Duration::from_secs(20);
    let short = Duration::from_millis(200);
    for case in cases {
        let proxy = echo().await;
        let mut open = TcpStream::connect(proxy.addr()).await.unwrap();
        assert!(echoes(&mut open, long).await, "{}", case.name);
        (case.set)(&proxy);
        let limit = if case.open { long } else { short };
        assert_eq!(echoes(&mut open, limit).await, case.open, "{} open", case.name);
        let mut new = TcpStream::connect(proxy.addr()).await.unwrap();
        let limit = if case.new { long } else { short };
        assert_eq!(echoes(&mut new, limit).await, case.new, "{} new", case.name);
    }
}

#[tokio::test]
async fn frozen_bytes_arrive_once_the_flow_passes_again() {
    let proxy = echo().await;
    let mut open = TcpStream::connect(proxy.addr()).await.unwrap();
    proxy.set(Side::Up, Flow::Freeze);
    assert!(!echoes(&mut open, Duration::from_millis(100)).await);
    proxy.set(Side::Up, Flow::Pass);
    let mut byte = [0];
    open.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"x");
}

#[tokio::test]
async fn a_cut_closes_and_refuses_connections_until_restored() {
    let proxy = echo().await;
    let mut open = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(echoes(&mut open, Duration::from_secs(20)).await);
    proxy.cut().await;
    assert!(!echoes(&mut open, Duration::from_secs(20)).await);
    assert!(TcpStream::connect(proxy.addr()).await.is_err());
    proxy.restore().await;
    let mut new = TcpStream::connect(proxy.addr()).await.unwrap();
    assert!(echoes(&mut new, Duration::from_secs(20)).await);
}

#[tokio::test]
async fn the_delay_applies_to_each_direction() {
    let proxy = echo().await;
    proxy.delay(Duration::from_millis(30));
    let mut open = TcpStream::connect(proxy.addr()).await.unwrap();
    let start = std::time::Instant::now();
    assert!(echoes(&mut open, Duration::from_secs(20)).await);
    assert!(start.elapsed() >= Duration::from_millis(60));
}
