//! Commands other than a submission, and help, usage errors and exit codes.

use serde_json::{Value, json};
use sesamewind_cli::Exit;
use sesamewind_protocol::operator::{
    INSTANCES_PATH, REFUSALS_PATH, ROLLOUTS_PATH, STATUS_PATH, TARGETS_PATH,
};

use crate::fake::{Fake, File, TOKEN, sheet, tool, tool_with};

#[tokio::test]
async fn bodies_are_shown_as_text_and_as_json() {
    struct Case {
        command: &'static str,
        path: &'static str,
        body: Value,
        /// Lines of the text, in order.
        want: &'static [&'static str],
    }
    let rollout = |id: &str, outcome: Value| {
        json!({"id": id, "service": "assistant", "from": "v1", "to": "v2", "state": "stage 2",
            "waits_for": "200 more requests on quote", "share": 0.25, "outcome": outcome,
            "reason": "quote failed 7 of 9", "at": 1_796_364_000_000_u64})
    };
    let cases = [
        Case {
            command: "rollouts",
            path: ROLLOUTS_PATH,
            body: json!({"rollouts": [
                rollout("r1", Value::Null),
                rollout("r2", json!("rolled-back")),
                rollout("r3", json!("completed")),
            ]}),
            want: &[
                "rollout  service    versions  state        share  since                 reason or wait",
                "r1       assistant  v1 -> v2  stage 2      25.0%  2026-12-04T06:00:00Z  \
                 200 more requests on quote",
                "r2       assistant  v1 -> v2  rolled back  25.0%  2026-12-04T06:00:00Z  \
                 quote failed 7 of 9",
                "r3       assistant  v1 -> v2  completed    25.0%  2026-12-04T06:00:00Z  \
                 quote failed 7 of 9",
            ],
        },
        Case {
            command: "targets",
            path: TARGETS_PATH,
            body: json!({"targets": [{"name": "engine-1", "service": "assistant", "zone": "a",
                "state": "live", "versions": ["v1", "v2"], "requests": 3, "tokens": 4000,
                "prefill_tokens_per_s": 8000.4, "decode_tokens_per_s": 60.0}]}),
            want: &[
                "target    service    zone  state  versions  requests  tokens  prefill/s  decode/s",
                "engine-1  assistant  a     live   v1 v2     3         4000    8000       60",
            ],
        },
        Case {
            command: "instances",
            path: INSTANCES_PATH,
            body: json!({"instances": [
                {"name": "entry-a1", "zone": "a", "state": "live", "revision": 12}]}),
            want: &["instance  zone  state  revision", "entry-a1  a     live   12"],
        },
        Case {
            command: "refusals",
            path: REFUSALS_PATH,
            body: json!({"refusals": [{"code": 1204, "reason": "queue-full", "count": 31}],
                "retries": [{"reason": "connect-failed", "count": 2}]}),
            want: &[
                "code  refusal     count",
                "1204  queue-full  31",
                "",
                "retry           count",
                "connect-failed  2",
            ],
        },
        Case {
            command: "status",
            path: STATUS_PATH,
            body: json!({"instance": "entry-a1", "zone": "a", "ready": false, "why": "no sheet",
                "revision": 0, "queued": 1, "in_flight": 2}),
            want: &[
                "instance entry-a1 in zone a: not ready: no sheet",
                "revision 0, 1 queued, 2 in flight",
            ],
        },
    ];
    for case in cases {
        let fake = Fake::start("").await;
        fake.body(case.path, case.body.clone());
        let ran = tool(&format!("--address {} {}", fake.address, case.command)).await;
        assert_eq!(ran.exit, Exit::Ok, "{}: {ran:?}", case.command);
        assert_eq!(ran.out.lines().collect::<Vec<_>>(), case.want, "{}", case.command);
        let ran = tool(&format!("{} --json --address {}", case.command, fake.address)).await;
        assert_eq!(ran.json(), case.body, "{}", case.command);
    }
}

#[tokio::test]
async fn the_sheet_is_checked_shown_and_compared() {
    let fake = Fake::start(&sheet("old")).await;
    let at = format!("--address {}", fake.address);
    let new = File::new("shown", &sheet("new"));

    let ran = tool(&format!("{at} sheet show")).await;
    assert_eq!((ran.exit, ran.out.as_str()), (Exit::Ok, sheet("old").as_str()));
    assert!(ran.err.starts_with("revision 7, hash "), "{ran:?}");

    let ran = tool(&format!("{at} sheet diff {}", new.path())).await;
    assert_eq!((ran.exit, ran.out.as_str()), (Exit::Ok, "removed tier old\nadded tier new\n"));
    let ran = tool(&format!("{at} --json sheet diff {}", new.path())).await;
    assert_eq!(
        ran.json(),
        json!({"revision": 7, "changes": ["removed tier old", "added tier new"]})
    );

    let ran = tool_with(&format!("sheet check {}", new.path()), &|_| None).await;
    let want = "no faults: 1 tiers, 0 accounts, 0 services, 0 targets, 0 rollouts\n";
    assert_eq!((ran.exit, ran.out.as_str()), (Exit::Ok, want));
}

#[tokio::test]
async fn a_check_lists_every_fault() {
    let rows = "tier,a,,,,,,0,,,,,,x,20000,,,,,\n".repeat(10);
    let columns = sesamewind_sheet::COLUMNS.join(",");
    let file = File::new("every", &format!("{columns}\n{rows}"));
    let ran = tool_with(&format!("sheet check {}", file.path()), &|_| None).await;
    assert_eq!(ran.exit, Exit::Refused);
    // Ten wrong numbers, and nine rows that repeat the first one's name and rank.
    assert!(ran.out.ends_with("28 faults; no part of the sheet was accepted\n"), "{}", ran.out);
    let ran = tool_with(&format!("sheet check {} --json", file.path()), &|_| None).await;
    assert_eq!(ran.json()["code"], json!(1401));
    assert_eq!(ran.json()["faults"].as_array().map(Vec::len), Some(28));
    assert_eq!(ran.json()["faults"][0]["row"], json!(2));
}

#[tokio::test]
async fn usage_and_failures_have_exit_codes() {
    struct Case {
        line: String,
        token: Option<&'static str>,
        exit: Exit,
        err: &'static str,
    }
    let fake = Fake::start("").await;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = listener.local_addr().expect("bound");
    drop(listener);
    let right = Some(TOKEN);
    let case = |line: String, token, exit, err| Case { line, token, exit, err };
    let cases = [
        case(String::new(), right, Exit::Usage, "--help"),
        case("sheets".into(), right, Exit::Usage, "--help"),
        case("--address host:1 targets".into(), right, Exit::Usage, "not of the form IP:PORT"),
        case("targets".into(), None, Exit::Usage, "SESAMEWIND_TOKEN"),
        case("targets".into(), Some(" "), Exit::Usage, "token is empty"),
        case("targets --token-file /absent".into(), right, Exit::Usage, "could not read /absent"),
        case("sheet check /absent".into(), None, Exit::Usage, "could not read /absent"),
        case(format!("--address {closed} targets"), right, Exit::Unreachable, "could be reached"),
        case(
            format!("--address {} targets", fake.address),
            Some("wrong-token"),
            Exit::Refused,
            "1501",
        ),
        case(format!("--address {} targets", fake.address), right, Exit::Refused, "1104"),
    ];
    for case in cases {
        let env = |name: &str| case.token.filter(|_| name == "SESAMEWIND_TOKEN").map(str::to_owned);
        let ran = tool_with(&case.line, &env).await;
        assert_eq!(ran.exit, case.exit, "{:?}: {ran:?}", case.line);
        assert!(ran.err.contains(case.err), "{:?}: {ran:?}", case.line);
        assert!(ran.out.is_empty(), "{:?}: {ran:?}", case.line);
        assert!(!ran.err.contains(TOKEN), "{:?}: {ran:?}", case.line);
    }
    let ran = tool(&format!("--json --address {closed} targets")).await;
    assert_eq!(ran.json()["exit"], json!(3));
}

#[tokio::test]
async fn help_lists_commands_and_exit_codes() {
    let ran = tool("--help").await;
    assert_eq!(ran.exit, Exit::Ok);
    for part in ["sheet", "rollouts", "targets", "instances", "refusals", "EXIT CODES", "--json"] {
        assert!(ran.out.contains(part), "no {part} in {}", ran.out);
    }

    // The operators' page lists the same exit codes.
    let page = include_str!("../../../../docs/OPERATING.md");
    let codes = ran.out.lines().filter_map(|line| line.strip_prefix("    ")?.split_once("  "));
    let codes: Vec<_> = codes.filter(|(code, _)| code.parse::<u8>().is_ok()).collect();
    assert_eq!(codes.len(), 7);
    for (code, meaning) in codes {
        let row = format!("| {code} | {meaning} |");
        assert!(page.contains(&row), "no {row}");
    }
}

#[tokio::test]
async fn the_token_may_come_from_a_file() {
    let fake = Fake::start("").await;
    fake.body(TARGETS_PATH, json!({"targets": []}));
    let file = File::new("token", &format!("{TOKEN}\n"));
    let line = format!("--address {} --token-file {} targets", fake.address, file.path());
    assert_eq!(tool_with(&line, &|_| None).await.exit, Exit::Ok);
    let env = |name: &str| match name {
        "SESAMEWIND_ADDRESS" => Some(format!("127.0.0.1:1, {}", fake.address)),
        "SESAMEWIND_TOKEN" => Some(TOKEN.to_owned()),
        _ => None,
    };
    assert_eq!(tool_with("targets", &env).await.exit, Exit::Ok);
}
