//! `sesamewind where` explains where a request would go, and sends nothing.

use serde_json::Value;
use sesamewind_cli::{Environment, Exit};

use super::testbed::Testbed;

/// Runs `sesamewind where` with this token; returns the exit and the JSON output.
async fn explain(testbed: &Testbed, token: &str, request: &[&str]) -> (Exit, Value) {
    let address = testbed.gateway.inner.to_string();
    let options = ["--address", &address, "--json", "where"];
    let args = options.iter().chain(request).map(Into::into).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let env = |name: &str| (name == "SESAMEWIND_TOKEN").then(|| token.to_owned());
    let environment = Environment { env: &env, out: &mut out, err: &mut err };
    let exit = sesamewind_cli::run(args, environment).await;
    (exit, serde_json::from_slice(&out).expect("JSON"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_command_explains_a_request_and_sends_nothing() {
    const TOKEN: &str = "token-between-instances";
    let testbed = Testbed::start(1, 0).await;
    struct Case {
        name: &'static str,
        token: &'static str,
        request: &'static [&'static str],
        exit: Exit,
    }
    const REQUEST: &[&str] = &["h.example", "/talk/x", "--account", "one", "--prompt", "500"];
    let cases = [
        Case { name: "a request", token: TOKEN, request: REQUEST, exit: Exit::Ok },
        Case { name: "another token", token: "other", request: REQUEST, exit: Exit::Refused },
        Case {
            name: "no such route",
            token: TOKEN,
            request: &["h.example", "/none/x", "--account", "one"],
            exit: Exit::Refused,
        },
        Case {
            name: "no such account",
            token: TOKEN,
            request: &["h.example", "/talk/x", "--account", "two"],
            exit: Exit::Refused,
        },
    ];
    for case in cases {
        let (exit, answer) = explain(&testbed, case.token, case.request).await;
        assert_eq!(exit, case.exit, "{}: {answer}", case.name);
        if exit == Exit::Ok {
            assert_eq!(answer["outcome"]["sent"], "i-m0", "{answer}");
            assert_eq!(answer["targets"][0]["obstacle"], "", "{answer}");
        }
    }
    assert!(testbed.models[0].received().is_empty(), "nothing is sent");
}
