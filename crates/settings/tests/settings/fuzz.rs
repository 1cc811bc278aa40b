//! The parser never panics, whatever the text, and the settings that it accepts are within bounds.

use std::time::Duration;

use bolero::produce;
use sesamewind_seeded::Cases;
use sesamewind_settings::Settings;

use crate::parse::{MINIMAL, env};

/// Lines that are added to valid settings, most of them invalid.
const LINES: [&str; 12] = [
    "[traffic]",
    "[control]",
    "[stop]",
    "threads = 9999999999999",
    "queue_limit = -1",
    "body_limit = \"99999999999 EiB\"",
    "connect_timeout = \"99999999999999999999y\"",
    "heartbeat = \"18446744073709551615s\"",
    "suspect_after = \"1ns\"",
    "balancer_lag = \"0s\"",
    "modules = []",
    "deployment = 1979-05-27",
];

#[test]
fn any_text_is_read_or_refused() {
    Cases::default().check(produce(), |_, text: String| check(&text));
}

#[test]
fn damaged_settings_are_refused_or_within_bounds() {
    Cases::default().check(produce(), |_, (lines, at, garbage): (Vec<u8>, u16, String)| {
        let mut text = MINIMAL.to_owned();
        for line in lines.iter().take(6) {
            text.push_str(LINES[usize::from(*line) % LINES.len()]);
            text.push('\n');
        }
        check(&text);
        text.insert_str(usize::from(at) % text.len(), &garbage);
        check(&text);
    });
}

fn check(text: &str) {
    match Settings::parse(text, &env) {
        Ok(settings) => {
            assert!((1..=256).contains(&settings.traffic.threads));
            assert!(settings.traffic.body_limit > 0);
            assert!(settings.control.heartbeat > Duration::ZERO);
            assert!(settings.control.remove_after > settings.control.suspect_after);
            assert!(!settings.deployment.is_empty());
        }
        Err(faults) => assert!(!faults.as_slice().is_empty()),
    }
}
