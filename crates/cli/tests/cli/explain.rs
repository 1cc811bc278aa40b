//! The trace of a request from log lines.

use sesamewind_cli::{Exit, RequestTrace};

use crate::fake::{File, tool};

const LINES: &str = r#"no log line
{"time":"2026-12-04T06:00:02Z","level":"WARN","instance":"b","module":"m","message":"x","event":"ended","request":"r1","outcome":"unknown"}
  12.3 node-a {"time":"2026-12-04T06:00:01Z","level":"INFO","instance":"a","module":"m","message":"x","event":"dispatched","request":"r1","target":"i-1","load":3}
{"time":"2026-12-04T06:00:01Z","event":"dispatched","request":"r10","target":"i-1"}
{"time":"2026-12-04T06:00:01Z","event":"peer_lost","peer":"r1"}
{"time":"broken","request":"r1"
"#;

#[test]
fn a_trace_holds_the_lines_of_the_request_in_order() {
    let mut trace = RequestTrace::new("r1");
    trace.read(LINES.as_bytes()).expect("text");
    trace.sort();
    let want = "request r1\n\
        2026-12-04T06:00:01Z  a  dispatched  load=3  target=i-1\n\
        2026-12-04T06:00:02Z  b  ended  outcome=unknown\n";
    assert_eq!(trace.text(), want);
}

#[tokio::test]
async fn the_command_reads_files_and_fails_if_no_line_matches() {
    let file = File::new("lines.log", LINES);
    let path = file.path();
    let shown = tool(&format!("explain r1 {path}")).await;
    assert_eq!(shown.exit, Exit::Ok, "{shown:?}");
    assert!(shown.out.contains("dispatched"), "{shown:?}");
    let none = tool(&format!("explain r7 {path}")).await;
    assert_eq!(none.exit, Exit::Usage, "{none:?}");
    assert!(none.err.contains("no line on request r7"), "{none:?}");
    let missing = tool("explain r1 /none/such").await;
    assert_eq!(missing.exit, Exit::Usage, "{missing:?}");
}
