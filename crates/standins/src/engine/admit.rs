//! Admission of requests, and execution of orders to load or unload a version.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;
use tokio::time::Instant;

use super::core::{Core, LoadedVersion, State, StreamEntry};
use super::log::{Dispatch, DispatchEnd, OrderEntry};
use super::run;
use super::stream::{CompletionRequest, Phase, Stream};
use crate::clock::wall_now;
use crate::server::Call;

const DEFAULT_OUTPUT_TOKENS: u32 = 16;
const BYTES_PER_TOKEN: usize = 4;

/// Why a request was not admitted.
#[derive(Debug)]
pub(crate) enum Rejected {
    /// The body is not valid; carries the parse error.
    Malformed(String),
    /// The engine refused it before running it.
    NotRun(&'static str),
    /// The request failed at once because of a fault of its version.
    Failed,
}

/// An order to load or unload a version.
#[derive(Debug, Deserialize)]
pub(crate) struct Order {
    fence: u64,
    order: OrderKind,
    version: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum OrderKind {
    Load,
    Unload,
}

/// Parses a completion request.
pub(crate) fn parse_request(core: &Core, call: &Call) -> Result<CompletionRequest, Rejected> {
    let body: Value = serde_json::from_slice(&call.body)
        .map_err(|error| Rejected::Malformed(error.to_string()))?;
    let chat = call.path.ends_with("/chat/completions");
    let default_route = if chat { "chat" } else { "completions" };
    let number = |name: &str| body.get(name).and_then(Value::as_u64);
    let output = number("max_tokens").or(number("max_completion_tokens"));
    let first_version = core.options.versions.first().cloned().unwrap_or_default();
    Ok(CompletionRequest {
        request_id: call.header("x-request-id").unwrap_or_default().to_owned(),
        version: call.header("x-version").map_or(first_version, str::to_owned),
        route: call.header("x-route").unwrap_or(default_route).to_owned(),
        chat,
        streamed: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
        prompt_tokens: call.number("x-prompt-tokens").unwrap_or_else(|| estimate_tokens(&body)),
        prefix: call.header("x-prefix").map(str::to_owned),
        prefix_tokens: call.number("x-prefix-tokens").unwrap_or(0),
        output_tokens: output
            .map_or(DEFAULT_OUTPUT_TOKENS, |tokens| u32::try_from(tokens).unwrap_or(u32::MAX)),
    })
}

fn estimate_tokens(body: &Value) -> u32 {
    let messages = body.get("messages").and_then(Value::as_array);
    let contents = messages.into_iter().flatten().filter_map(|message| message.get("content"));
    let prompt = body.get("prompt");
    let bytes: usize = contents.chain(prompt).filter_map(Value::as_str).map(str::len).sum();
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX).max(1)
}

/// Admits a request and starts running it.
pub(crate) fn admit(core: &Arc<Core>, request: CompletionRequest) -> Result<Arc<Stream>, Rejected> {
    let mut state = core.state();
    remove_finished(core, &mut state);
    if state.refusing {
        state.log.refused += 1;
        return Err(Rejected::NotRun("refused"));
    }
    if !state.versions.contains_key(&request.version) {
        state.log.unknown_version += 1;
        return Err(Rejected::NotRun("version not loaded"));
    }
    let fault = core.active_fault(&state, &request.version, &request.route);
    let fails = fault.is_some_and(|fault| fault.fails(&request.request_id));
    let log_index = state.log.dispatches.len();
    let dispatch = dispatch_entry(&state, &request, fails);
    state.log.dispatches.push(dispatch);
    if fails {
        return Err(Rejected::Failed);
    }
    let id = state.next_stream;
    state.next_stream += 1;
    if let Some(loaded) = state.versions.get_mut(&request.version) {
        loaded.running += 1;
    }
    let to_prefill = request.prompt_tokens;
    let stream = Arc::new(Stream::new(id, log_index, request));
    let entry = StreamEntry { stream: Arc::clone(&stream), phase: Phase::Waiting, to_prefill };
    state.streams.insert(id, entry);
    drop(state);
    tokio::spawn(run::serve(Arc::clone(core), Arc::clone(&stream)));
    Ok(stream)
}

fn dispatch_entry(state: &State, request: &CompletionRequest, fails: bool) -> Dispatch {
    let now = wall_now();
    Dispatch {
        request: request.request_id.clone(),
        version: request.version.clone(),
        route: request.route.clone(),
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.output_tokens,
        at: now,
        first_token: None,
        ended: fails.then_some(now),
        end: if fails { DispatchEnd::Failed } else { DispatchEnd::Running },
        prefill_spent: 0,
        cache_hit: 0,
        produced: 0,
        leaving: state.leaving,
        reads: 0,
    }
}

fn remove_finished(core: &Core, state: &mut State) {
    while let Some(&(at, id)) = state.finished.front() {
        if at.elapsed() < core.options.retention {
            return;
        }
        state.finished.pop_front();
        state.streams.remove(&id);
    }
}

/// Executes an order; returns whether it was accepted.
pub(crate) fn order(core: &Arc<Core>, order: Order) -> bool {
    let mut state = core.state();
    let stale = order.fence < state.fence;
    let refused = stale && core.options.checks_fence;
    state.fence = state.fence.max(order.fence);
    let unload = order.order == OrderKind::Unload;
    let in_use = state.versions.get(&order.version).is_some_and(|loaded| loaded.running > 0);
    let loaded = state.versions.contains_key(&order.version);
    state.log.orders.push(OrderEntry {
        fence: order.fence,
        order: if unload { "unload" } else { "load" }.to_owned(),
        version: order.version.clone(),
        at: wall_now(),
        refused,
        harmful: unload && !refused && loaded && (stale || in_use),
    });
    if refused {
        return false;
    }
    if unload {
        state.stop_streams(Some(&order.version), DispatchEnd::Killed);
        state.versions.remove(&order.version);
    } else if !loaded {
        tokio::spawn(load(Arc::clone(core), order.version));
    }
    true
}

async fn load(core: Arc<Core>, version: String) {
    tokio::time::sleep(core.options.load_time).await;
    let mut state = core.state();
    state.versions.entry(version).or_insert(LoadedVersion { since: Instant::now(), running: 0 });
}
