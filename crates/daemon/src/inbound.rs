//! The head of a request, as both listeners read it.

use http::{HeaderMap, Method};
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::path::FullPath;

/// The head of a request.
#[derive(Debug, Clone)]
pub struct Head {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
}

/// Reads the head of any request.
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
