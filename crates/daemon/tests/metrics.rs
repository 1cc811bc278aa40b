//! Tests that each update of a metric appears in the text output under its documented name.

use std::time::Duration;

use sesamewind_daemon::metrics::{Direction, Metrics, RETRY_REASONS};
use sesamewind_protocol::operator::{RefusalRow, RetryRow};
use sesamewind_protocol::{Code, Revision, ServiceId, VersionId};

fn retry(reason: &str, count: u64) -> RetryRow {
    RetryRow { reason: reason.to_owned(), count }
}

#[test]
fn every_update_shows_in_the_text() {
    struct Case {
        name: &'static str,
        update: fn(&Metrics),
        want: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "refusal",
            update: |metrics| metrics.refused(Code::QueueFull),
            want: &["sesamewind_refusals_total{code=\"1204\",reason=\"queue-full\"} 1"],
        },
        Case {
            name: "a served request is no refusal",
            update: |metrics| metrics.refused(Code::Ok),
            want: &["sesamewind_refusals_total{code=\"1204\",reason=\"queue-full\"} 0"],
        },
        Case {
            name: "retry",
            update: |metrics| {
                metrics.set_retries(&[retry("target-refused", 2), retry("unknown", 5)]);
                metrics.set_retries(&[retry("target-refused", 1)]);
            },
            want: &["sesamewind_retries_total{reason=\"target-refused\"} 2"],
        },
        Case {
            name: "dispatch",
            update: |metrics| metrics.dispatched(&ServiceId::new("chat"), &VersionId::new("v2")),
            want: &["sesamewind_dispatches_total{service=\"chat\",version=\"v2\"} 1"],
        },
        Case {
            name: "histograms",
            update: |metrics| {
                metrics.first_token("urgent", Duration::from_millis(300));
                metrics.between_tokens("urgent", Duration::from_millis(20));
                metrics.queue_wait("night", Duration::from_secs(4));
            },
            want: &[
                "sesamewind_first_token_seconds_sum{tier=\"urgent\"} 0.3",
                "sesamewind_first_token_seconds_bucket{le=\"0.256\",tier=\"urgent\"} 0",
                "sesamewind_first_token_seconds_bucket{le=\"0.512\",tier=\"urgent\"} 1",
                "sesamewind_between_tokens_seconds_count{tier=\"urgent\"} 1",
                "sesamewind_queue_wait_seconds_sum{tier=\"night\"} 4.0",
            ],
        },
        Case {
            name: "control",
            update: |metrics| {
                metrics.control(Direction::Sent, 40);
                metrics.control(Direction::Sent, 60);
                metrics.control(Direction::Received, 7);
            },
            want: &[
                "sesamewind_control_bytes_total{direction=\"sent\"} 100",
                "sesamewind_control_messages_total{direction=\"sent\"} 2",
                "sesamewind_control_bytes_total{direction=\"received\"} 7",
            ],
        },
        Case {
            name: "rollout",
            update: |metrics| metrics.rollout_changed(&ServiceId::new("chat"), "rolled-back"),
            want: &["sesamewind_rollout_changes_total{service=\"chat\",state=\"rolled-back\"} 1"],
        },
        Case {
            name: "gauges",
            update: |metrics| {
                metrics.set_load(3, 5);
                metrics.set_revision(Revision(12));
                metrics.answer_dropped();
            },
            want: &[
                "sesamewind_queued 3",
                "sesamewind_in_flight 5",
                "sesamewind_config_revision 12",
                "sesamewind_dropped_answers_total 1",
            ],
        },
    ];
    for case in cases {
        let metrics = Metrics::new();
        (case.update)(&metrics);
        let text = metrics.encode();
        for line in case.want {
            assert!(text.lines().any(|got| got == *line), "{}: no {line} in\n{text}", case.name);
        }
    }
}

#[test]
fn every_refusal_code_and_retry_reason_starts_at_zero() {
    let text = Metrics::new().encode();
    for code in Code::ALL.iter().filter(|code| **code != Code::Ok) {
        let line = format!(
            "sesamewind_refusals_total{{code=\"{}\",reason=\"{}\"}} 0",
            code.number(),
            code.slug()
        );
        assert!(text.lines().any(|got| got == line), "no {line}");
    }
    for reason in RETRY_REASONS {
        let line = format!("sesamewind_retries_total{{reason=\"{reason}\"}} 0");
        assert!(text.lines().any(|got| got == line), "no {line}");
    }
}

#[test]
fn refusals_for_operators_leave_out_zeros() {
    let metrics = Metrics::new();
    metrics.refused(Code::Forbidden);
    metrics.refused(Code::Forbidden);
    metrics.set_retries(&[retry("stream-silent", 1)]);
    let body = metrics.refusals();
    let refusal = RefusalRow { code: Code::Forbidden, reason: "forbidden".to_owned(), count: 2 };
    assert_eq!(body.refusals, [refusal]);
    assert_eq!(body.retries, [retry("stream-silent", 1)]);
}

#[test]
fn the_operators_page_names_only_metrics_that_exist() {
    let page = include_str!("../../../docs/OPERATING.md");
    let metrics = Metrics::new();
    let (service, version) = (ServiceId::new("chat"), VersionId::new("v2"));
    metrics.dispatched(&service, &version);
    metrics.rollout_changed(&service, "completed");
    metrics.control(Direction::Sent, 1);
    for observe in [Metrics::first_token, Metrics::between_tokens, Metrics::queue_wait] {
        observe(&metrics, "urgent", Duration::ZERO);
    }
    let text = metrics.encode();
    let names: Vec<&str> = page
        .split('`')
        .filter(|code| code.starts_with("sesamewind_") && !code.contains(' '))
        .map(|code| code.split('{').next().unwrap_or(code))
        .collect();
    assert!(names.len() >= 13, "{names:?}");
    for name in names {
        assert!(text.contains(&format!("\n{name}")), "no {name} in\n{text}");
    }
}
