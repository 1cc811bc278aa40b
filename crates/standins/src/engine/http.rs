//! HTTP interface of the engine.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;
use warp::reply::Response;

use super::admit::{self, Rejected};
use super::core::Core;
use super::log::DispatchEnd;
use super::stream::{Reader, Stream};
use crate::answer;
use crate::server::{self, Call, Handler};

const QUEUED_CHUNKS: usize = 16;

impl Handler for Core {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (&call.method, segments.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"] | ["v1", "completions"]) => {
                complete(&self, &call).await
            }
            (&Method::GET, ["v1", "streams", id]) => resume(&self, id, &call),
            (&Method::DELETE, ["v1", "streams", id]) => cancel(&self, id),
            (&Method::GET, ["load"]) => {
                self.state().log.load_polls += 1;
                server::json(StatusCode::OK, &self.report())
            }
            (&Method::GET, ["events"]) => events(&self, &call),
            (&Method::POST, ["orders"]) => order(&self, &call),
            (&Method::GET, ["log"]) => server::json(StatusCode::OK, &self.state().log),
            _ => server::text(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }
}

async fn complete(core: &Arc<Core>, call: &Call) -> Response {
    let admitted = admit::parse_request(core, call).and_then(|request| admit::admit(core, request));
    let stream = match admitted {
        Ok(stream) => stream,
        Err(Rejected::Malformed(reason)) => return server::text(StatusCode::BAD_REQUEST, reason),
        Err(Rejected::NotRun(reason)) => return server::not_run(reason),
        Err(Rejected::Failed) => {
            return server::text(StatusCode::INTERNAL_SERVER_ERROR, "the version failed");
        }
    };
    if stream.request.streamed {
        return stream_from(core, stream, 0);
    }
    let reader = Reader::new(Arc::clone(&stream));
    core.state().log.dispatches[stream.log_index].reads += 1;
    stream.ended().await;
    drop(reader);
    full_response(&stream)
}

fn full_response(stream: &Stream) -> Response {
    if stream.progress.borrow().end != DispatchEnd::Complete {
        return server::text(StatusCode::INTERNAL_SERVER_ERROR, "the stream was stopped");
    }
    let request = &stream.request;
    let text = answer::text(&request.request_id, 0, request.output_tokens);
    let choice = if request.chat {
        json!({"index": 0, "finish_reason": "stop",
            "message": {"role": "assistant", "content": text}})
    } else {
        json!({"index": 0, "finish_reason": "stop", "text": text})
    };
    let object = if request.chat { "chat.completion" } else { "text_completion" };
    let body = json!({
        "id": format!("cmpl-{}", stream.id),
        "object": object,
        "created": 0,
        "model": request.version,
        "choices": [choice],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": request.output_tokens,
            "total_tokens": request.prompt_tokens.saturating_add(request.output_tokens),
        },
    });
    with_stream_id(server::json(StatusCode::OK, &body), stream.id)
}

fn with_stream_id(mut response: Response, id: u64) -> Response {
    response.headers_mut().insert("x-stream-id", HeaderValue::from(id));
    response
}

fn find_stream(core: &Core, id: &str) -> Option<Arc<Stream>> {
    let id: u64 = id.parse().ok()?;
    core.state().streams.get(&id).map(|entry| Arc::clone(&entry.stream))
}

fn resume(core: &Arc<Core>, id: &str, call: &Call) -> Response {
    let from = call.param("from").and_then(|from| from.parse().ok()).unwrap_or(0);
    let Some(stream) = find_stream(core, id) else {
        return server::text(StatusCode::NOT_FOUND, "no such stream");
    };
    core.state().log.resumes += 1;
    stream_from(core, stream, from)
}

fn cancel(core: &Core, id: &str) -> Response {
    core.state().log.cancels += 1;
    let Some(stream) = find_stream(core, id) else {
        return server::text(StatusCode::NOT_FOUND, "no such stream");
    };
    stream.stop(DispatchEnd::Cancelled);
    server::text(StatusCode::OK, "")
}

fn events(core: &Core, call: &Call) -> Response {
    let after = call.param("after").and_then(|after| after.parse().ok()).unwrap_or(0);
    let state = core.state();
    let events = state.cache.events(after, core.options.event_lag, Instant::now());
    server::json(StatusCode::OK, &json!({ "events": events }))
}

fn order(core: &Arc<Core>, call: &Call) -> Response {
    let order = match serde_json::from_slice(&call.body) {
        Ok(order) => order,
        Err(error) => return server::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if admit::order(core, order) {
        server::text(StatusCode::OK, "")
    } else {
        server::text(StatusCode::CONFLICT, "old fencing number")
    }
}

/// Returns a response that streams the answer, starting at token `from`.
fn stream_from(core: &Arc<Core>, stream: Arc<Stream>, from: u32) -> Response {
    core.state().log.dispatches[stream.log_index].reads += 1;
    let id = stream.id;
    let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
    tokio::spawn(send_chunks(Reader::new(stream), from, sender));
    let mut response = with_stream_id(server::stream(receiver), id);
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, event_stream);
    response
}

async fn send_chunks(reader: Reader, from: u32, sender: mpsc::Sender<Result<Bytes, io::Error>>) {
    tokio::select! {
        // Ends when the connection is closed, even while no token is ready.
        () = sender.closed() => {}
        _ = chunks(&reader.0, from, &sender) => {}
    }
}

async fn chunks(
    stream: &Stream,
    from: u32,
    sender: &mpsc::Sender<Result<Bytes, io::Error>>,
) -> Option<()> {
    let mut progress = stream.progress.subscribe();
    let mut sent = from;
    loop {
        let changed =
            |now: &super::stream::Progress| now.produced > sent || now.end != DispatchEnd::Running;
        let now = *progress.wait_for(changed).await.ok()?;
        if now.produced > sent {
            sender.send(Ok(chunk(stream, sent, now.produced))).await.ok()?;
            sent = now.produced;
        }
        match now.end {
            DispatchEnd::Running => {}
            DispatchEnd::Complete => {
                sender.send(Ok(last_chunk(stream))).await.ok()?;
                return Some(());
            }
            _ => {
                sender.send(Err(io::Error::other("the stream was stopped"))).await.ok()?;
                return Some(());
            }
        }
    }
}

fn chunk(stream: &Stream, from: u32, to: u32) -> Bytes {
    let text = answer::text(&stream.request.request_id, from, to);
    let choice = if stream.request.chat {
        json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
    } else {
        json!({"index": 0, "text": text, "finish_reason": null})
    };
    Bytes::from(event(stream, to, &choice))
}

fn last_chunk(stream: &Stream) -> Bytes {
    let choice = if stream.request.chat {
        json!({"index": 0, "delta": {}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": "", "finish_reason": "stop"})
    };
    let end = event(stream, stream.request.output_tokens, &choice);
    Bytes::from(end + "data: [DONE]\n\n")
}

fn event(stream: &Stream, next: u32, choice: &Value) -> String {
    let object = if stream.request.chat { "chat.completion.chunk" } else { "text_completion" };
    let data = json!({
        "id": format!("cmpl-{}", stream.id),
        "object": object,
        "created": 0,
        "model": stream.request.version,
        "choices": [choice],
    });
    format!("id: {next}\ndata: {data}\n\n")
}
