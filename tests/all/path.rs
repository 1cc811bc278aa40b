//! The path of a request: from the caller through a daemon to a target, and its answer.

use reqwest::Method;
use sesamewind_standins::answer;

use crate::caller::{ModelRequest, call};
use crate::deployment::Deployment;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn model_request_is_served_as_stream_and_as_one_body() {
    struct Case {
        name: &'static str,
        stream: bool,
    }
    let cases = [Case { name: "stream", stream: true }, Case { name: "one body", stream: false }];
    let deployment = Deployment::start(crate::deployment::Plan::default()).await;
    for case in cases {
        let request = ModelRequest { stream: case.stream, output: 40, ..ModelRequest::default() };
        let got = request.send(deployment.daemons[0].callers).await;
        assert_eq!(got.status, 200, "{}: {got:?}", case.name);
        got.assert_whole(40);
        assert_eq!(deployment.times_seen(&got.id), 1, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plain_call_is_passed_through() {
    let deployment = Deployment::start(crate::deployment::Plan::default()).await;
    let got =
        call(deployment.daemons[0].callers, Method::POST, "/deposits?x=1", Some("k1"), Some(0))
            .await;
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.text, answer::service_body(&got.id, "POST", "/deposits"));
    assert_eq!(deployment.times_seen(&got.id), 1);
}
