//! Tests of stand-ins in separate processes.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};

/// A stand-in process; dropping it kills the process.
struct Process {
    child: Child,
    listen: String,
    control: String,
}

impl Process {
    fn start(kind: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sesamewind-standin"))
            .arg(kind)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, listen, _, control] = words.as_slice() else { panic!("unexpected line {line}") };
        let (listen, control) = ((*listen).to_owned(), (*control).to_owned());
        Self { child, listen, control }
    }

    async fn control(&self, message: &Value) -> u16 {
        let url = format!("http://{}/control", self.control);
        let call = reqwest::Client::new().post(url).header("content-type", "application/json");
        call.body(message.to_string()).send().await.unwrap().status().as_u16()
    }

    async fn log(&self) -> Value {
        let body = reqwest::get(format!("http://{}/log", self.control)).await.unwrap();
        serde_json::from_str(&body.text().await.unwrap()).unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn each_kind_serves_logs_and_handles_control_messages() {
    struct Case {
        kind: &'static str,
        path: &'static str,
        message: Value,
        log: &'static str,
    }
    let refuse = json!({"do": "refuse", "on": true});
    let cases = [
        Case { kind: "engine", path: "/load", message: refuse.clone(), log: "/load_polls" },
        Case { kind: "service", path: "/bookings", message: refuse, log: "/runs/0/route" },
        Case {
            kind: "platform",
            path: "/list",
            message: json!({"do": "put-row", "key": "config", "value": {"revision": 1}}),
            log: "/0/kind",
        },
    ];
    for case in cases {
        let process = Process::start(case.kind);
        let url = format!("http://{}{}", process.listen, case.path);
        assert!(reqwest::get(&url).await.unwrap().status().is_success(), "{}", case.kind);
        assert!(!process.log().await.pointer(case.log).unwrap().is_null(), "{}", case.kind);
        assert_eq!(process.control(&case.message).await, 200, "{}", case.kind);
        assert_ne!(process.control(&json!({"do": "nothing"})).await, 200, "{}", case.kind);
        assert_eq!(process.control(&json!({"do": "kill"})).await, 200, "{}", case.kind);
        assert!(reqwest::get(&url).await.is_err(), "{}", case.kind);
        assert_eq!(process.control(&json!({"do": "revive"})).await, 200, "{}", case.kind);
        assert!(reqwest::get(&url).await.is_ok(), "{}", case.kind);
    }
}
