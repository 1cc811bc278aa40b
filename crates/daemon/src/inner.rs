//! Handles requests on the inner listener, from peers, operators and monitoring.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamewind_protocol::codec::{self, MAX_MESSAGE_BYTES};
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::operator::StatusBody;
use sesamewind_protocol::{Code, RequestKey};
use sesamewind_settings::Secret;
use warp::filters::BoxedFilter;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::answer::Reader;
use crate::body::{self, BodyStream};
use crate::context::Context;
use crate::inbound::{self, Head};
use crate::message::{FindAnswer, PeerLookup, PeerMessage, PeerRecords, RecordsCopied};
use crate::metrics::Direction;
use crate::operators;
use crate::problem::Problem;
use crate::views::{Refusals, Status};

/// Timeout of waiting for new chunks when a peer reads an answer.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

/// Timeout of waiting for the control thread's counts when metrics are read.
const COUNTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on the size of a body, in bytes. A body is read only after its token was checked.
const MAX_BODY_BYTES: u64 = MAX_MESSAGE_BYTES as u64;

/// Media type of the inner protocol.
const MSGPACK: &str = "application/msgpack";

/// Returns the filter that serves peers, operators and monitoring.
pub fn filter(context: Arc<Context>) -> BoxedFilter<(Response,)> {
    inbound::head()
        .and(warp::body::stream())
        .then(move |head: Head, stream| {
            let context = Arc::clone(&context);
            let body = body::limited(stream, MAX_BODY_BYTES, context.settings.traffic.send_timeout);
            async move {
                serve(&context, &head, body).await.unwrap_or_else(|problem| {
                    context.metrics.refused(problem.code);
                    problem.to_response("")
                })
            }
        })
        .boxed()
}

async fn serve(context: &Arc<Context>, head: &Head, body: BodyStream) -> Result<Response, Problem> {
    match head.path.as_str() {
        "/healthz" => Ok("ok".into_response()),
        "/metrics" => Ok(metrics(context).await),
        "/readyz" => ready(context).await,
        "/status" => Ok(json(&status(context).await?)),
        path => {
            if let Some(rest) = path.strip_prefix("/peer/") {
                authorize(&head.headers, &context.settings.tokens.peer)?;
                let body = body::collect(body).await.map_err(bad_message)?;
                return serve_peer(context, head, &body, rest).await;
            }
            if path.starts_with("/operator/") {
                authorize(&head.headers, &context.settings.tokens.operator)?;
                let body = body::collect(body).await?;
                return operators::serve(context, &head.method, path, &head.query, body).await;
            }
            Err(not_found())
        }
    }
}

fn authorize(headers: &HeaderMap, token: &Secret) -> Result<(), Problem> {
    let bearer = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let offered = bearer.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    if token.matches(offered) {
        return Ok(());
    }
    Err(Problem::before_dispatch(Code::Forbidden, "the token is missing or wrong"))
}

/// Returns the metrics. The control thread's counts are updated first if it answers in time.
async fn metrics(context: &Context) -> Response {
    let counts = async { (context.ask(Status).await, context.ask(Refusals).await) };
    if let Ok((Some(status), Some(body))) = tokio::time::timeout(COUNTS_TIMEOUT, counts).await {
        context.metrics.set_load(status.queued, status.in_flight);
        context.metrics.set_retries(&body.retries);
    }
    context.metrics.encode().into_response()
}

async fn status(context: &Context) -> Result<StatusBody, Problem> {
    context.ask(Status).await.ok_or_else(stopping)
}

async fn ready(context: &Context) -> Result<Response, Problem> {
    let status = status(context).await?;
    if status.ready {
        return Ok("ready".into_response());
    }
    Err(Problem::before_dispatch(Code::NotReady, status.why))
}

async fn serve_peer(
    context: &Arc<Context>,
    head: &Head,
    body: &[u8],
    rest: &str,
) -> Result<Response, Problem> {
    if let Some(key) = rest.strip_prefix("answer/") {
        return kept_answer(context, key, &head.query).await;
    }
    if let Some(hash) = rest.strip_prefix("config/") {
        let installed = context.configuration().filter(|installed| installed.hash == hash);
        let Some(installed) = installed else { return Err(not_found()) };
        return Ok(bytes(installed.content.clone()));
    }
    match rest {
        "exchange" => exchange(context, body).await,
        "lookup" => {
            let lookup = decode(body)?;
            let reply = context.ask(PeerLookup(lookup)).await.flatten();
            message_response(&reply.ok_or_else(stopping)?)
        }
        "records" => {
            let request = decode(body)?;
            let copy = context.ask(PeerRecords(request)).await.flatten();
            message_response(&copy.ok_or_else(stopping)?)
        }
        "records-copy" => {
            context.notify(RecordsCopied(decode(body)?));
            message_response(&())
        }
        _ => Err(not_found()),
    }
}

async fn exchange(context: &Context, body: &[u8]) -> Result<Response, Problem> {
    let incoming: Exchange = decode(body)?;
    if incoming.from.deployment != context.settings.deployment {
        return Err(Problem::before_dispatch(Code::OtherDeployment, "another deployment"));
    }
    context.metrics.control(Direction::Received, body.len());
    let answer = context.ask(PeerMessage(incoming)).await.ok_or_else(stopping)?;
    let response = encode(&answer)?;
    context.metrics.control(Direction::Sent, response.len());
    Ok(bytes(response))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    codec::decode(body)
        .map_err(|error| Problem::before_dispatch(Code::BadPeerMessage, error.to_string()))
}

async fn kept_answer(context: &Context, key: &str, query: &str) -> Result<Response, Problem> {
    let Some(key) = RequestKey::parse(key) else { return Err(not_found()) };
    let from = query.strip_prefix("from=").and_then(|from| from.parse().ok()).unwrap_or(0);
    let Some(answer) = context.ask(FindAnswer(key)).await.flatten() else {
        return Err(not_found());
    };
    // The reader counts as a waiting caller, so the request is not cancelled meanwhile.
    let mut reader = Reader::new(Arc::clone(&answer));
    let _ = tokio::time::timeout(ANSWER_WAIT, reader.wait_past(from)).await;
    message_response(&answer.peek(from))
}

/// Replaces the code of an error in reading a peer's message by the code for bad peer messages.
fn bad_message(problem: Problem) -> Problem {
    Problem { code: Code::BadPeerMessage, ..problem }
}

fn not_found() -> Problem {
    Problem::before_dispatch(Code::UnknownRoute, "no such path")
}

fn stopping() -> Problem {
    Problem::before_dispatch(Code::Stopping, "the instance stops")
}

fn json<T: Serialize>(body: &T) -> Response {
    warp::reply::json(body).into_response()
}

fn bytes(body: Bytes) -> Response {
    let mut response = Response::new(body.into());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(MSGPACK));
    *response.status_mut() = StatusCode::OK;
    response
}

fn message_response<T: Serialize>(message: &T) -> Result<Response, Problem> {
    Ok(bytes(encode(message)?))
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes, Problem> {
    let encoded = codec::encode(message)
        .map_err(|error| Problem::before_dispatch(Code::Internal, error.to_string()))?;
    Ok(Bytes::from(encoded))
}
