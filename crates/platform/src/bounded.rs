//! Bodies of answers, read up to a bound, so that one without end doesn't fill the memory.

use bytes::Bytes;
use reqwest::Response;

/// Why the body of an answer could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection broke, or the time was up.
    #[error("answer could not be read: {0}")]
    Broken(#[from] reqwest::Error),
    /// The body exceeds this number of bytes.
    #[error("answer exceeds {0} bytes")]
    TooLarge(usize),
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns why the body could not be read.
pub async fn read_bounded(mut response: Response, limit: usize) -> Result<Bytes, ReadError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > limit {
            return Err(ReadError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.into())
}
