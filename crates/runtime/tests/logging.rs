//! Log lines are JSON objects with the key-value pairs of their record and without secrets.

use std::io::Write;
use std::sync::{Arc, Mutex};

use log::kv::Value;
use log::{Level, LevelFilter, Log as _, Record};
use serde_json::json;
use sesamewind_protocol::{InstanceId, WallTime};
use sesamewind_runtime::logging::{dispatch, format_line};
use sesamewind_settings::{Log, Secret};

/// Shared buffer that replaces standard error.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().expect("not poisoned").clone();
        String::from_utf8(bytes).expect("UTF-8").lines().map(str::to_owned).collect()
    }
}

#[test]
fn a_line_is_one_json_object_with_its_pairs() {
    struct Case {
        name: &'static str,
        message: &'static str,
        pairs: Vec<(&'static str, Value<'static>)>,
        want: serde_json::Value,
    }
    let cases = [
        Case {
            name: "request, account and code",
            message: "refused",
            pairs: vec![
                ("request", Value::from("00ff")),
                ("account", Value::from("plumbers-east")),
                ("code", Value::from(1203)),
            ],
            want: json!({"message": "refused", "request": "00ff", "account": "plumbers-east",
                "code": 1203}),
        },
        Case {
            name: "line breaks stay inside the line",
            message: "first\nsecond \"quoted\"",
            pairs: vec![("reason", Value::from("a\nb"))],
            want: json!({"message": "first\nsecond \"quoted\"", "reason": "a\nb"}),
        },
        Case {
            name: "secrets are redacted",
            message: "call",
            pairs: vec![
                ("authorization", Value::from("Bearer abc")),
                ("Token", Value::from("abc")),
                ("first_token", Value::from(12)),
            ],
            want: json!({"message": "call", "authorization": "redacted", "Token": "redacted",
                "first_token": 12}),
        },
        Case {
            name: "a pair does not replace a member of the line",
            message: "x",
            pairs: vec![("time", Value::from(-5)), ("level", Value::from(true))],
            want: json!({"message": "x", "kv_time": -5, "kv_level": true}),
        },
    ];
    for case in cases {
        let line = format_line(
            &Record::builder()
                .args(format_args!("{}", case.message))
                .level(Level::Warn)
                .module_path(Some("sesamewind_daemon::callers"))
                .key_values(&case.pairs)
                .build(),
            &InstanceId::new("entry-1"),
            WallTime(1_000),
        );
        assert!(!line.contains('\n'), "{}: {line}", case.name);
        let mut want = case.want;
        want["time"] = json!("1970-01-01T00:00:01.000Z");
        want["level"] = json!("WARN");
        want["instance"] = json!("entry-1");
        want["module"] = json!("sesamewind_daemon::callers");
        let got: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        assert_eq!(got, want, "{}", case.name);
    }
}

#[test]
fn debug_of_a_secret_does_not_show_it() {
    let line = format_line(
        &Record::builder()
            .args(format_args!("settings {:?}", Secret::new("swordfish-token")))
            .level(Level::Info)
            .build(),
        &InstanceId::new("entry-1"),
        WallTime(u64::MAX),
    );
    assert!(line.contains("Secret(redacted)"), "{line}");
    assert!(!line.contains("swordfish"), "{line}");
}

#[test]
fn levels_hold_per_module() {
    let settings = Log {
        level: LevelFilter::Warn,
        modules: [("sesamewind_rollout".to_owned(), LevelFilter::Debug)].into(),
    };
    let buffer = Buffer::default();
    let output = fern::Output::writer(Box::new(buffer.clone()), "\n");
    let (_, logger) = dispatch(&settings, &InstanceId::new("entry-1"), output).into_log();
    let log = |module: &'static str, level: Level, message: &'static str| {
        logger.log(
            &Record::builder()
                .args(format_args!("{message}"))
                .level(level)
                .target(module)
                .module_path(Some(module))
                .build(),
        );
    };
    log("sesamewind_node", Level::Info, "left out");
    log("sesamewind_node", Level::Error, "first");
    log("sesamewind_rollout::steward", Level::Debug, "second");
    log("sesamewind_rollout", Level::Trace, "left out");
    let messages: Vec<String> = buffer
        .lines()
        .iter()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"))
        .map(|line| line["message"].as_str().expect("text").to_owned())
        .collect();
    assert_eq!(messages, ["first", "second"]);
}
