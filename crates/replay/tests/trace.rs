//! Tests of the trace parser: valid input, and errors with line and column.

use sesamewind_replay::generate;
use sesamewind_replay::scenario::Scenario;
use sesamewind_replay::trace::{COLUMNS, TraceError, read};

const GOOD: &str = "5,a,urgent,assistant,reply,k1,0,p,10,40,20,4000";

fn with_lines(lines: &[&str]) -> String {
    let mut text = COLUMNS.join(",") + "\n";
    for line in lines {
        text += &format!("{line}\n");
    }
    text
}

#[test]
fn malformed_traces_are_refused_with_line_and_column() {
    struct Case {
        name: &'static str,
        text: String,
        line: u64,
        column: usize,
    }
    let line = |name, second: &str, column| {
        let text = with_lines(&[GOOD, second]);
        Case { name, text, line: 3, column }
    };
    let cases = [
        Case { name: "empty", text: String::new(), line: 1, column: 1 },
        Case {
            name: "header",
            text: COLUMNS.join(",").replace("tier", "rank"),
            line: 1,
            column: 3,
        },
        Case { name: "spare column", text: COLUMNS.join(",") + ",more", line: 1, column: 13 },
        line("time", "x,a,urgent,s,reply,k2,0,,0,40,20,4000", 1),
        line("negative time", "-1,a,urgent,s,reply,k2,0,,0,40,20,4000", 1),
        line("time goes back", "4,a,urgent,s,reply,k2,0,,0,40,20,4000", 1),
        line("no account", "5,,urgent,s,reply,k2,0,,0,40,20,4000", 2),
        line("not ASCII", "5,a,urg\u{eb}nt,s,reply,k2,0,,0,40,20,4000", 3),
        line("no service", "5,a,urgent,,reply,k2,0,,0,40,20,4000", 4),
        line("no route", "5,a,urgent,s,,k2,0,,0,40,20,4000", 5),
        line("no key", "5,a,urgent,s,reply,,0,,0,40,20,4000", 6),
        line("attempt", "5,a,urgent,s,reply,k2,first,,0,40,20,4000", 7),
        line("attempt again", "5,a,urgent,s,reply,k1,0,,0,40,20,4000", 7),
        line("prefix without name", "5,a,urgent,s,reply,k2,0,,9,40,20,4000", 8),
        line("prefix too long", "5,a,urgent,s,reply,k2,0,p,41,40,20,4000", 9),
        line("prompt", "5,a,urgent,s,reply,k2,0,p,1,99999999999,20,4000", 10),
        line("output", "5,a,urgent,s,reply,k2,0,p,1,40,2.5,4000", 11),
        line("no timeout", "5,a,urgent,s,reply,k2,0,p,1,40,20,0", 12),
        line("too few cells", "5,a,urgent,s,reply,k2,0,p,1,40,20", 12),
        line("too many cells", "5,a,urgent,s,reply,k2,0,p,1,40,20,4000,1", 13),
    ];
    for case in cases {
        let TraceError { line, column, .. } = read(case.text.as_bytes()).unwrap_err();
        assert_eq!((line, column), (case.line, case.column), "{}", case.name);
    }
    let mut bytes = with_lines(&[GOOD]).into_bytes();
    bytes.extend_from_slice(b"5,a,\xff,s,reply,k2,0,,0,40,20,4000\n");
    let TraceError { line, column, .. } = read(&bytes).unwrap_err();
    assert_eq!((line, column), (3, 3), "not UTF-8");
}

#[test]
fn a_good_trace_is_read_whole() {
    let text = with_lines(&[GOOD, "7,a,urgent,s,POST /x,k1,1,,0,0,0,10"]);
    let entries = read(text.as_bytes()).unwrap();
    let seen: Vec<_> = entries.iter().map(|e| (e.at_ms, e.attempt, e.route.as_str())).collect();
    assert_eq!(seen, [(5, 0, "reply"), (7, 1, "POST /x")]);
}

#[test]
fn the_committed_traces_match_the_generator_and_their_scenarios() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/");
    for workload in [generate::bomba(), generate::derwent()] {
        let path = format!("{directory}{}", workload.file);
        let bytes = std::fs::read(&path).unwrap();
        assert!(bytes == generate::trace(&workload).as_bytes(), "{path} differs");
        let entries = read(&bytes).unwrap();
        let text = std::fs::read_to_string(path.replace(".csv", ".toml")).unwrap();
        let scenario = Scenario::parse(&text).unwrap();
        scenario.check_trace(&entries).unwrap();
        let longest = entries.iter().map(|entry| entry.prompt_tokens).max().unwrap();
        let nonzero = entries.iter().map(|entry| entry.prompt_tokens).filter(|tokens| *tokens > 0);
        assert!(longest >= 100 * nonzero.min().unwrap(), "{path}: lengths");
    }
}
