//! Converts answers to the responses that callers receive.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http::HeaderValue;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use sesamewind_protocol::RequestKey;
use warp::Reply;
use warp::reply::Response;

use crate::answer::Reader;
use crate::model::{Interface, JoinedAnswer};
use crate::problem::Problem;

/// The event that ends a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Delay before the connection of a broken answer is closed, so that the last event is written
/// first.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Progress of reading an answer.
enum ReadState {
    /// Chunks may follow.
    Reading(Reader),
    /// The problem was sent. The connection must be broken, so that the caller does not mistake the
    /// answer for a complete one.
    Broken(Problem),
    /// Nothing more follows.
    Ended,
}

/// Returns the answer as server-sent events. The end marker is sent only after the target has sent
/// its own.
pub fn events(reader: Reader, key: RequestKey) -> Response {
    let body = stream::unfold(ReadState::Reading(reader), move |state| async move {
        match state {
            ReadState::Reading(mut reader) => match reader.chunks().await {
                Ok(chunks) if chunks.is_empty() => {
                    Some((Ok(Bytes::from_static(DONE_EVENT)), ReadState::Ended))
                }
                Ok(chunks) => Some((Ok(frame(&chunks)), ReadState::Reading(reader))),
                Err(problem) => {
                    let text = problem.to_json(&key.to_string());
                    let event = Bytes::from(format!("event: error\ndata: {text}\n\n"));
                    Some((Ok(event), ReadState::Broken(problem)))
                }
            },
            ReadState::Broken(problem) => {
                // When the body fails, the HTTP library discards data that it has not written yet.
                tokio::time::sleep(FLUSH_DELAY).await;
                Some((Err(broken(&problem)), ReadState::Ended))
            }
            ReadState::Ended => None,
        }
    });
    let mut response = warp::reply::stream(body).into_response();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Returns the answer of a plain service unchanged.
pub fn bytes(reader: Reader) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync + 'static {
    let chunks = stream::unfold(ReadState::Reading(reader), |state| async move {
        let ReadState::Reading(mut reader) = state else { return None };
        match reader.chunks().await {
            Ok(chunks) if chunks.is_empty() => None,
            Ok(chunks) => Some((Ok(chunks), ReadState::Reading(reader))),
            Err(problem) => Some((Err(broken(&problem)), ReadState::Ended)),
        }
    });
    chunks.flat_map(|item| {
        let items = match item {
            Ok(chunks) => chunks.into_iter().map(Ok).collect(),
            Err(error) => vec![Err(error)],
        };
        stream::iter(items)
    })
}

/// Returns the complete answer as one JSON body.
///
/// # Errors
///
/// Returns the problem of an incomplete answer.
pub async fn joined(mut reader: Reader, interface: Interface) -> Result<Response, Problem> {
    let mut joined = JoinedAnswer::new(interface);
    loop {
        let chunks = reader.chunks().await?;
        if chunks.is_empty() {
            break;
        }
        for chunk in chunks {
            joined.add(&chunk);
        }
    }
    Ok(warp::reply::json(&joined.into_json()).into_response())
}

fn frame(chunks: &[Bytes]) -> Bytes {
    let mut text = Vec::with_capacity(chunks.iter().map(|chunk| chunk.len() + 8).sum());
    for chunk in chunks {
        text.extend_from_slice(b"data: ");
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\n\n");
    }
    Bytes::from(text)
}

fn broken(problem: &Problem) -> io::Error {
    io::Error::other(problem.code.to_string())
}
