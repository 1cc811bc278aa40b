//! The operators' tool and the settings check, run as processes; the tool against real daemons.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

use crate::daemon::OPERATOR_TOKEN;
use crate::deployment::{Deployment, Plan, wait_for};

/// Exit code and output of a program run.
struct ToolRun {
    exit: Option<i32>,
    out: String,
    err: String,
}

impl ToolRun {
    fn new(output: &Output) -> Self {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        Self { exit: output.status.code(), out: text(&output.stdout), err: text(&output.stderr) }
    }

    #[track_caller]
    fn check(&self, exit: i32, expected: &[&str]) {
        assert_eq!(self.exit, Some(exit), "{}\n{}", self.out, self.err);
        for text in expected {
            assert!(self.out.contains(text), "no {text:?} in\n{}\n{}", self.out, self.err);
        }
    }
}

fn tool(inner: SocketAddr, token: &str, args: &[&str]) -> ToolRun {
    let output = Command::new(env!("CARGO_BIN_EXE_sesamewind"))
        .arg("--address")
        .arg(inner.to_string())
        .args(args)
        .env("SESAMEWIND_TOKEN", token)
        .output();
    ToolRun::new(&output.expect("tool runs"))
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("file is written");
    path
}

fn three_daemon_plan() -> Plan {
    Plan { zones: vec!["a", "a", "b"], ..Plan::default() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operator_submits_a_sheet_and_sees_where_it_is_in_force() {
    let deployment = Deployment::start(three_daemon_plan()).await;
    let inner = deployment.daemons[0].inner;
    let tool = |args: &[&str]| tool(inner, OPERATOR_TOKEN, args);
    wait_for("the members are known", async || {
        tool(&["instances"]).out.matches("live").count() == 3
    })
    .await;

    let tier = "tier,extra,,,,,,9,,,,,,900,900,,,,,\n";
    let new = write_file("tool-new.csv", &(deployment.sheet.clone() + tier));
    let new = new.to_str().expect("UTF-8");
    tool(&["sheet", "check", new]).check(0, &["no faults"]);
    tool(&["sheet", "diff", new]).check(0, &["added tier extra"]);
    let expected = ["accepted as revision 2", "in force on 3 of 3 known instances"];
    tool(&["sheet", "submit", new, "--base", "1", "--wait", "60"]).check(0, &expected);
    tool(&["sheet", "show"]).check(0, &[tier]);
    tool(&["sheet", "diff", new]).check(0, &["no change against revision 2"]);

    // The base is outdated, as if another operator had submitted first.
    let old = write_file("tool-old.csv", &deployment.sheet);
    let old = old.to_str().expect("UTF-8");
    let expected = ["1402", "revision 2 is in force", "tier extra"];
    tool(&["sheet", "submit", old, "--base", "1"]).check(1, &expected);

    // The instance in the zone that is cut off is named.
    deployment.cut_zone("b");
    let run = tool(&["--json", "sheet", "submit", old, "--wait", "2"]);
    run.check(4, &[]);
    let body: Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!((&body["revision"], &body["lacking"][0]["name"]), (&3.into(), &"i3".into()));
    assert_eq!((&body["in_force"], &body["known"]), (&2.into(), &3.into()), "{body}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_view_is_shown_and_failures_have_exit_codes() {
    let deployment = Deployment::start(Plan::default()).await;
    let inner = deployment.daemons[0].inner;
    let views = ["rollouts", "targets", "instances", "refusals", "status"];
    for view in views {
        tool(inner, OPERATOR_TOKEN, &[view]).check(0, &[]);
        let run = tool(inner, OPERATOR_TOKEN, &[view, "--json"]);
        assert!(serde_json::from_str::<Value>(&run.out).is_ok(), "{view}: {}", run.out);
    }
    tool(inner, OPERATOR_TOKEN, &["targets"]).check(0, &["e1", "s1", "assistant"]);

    let refused = tool(inner, "wrong-token", &["status"]);
    refused.check(1, &[]);
    assert!(refused.err.contains("1501"), "{}", refused.err);
    tool(inner, OPERATOR_TOKEN, &["refusals"]).check(0, &["1501", "forbidden"]);

    let faulty =
        write_file("tool-faulty.csv", &deployment.sheet.replace("urgent,,,,,,0", "urgent,,,,,,x"));
    let faulty = faulty.to_str().expect("UTF-8");
    tool(inner, OPERATOR_TOKEN, &["sheet", "submit", faulty]).check(1, &["rank", "2113"]);

    let same = write_file("tool-same.csv", &deployment.sheet);
    let same = same.to_str().expect("UTF-8");
    deployment.platform.down(true);
    let args = ["sheet", "submit", same, "--base", "1"];
    tool(inner, OPERATOR_TOKEN, &args).check(3, &["not accepted"]);

    let mut deployment = deployment;
    deployment.daemons[0].kill();
    tool(inner, OPERATOR_TOKEN, &["status"]).check(3, &[]);
}

#[test]
fn settings_are_checked_without_starting() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/sesamewindd.example.toml");
    let check = |path: &Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_sesamewindd"))
            .arg("--check")
            .arg(path)
            .env("SESAMEWIND_OPERATOR_TOKEN", "operator-token")
            .env("SESAMEWIND_PEER_TOKEN", "peer-token")
            .output();
        ToolRun::new(&output.expect("daemon runs"))
    };
    check(&example).check(0, &["settings are valid"]);

    let text = std::fs::read_to_string(&example).expect("example is read");
    let text = text.replace("threads = 2", "threads = 0").replace("zone =", "zones =");
    let run = check(&write_file("tool-faulty.toml", &text));
    run.check(2, &[]);
    for key in ["traffic.threads", "instance.zone:", "instance.zones:"] {
        assert!(run.err.contains(key), "no {key} in {}", run.err);
    }
}
