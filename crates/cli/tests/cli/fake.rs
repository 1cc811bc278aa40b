//! A fake instance with scripted answers, and functions that run the tool.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use sesamewind_cli::{Environment, Exit, run};
use sesamewind_protocol::operator::{INSTANCES_PATH, SHEET_PATH};
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

/// The token that the fake requires.
pub(crate) const TOKEN: &str = "operator-token";

/// How the fake answers one submission. A submission that it has already accepted is accepted again
/// under the same revision, whatever the script contains.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Post {
    /// Accepts it.
    Accept,
    /// Accepts it and breaks off the answer.
    AcceptAndBreak,
    /// Breaks off the answer without accepting it.
    Break,
    /// Answers with this status and body.
    Answer(u16, &'static str),
}

#[derive(Debug, Default)]
struct State {
    posts: VecDeque<Post>,
    accepted: Option<(String, u64)>,
    /// Queries of the submissions, in order.
    queries: Vec<String>,
    /// Bodies of the answers on instances, one for each call; the last one is repeated.
    instances: VecDeque<Value>,
    /// Bodies of the other answers by path.
    bodies: Vec<(&'static str, Value)>,
}

/// A fake instance.
#[derive(Debug, Clone)]
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Fake {
    /// Starts a fake with revision 7 of `csv` in force.
    pub(crate) async fn start(csv: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let sheet =
            json!({"revision": 7, "hash": sesamewind_sheet::hash(csv.as_bytes()), "csv": csv});
        let state =
            Arc::new(Mutex::new(State { bodies: vec![(SHEET_PATH, sheet)], ..State::default() }));
        let fake = Self { address, state: Arc::clone(&state) };
        let query = warp::query::raw().or(warp::any().map(String::new)).unify();
        let filter = warp::method()
            .and(warp::path::full())
            .and(query)
            .and(warp::header::optional::<String>("authorization"))
            .map(move |method: warp::http::Method, path: warp::path::FullPath, query, token| {
                let mut state = state.lock().expect("not poisoned");
                state.answer(method.as_str(), path.as_str(), query, token)
            });
        tokio::spawn(warp::serve(filter).incoming(listener).run());
        fake
    }

    /// Sets the answers to the next submissions.
    pub(crate) fn script(&self, posts: &[Post]) {
        self.lock().posts = posts.iter().copied().collect();
    }

    /// Sets the answers to the next calls for the instances; the last one is repeated.
    pub(crate) fn instances(&self, bodies: &[Value]) {
        self.lock().instances = bodies.iter().cloned().collect();
    }

    /// Sets the answer to calls for `path`.
    pub(crate) fn body(&self, path: &'static str, body: Value) {
        self.lock().bodies.push((path, body));
    }

    /// Returns the queries of the submissions so far.
    pub(crate) fn queries(&self) -> Vec<String> {
        self.lock().queries.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}

impl State {
    fn answer(
        &mut self,
        method: &str,
        path: &str,
        query: String,
        token: Option<String>,
    ) -> Response {
        if token.as_deref() != Some(&format!("Bearer {TOKEN}")) {
            return answer(403, json!({"code": 1501, "reason": "forbidden", "title": "x"}));
        }
        if method == "POST" && path == SHEET_PATH {
            return self.post(query);
        }
        if path == INSTANCES_PATH
            && let Some(body) = self.instances.pop_front()
        {
            if self.instances.is_empty() {
                self.instances.push_back(body.clone());
            }
            return answer(200, body);
        }
        match self.bodies.iter().find(|(known, _)| *known == path) {
            Some((_, body)) => answer(200, body.clone()),
            None => answer(404, json!({"code": 1104, "reason": "unknown-route"})),
        }
    }

    fn post(&mut self, query: String) -> Response {
        let id = query.split("submission=").nth(1).unwrap_or_default().to_owned();
        self.queries.push(query);
        if let Some((known, revision)) = &self.accepted
            && *known == id
        {
            return answer(200, json!({"revision": revision, "submission": id}));
        }
        match self.posts.pop_front().expect("a scripted answer") {
            Post::Accept => {
                self.accepted = Some((id.clone(), 8));
                answer(200, json!({"revision": 8, "submission": id}))
            }
            Post::AcceptAndBreak => {
                self.accepted = Some((id, 8));
                broken()
            }
            Post::Break => broken(),
            Post::Answer(status, body) => answer(status, serde_json::from_str(body).expect("JSON")),
        }
    }
}

fn answer(status: u16, body: Value) -> Response {
    let status = StatusCode::from_u16(status).expect("a status");
    warp::reply::with_status(warp::reply::json(&body), status).into_response()
}

/// Returns an answer whose body fails, which closes the connection.
fn broken() -> Response {
    let body = futures_util::stream::iter([Err::<Vec<u8>, _>(io::Error::other("broken off"))]);
    warp::reply::stream(body).into_response()
}

/// Exit code and output of a run of the tool.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl ToolRun {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("JSON")
    }
}

/// Runs the tool with the words of `line` and with the operators' token in the environment.
pub(crate) async fn tool(line: &str) -> ToolRun {
    tool_with(line, &|name| (name == "SESAMEWIND_TOKEN").then(|| TOKEN.to_owned())).await
}

/// Runs the tool with the words of `line` and with the environment variables of `env`.
pub(crate) async fn tool_with(line: &str, env: &dyn Fn(&str) -> Option<String>) -> ToolRun {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = line.split_whitespace().map(Into::into).collect();
    let exit = run(args, Environment { env, out: &mut out, err: &mut err }).await;
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    ToolRun { exit, out: text(out), err: text(err) }
}

/// A file in the temporary directory that is removed when the value is dropped.
#[derive(Debug)]
pub(crate) struct File(std::path::PathBuf);

impl File {
    /// Writes `text` to a new file whose name contains `name`.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let name = format!("sesamewind-cli-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("written");
        Self(path)
    }

    /// Returns the file's path.
    pub(crate) fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns a sheet without faults that has only one tier, with this name.
pub(crate) fn sheet(tier: &str) -> String {
    let columns = sesamewind_sheet::COLUMNS.join(",");
    format!("{columns}\ntier,{tier},,,,,,0,,,,,,800,20000,,,,,\n")
}
