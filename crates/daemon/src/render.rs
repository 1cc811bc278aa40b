//! Answers in the form that callers read them.

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

/// The event that ends a whole stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Time for the last event of a broken answer to be written before its connection is broken.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Where a reader of an answer stands.
enum ReadState {
    /// Chunks may follow.
    Reading(Reader),
    /// The problem was told; the connection must break, so that nobody takes the answer as whole.
    Broken(Problem),
    /// Nothing follows.
    Ended,
}

/// The answer as server-sent events. The end marker is sent only after the target's own.
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
                // The HTTP library drops what it has not written when the body fails.
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

/// The answer of a plain service as it came.
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

/// The whole answer as one JSON body.
///
/// # Errors
///
/// Returns the problem of an answer that is not whole.
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
