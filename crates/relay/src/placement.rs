//! Answers to operators who ask where a request would go now.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sesamewind_gateway::{Arrival, RouteTable};
use sesamewind_protocol::placement::{Placement, PlacementQuery};
use sesamewind_protocol::{PartId, Time};

use crate::callers::wait_time;
use crate::driver::Driver;

/// Explains where the request of `query` would go.
///
/// # Errors
///
/// Returns the status and text of the answer if this instance has no such route or account, or the
/// query can't be read.
pub(crate) fn explain(
    driver: &Driver,
    query: PlacementQuery,
) -> Result<Placement, (StatusCode, String)> {
    let now = driver.now();
    driver.with_gateway(|gateway| {
        let table = gateway.table().ok_or_else(|| {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet".to_owned())
        })?;
        Ok(gateway.placement(arrival(table, query, now)?, now))
    })
}

fn arrival(
    table: &RouteTable,
    query: PlacementQuery,
    now: Time,
) -> Result<Arrival, (StatusCode, String)> {
    let not_found = |what: &str| (StatusCode::NOT_FOUND, format!("no such {what}"));
    let route = table.route(&query.host, &query.path).ok_or_else(|| not_found("route"))?;
    let account = match &query.account {
        Some(name) => Some(Arc::clone(table.account(name).ok_or_else(|| not_found("account"))?)),
        None if route.public || table.accounts().is_empty() => None,
        None => {
            return Err((StatusCode::BAD_REQUEST, "the route needs an account".to_owned()));
        }
    };
    let parts = query.parts.iter().map(|part| u64::from_str_radix(part, 16).map(PartId));
    let parts: Result<Arc<[PartId]>, _> = parts.collect();
    let parts =
        parts.map_err(|err| (StatusCode::BAD_REQUEST, format!("part of the prompt: {err}")))?;
    let wait = wait_time(query.wait_ms.map(Duration::from_millis), route);
    Ok(Arrival {
        ticket: 0,
        route: Arc::clone(route),
        account,
        prompt_tokens: query.prompt,
        output_tokens: query.output,
        parts,
        point: query.point.unwrap_or_else(rand::random),
        deadline: now + wait,
        counted: false,
    })
}
