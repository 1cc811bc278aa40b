//! Complete events are found regardless of how the bytes are split into chunks.

use sesamewind_gateway::sse::{EventScanner, MAX_EVENT_BYTES};
use sesamewind_seeded::Cases;

#[test]
fn events_are_found() {
    struct Case {
        name: &'static str,
        bytes: &'static str,
        whole: &'static str,
        last: Option<&'static str>,
        events: u64,
    }
    let cases = [
        Case { name: "nothing", bytes: "", whole: "", last: None, events: 0 },
        Case { name: "part of one", bytes: "id: 1\ndata: x\n", whole: "", last: None, events: 0 },
        Case {
            name: "one",
            bytes: "id: 1\ndata: x\n\n",
            whole: "id: 1\ndata: x\n\n",
            last: Some("1"),
            events: 1,
        },
        Case {
            name: "one and part of the next",
            bytes: "id: 1\ndata: x\n\nid: 2\nda",
            whole: "id: 1\ndata: x\n\n",
            last: Some("1"),
            events: 1,
        },
        Case {
            name: "carriage returns",
            bytes: "id: 7\r\ndata: x\r\n\r\n",
            whole: "id: 7\r\ndata: x\r\n\r\n",
            last: Some("7"),
            events: 1,
        },
        Case {
            name: "a field before the identifier",
            bytes: "weights-version: 3\nid: 9\ndata: x\n\n",
            whole: "weights-version: 3\nid: 9\ndata: x\n\n",
            last: Some("9"),
            events: 1,
        },
        Case {
            name: "comments and blank lines",
            bytes: ": x\n\n\n\nid: 1\ndata: x\n\n:\n\n",
            whole: ": x\n\n\n\nid: 1\ndata: x\n\n:\n\n",
            last: Some("1"),
            events: 1,
        },
    ];
    for case in cases {
        for step in 1..=case.bytes.len().max(1) {
            let mut scanner = EventScanner::default();
            let mut whole = Vec::new();
            for chunk in case.bytes.as_bytes().chunks(step) {
                whole.extend(scanner.push(chunk).expect("short events"));
            }
            assert_eq!(whole, case.whole.as_bytes(), "{} by {step}", case.name);
            assert_eq!(scanner.last_id(), case.last, "{} by {step}", case.name);
            assert_eq!(scanner.events(), case.events, "{} by {step}", case.name);
        }
    }
}

/// Guards against taking blank lines for an incomplete event, and the reverse.
#[test]
fn only_an_event_that_has_begun_is_incomplete() {
    let cases = [
        ("", true),
        ("data: x\n\n", true),
        ("data: x\n\n\n", true),
        ("data: x\r\n\r\n\r\n", true),
        ("data: x\n\n\n:", false),
        ("data: x\n\nd", false),
        ("data: x\n", false),
        ("data: x\r\n\r", false),
    ];
    for (bytes, is_between) in cases {
        for step in 1..=bytes.len().max(1) {
            let mut scanner = EventScanner::default();
            for chunk in bytes.as_bytes().chunks(step) {
                scanner.push(chunk).expect("short events");
            }
            assert_eq!(scanner.is_between_events(), is_between, "{bytes:?} by {step}");
        }
    }
}

/// For any input, no byte is lost, added or repeated, and the split into chunks makes no
/// difference.
#[test]
fn input_bytes_are_output_exactly_once() {
    let cases = Cases { count: 1_000, bytes: 256 };
    cases.check(bolero::produce::<(u8, Vec<u8>)>(), |seed, (step, bytes)| {
        let bytes: Vec<u8> =
            bytes.iter().map(|byte| b"\n\r\nid: 1x"[usize::from(byte % 9)]).collect();
        let mut chunked = EventScanner::default();
        let mut whole = Vec::new();
        for chunk in bytes.chunks(usize::from(step % 7) + 1) {
            whole.extend(chunked.push(chunk).expect("short events"));
        }
        let mut once = EventScanner::default();
        assert_eq!(whole, once.push(&bytes).expect("short events"), "seed {seed}");
        assert_eq!(chunked.last_id(), once.last_id(), "seed {seed}");
        whole.extend_from_slice(chunked.partial());
        assert_eq!(whole, bytes, "seed {seed}");
    });
}

/// Guards against an event without end that fills the memory.
#[test]
fn an_event_that_is_too_long_is_an_error() {
    struct Case {
        name: &'static str,
        start: &'static str,
        block: &'static str,
        is_error: bool,
    }
    let cases = [
        Case { name: "data", start: "data: ", block: "x", is_error: true },
        Case { name: "lines", start: "", block: "data: x\n", is_error: true },
        Case { name: "comment", start: ":", block: "x", is_error: true },
        Case { name: "after an event", start: "data: x\n\n", block: "x", is_error: true },
        Case { name: "events", start: "", block: "data: x\n\n", is_error: false },
    ];
    for case in cases {
        let mut scanner = EventScanner::default();
        let mut result = scanner.push(case.start.as_bytes());
        let block = case.block.repeat(1_000);
        for _ in 0..200 {
            if result.is_ok() {
                result = scanner.push(block.as_bytes());
                assert!(scanner.partial().len() <= 2 * MAX_EVENT_BYTES, "{}", case.name);
            }
        }
        assert_eq!(result.is_err(), case.is_error, "{}", case.name);
    }
}

/// Guards against losing events that arrive together with one that is too long.
#[test]
fn events_before_one_that_is_too_long_are_returned() {
    let mut scanner = EventScanner::default();
    let first = "id: 1\ndata: x\n\n";
    let whole = scanner.push(format!("{first}{}", "x".repeat(2 * MAX_EVENT_BYTES)).as_bytes());
    assert_eq!(whole.expect("the first event"), first.as_bytes());
    assert_eq!(scanner.last_id(), Some("1"));
    assert!(scanner.push(b"x").is_err());
}
