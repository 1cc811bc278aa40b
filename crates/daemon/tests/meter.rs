//! Tests the measurements of an attempt.

use std::time::Duration;

use sesamewind_daemon::answer::Ending;
use sesamewind_daemon::meter::Meter;
use sesamewind_daemon::metrics::Metrics;
use sesamewind_daemon::problem::Problem;
use sesamewind_protocol::{AccountId, Code, RequestKey, ServiceId, Time, VersionId};

#[test]
fn waits_and_tokens_are_measured_by_tier() {
    let metrics = Metrics::new();
    let at = |millis| Time::from_millis(1_000) + Duration::from_millis(millis);
    let (account, service) = (AccountId::new("desk"), ServiceId::new("assistant"));
    let mut meter = Meter::new(RequestKey(1, 2), &account, &service, "urgent", at(0));
    let version = VersionId::new("v1");
    meter.dispatched(&version, &metrics, at(250));
    // A second dispatch is counted, but the queue wait ended with the first one.
    meter.dispatched(&version, &metrics, at(500));
    meter.tokens(0, &metrics, at(600));
    meter.tokens(1, &metrics, at(750));
    // Four tokens that arrive together are one observation, of the time per token.
    meter.tokens(4, &metrics, at(1_250));
    meter.ended(&Ending::Complete, &metrics);
    meter.ended(&Ending::Problem(Problem::unknown(Code::AnswerBroken, "")), &metrics);
    let text = metrics.encode();
    for line in [
        "sesamewind_dispatches_total{service=\"assistant\",version=\"v1\"} 2",
        "sesamewind_queue_wait_seconds_count{tier=\"urgent\"} 1",
        "sesamewind_queue_wait_seconds_sum{tier=\"urgent\"} 0.25",
        "sesamewind_first_token_seconds_count{tier=\"urgent\"} 1",
        "sesamewind_first_token_seconds_sum{tier=\"urgent\"} 0.75",
        "sesamewind_between_tokens_seconds_count{tier=\"urgent\"} 1",
        "sesamewind_between_tokens_seconds_sum{tier=\"urgent\"} 0.125",
        "sesamewind_refusals_total{code=\"1301\",reason=\"answer-broken\"} 1",
    ] {
        assert!(text.lines().any(|got| got == line), "no {line} in\n{text}");
    }
}
