//! Reads request heads, for both listeners.

use http::{HeaderMap, Method};
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::path::FullPath;

/// The head of a request.
#[derive(Debug, Clone)]
pub struct Head {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query; empty if the request has none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
}

/// Returns a filter that extracts the head of any request.
pub fn head() -> BoxedFilter<(Head,)> {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .map(|method, path: FullPath, query, headers| {
            let path = path.as_str().to_owned();
            Head { method, path, query, headers }
        })
        .boxed()
}
