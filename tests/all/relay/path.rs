//! Tests of the path of a request from the caller through the gateway to a target, and of the
//! response.

use sesamewind_adapter::names;
use sesamewind_standins::relay::{body, event};

use super::testbed::{KEY, Testbed};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_and_a_call_are_served_unchanged() {
    let testbed = Testbed::start(1, 1).await;
    let (id, answer) = testbed.send("/talk/a?b=c").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()[names::SEAL], "seal-of-i-m0");
    let want: String = (1..=5).map(|number| event(&id, number)).collect();
    assert_eq!(answer.text().await.expect("a whole stream"), want);

    let (id, answer) = testbed.send("/pay/x").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()[names::SEAL], "seal-of-i-p0");
    assert_eq!(answer.text().await.expect("a whole answer"), body(&id));

    let received = testbed.models[0].received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].line, "POST /talk/a?b=c");
    assert_eq!(received[0].body, "the body");
    assert_eq!(received[0].header(names::EXPECT_TARGET), "i-m0");
    assert_eq!(received[0].header(names::ACCOUNT), "one");
    assert_eq!(received[0].header("authorization"), "");
    let remaining: u64 = received[0].header(names::DEADLINE).parse().expect("a number");
    assert!((1..=5_000).contains(&remaining), "{remaining}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_the_configuration_does_not_allow_is_rejected() {
    struct Case {
        name: &'static str,
        path: &'static str,
        host: &'static str,
        key: &'static str,
        want: u16,
    }
    let good = Case { name: "good", path: "/read/x", host: "h.example", key: KEY, want: 200 };
    let cases = [
        Case { name: "no such path", path: "/none/x", want: 404, ..good },
        Case { name: "prefix without its slash", path: "/read", want: 404, ..good },
        Case { name: "no such host", host: "other.example", want: 404, ..good },
        Case { name: "no such key", key: "forged", want: 401, ..good },
        good,
    ];
    let testbed = Testbed::start(0, 1).await;
    for case in &cases {
        let (_, request) = testbed.request(case.path);
        let mut request = request.build().expect("a request");
        let headers = request.headers_mut();
        headers.insert("host", case.host.parse().expect("a host"));
        let key = format!("{}{}", names::KEY_SCHEME, case.key);
        headers.insert("authorization", key.parse().expect("a key"));
        let answer = reqwest::Client::new().execute(request).await.expect("an answer");
        assert_eq!(answer.status(), case.want, "{}", case.name);
    }
    assert_eq!(testbed.plains[0].received().len(), 1, "only the valid request reached a target");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_over_the_limit_is_rejected() {
    let testbed = Testbed::start(0, 1).await;
    let (_, request) = testbed.request("/pay/x");
    let answer = request.body(vec![b'x'; 70_000]).send().await.expect("an answer");
    assert_eq!(answer.status(), 413);
    assert!(testbed.plains[0].received().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_are_served_and_hold_no_key() {
    let testbed = Testbed::start(1, 1).await;
    let (_, answer) = testbed.send("/read/x").await;
    assert_eq!(answer.status(), 200);
    let url = format!("http://{}/metrics", testbed.gateway.inner);
    let text = reqwest::get(url).await.expect("metrics").text().await.expect("text");
    assert!(
        text.contains("sesamewind_requests_total{route=\"read\",outcome=\"served\"} 1"),
        "{text}"
    );
    assert!(text.contains("sesamewind_first_byte_seconds_bucket"), "{text}");
    assert!(!text.contains(KEY));
    assert!(!testbed.gateway.log_text().contains(KEY));
    assert!(!testbed.gateway.log_text().contains("the body"));
}
