//! Handles requests on the callers' listener: model completions and calls to plain services.

use std::sync::Arc;

use bytes::Buf;
use futures_util::Stream;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use sesamewind_policy::{Arrival, Prefix, prefix_hash};
use sesamewind_protocol::{AccountId, Code, RequestKey, RouteId, ServiceId};
use sesamewind_sheet::{Account, ServiceClass, Sheet, Tier, key_hash};
use tokio::sync::mpsc;
use warp::filters::BoxedFilter;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::answer::{Answer, Reader};
use crate::body::{self, SharedBody};
use crate::context::{Context, Installed};
use crate::inbound::{self, Head};
use crate::job::{Job, Outgoing};
use crate::message::Arrive;
use crate::meter::Meter;
use crate::model::{Interface, ModelRequest, number_header};
use crate::problem::Problem;
use crate::render;

/// Prefix of the paths of plain services.
const SERVICE_PREFIX: &str = "/s/";

/// Response header that carries the request's identity.
const REQUEST_ID: &str = "x-request-id";

/// Request headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", "content-length"];

/// Request headers that are forwarded to a model engine as hints.
const MODEL_HINT_HEADERS: [&str; 4] = ["x-prompt-tokens", "x-prefix", "x-prefix-tokens", "x-route"];

/// Properties of a request for the response and the log, filled in as they become known.
#[derive(Default)]
struct RequestInfo {
    request: String,
    account: String,
    /// Whether a job was started for the request.
    has_job: bool,
}

/// The authenticated caller of a request.
struct Caller<'a> {
    account: &'a Account,
    key: RequestKey,
    has_key: bool,
    attempt: Option<u32>,
}

/// Parameters of a request that depend on the requested service and route.
struct RequestParams<'a> {
    service: &'a ServiceId,
    route: RouteId,
    tier: &'a Tier,
    idempotent: bool,
    prompt_tokens: u32,
    output_tokens: u32,
    prefix: Option<Prefix>,
    body_hash: u64,
}

/// Returns the filter that serves callers.
pub fn filter(context: Arc<Context>) -> BoxedFilter<(Response,)> {
    inbound::head()
        .and(warp::body::stream())
        .then(move |head, stream| serve(Arc::clone(&context), head, stream))
        .boxed()
}

async fn serve<S, B>(context: Arc<Context>, inbound: Head, stream: S) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Sync + 'static,
    B: Buf,
{
    let _unanswered = context.count_unanswered();
    let mut info = RequestInfo::default();
    match route(&context, &inbound, stream, &mut info).await {
        Ok(mut response) => {
            if let Ok(value) = HeaderValue::from_str(&info.request) {
                response.headers_mut().insert(REQUEST_ID, value);
            }
            response
        }
        Err(problem) => {
            // A request with a job is counted and logged when the job ends.
            if !info.has_job {
                context.metrics.refused(problem.code);
                let RequestInfo { request, account, .. } = &info;
                let code = problem.code.number();
                log::debug!(request, account, code; "refused: {}", problem.detail);
            }
            problem.to_response(&info.request)
        }
    }
}

async fn route<S, B>(
    context: &Arc<Context>,
    inbound: &Head,
    stream: S,
    info: &mut RequestInfo,
) -> Result<Response, Problem>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Sync + 'static,
    B: Buf,
{
    let Some(installed) = context.configuration() else {
        return Err(Problem::before_dispatch(Code::NotReady, "no configuration is in force yet"));
    };
    let caller = identify(&installed.sheet, &inbound.headers)?;
    info.request = caller.key.to_string();
    info.account = caller.account.name.to_string();
    let traffic = &context.settings.traffic;
    let length: Option<u64> = number_header(&inbound.headers, "content-length")?;
    if length.is_some_and(|length| length > traffic.body_limit) {
        return Err(Problem::before_dispatch(Code::BodyTooLarge, "body exceeds the limit"));
    }
    let stream = body::limited(stream, traffic.body_limit, traffic.send_timeout);
    let interface = match inbound.path.as_str() {
        "/v1/chat/completions" => Some(Interface::Chat),
        "/v1/completions" => Some(Interface::Text),
        _ => None,
    };
    if let Some(interface) = interface {
        if inbound.method != Method::POST {
            return Err(Problem::before_dispatch(Code::UnknownRoute, "use POST"));
        }
        let bytes = body::collect(stream).await?;
        return serve_completion(context, &installed, inbound, &caller, interface, &bytes, info)
            .await;
    }
    let Some(rest) = inbound.path.strip_prefix(SERVICE_PREFIX) else {
        return Err(Problem::before_dispatch(Code::UnknownRoute, "no such path"));
    };
    serve_plain(context, &installed, inbound, &caller, rest, SharedBody::new(stream), info).await
}

fn identify<'a>(sheet: &'a Sheet, headers: &HeaderMap) -> Result<Caller<'a>, Problem> {
    let bearer = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = bearer.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    let Some(account) = sheet.account_by_key_hash(&key_hash(key)) else {
        return Err(Problem::before_dispatch(Code::UnknownAccount, "unknown bearer key"));
    };
    let idempotency = headers.get("idempotency-key").map(HeaderValue::to_str).transpose();
    let Ok(idempotency) = idempotency else {
        let detail = "header `Idempotency-Key` is not text";
        return Err(Problem::before_dispatch(Code::MalformedRequest, detail));
    };
    let key = match idempotency {
        Some(key) => RequestKey::derive(&account.name, key),
        None => RequestKey(rand::random(), rand::random()),
    };
    let attempt = number_header(headers, "x-attempt")?;
    Ok(Caller { account, key, has_key: idempotency.is_some(), attempt })
}

/// Returns the tier that the caller requests. Otherwise returns the route's tier, `default`, or the
/// account's tier if that is lower.
fn tier_of<'a>(
    sheet: &'a Sheet,
    caller: &Caller<'_>,
    headers: &HeaderMap,
    default: u8,
) -> Result<&'a Tier, Problem> {
    let requested = headers.get("x-tier").and_then(|value| value.to_str().ok());
    let tier = match requested {
        Some(name) => sheet.tier_by_name(name),
        None => sheet.tier(default.max(caller.account.tier)),
    };
    let Some(tier) = tier else {
        return Err(Problem::before_dispatch(Code::MalformedRequest, "no such tier"));
    };
    if tier.rank < caller.account.tier {
        let detail = format!("tier `{}` is above the account's own", tier.name);
        return Err(Problem::before_dispatch(Code::TierNotAllowed, detail));
    }
    Ok(tier)
}

async fn serve_completion(
    context: &Arc<Context>,
    installed: &Installed,
    inbound: &Head,
    caller: &Caller<'_>,
    interface: Interface,
    bytes: &[u8],
    info: &mut RequestInfo,
) -> Result<Response, Problem> {
    let model = ModelRequest::read(interface, bytes)?;
    let headers = &inbound.headers;
    let sheet = &installed.sheet;
    let service = sheet.service(&ServiceId::new(&model.model));
    let service = service.filter(|service| service.class == ServiceClass::Model);
    let Some(service) = service else {
        let detail = format!("no model service `{}`", model.model);
        return Err(Problem::before_dispatch(Code::UnknownService, detail));
    };
    let name = headers.get("x-route").and_then(|value| value.to_str().ok());
    let name = name.unwrap_or(interface.default_route());
    let Some(route) = service.route(name) else {
        let detail = format!("service `{}` has no route `{name}`", model.model);
        return Err(Problem::before_dispatch(Code::UnknownRoute, detail));
    };
    let prompt_tokens = number_header(headers, "x-prompt-tokens")?.unwrap_or(model.prompt_tokens);
    let params = RequestParams {
        service: &service.name,
        route: route.name.clone(),
        tier: tier_of(sheet, caller, headers, route.tier)?,
        idempotent: route.idempotent,
        prompt_tokens,
        output_tokens: model.output_tokens,
        prefix: prefix_of(headers, &model, &caller.account.name)?,
        body_hash: prefix_hash(&String::from_utf8_lossy(bytes)),
    };
    let outgoing = Outgoing::Model {
        path: interface.path(),
        headers: model_headers(headers),
        body: model.body.clone(),
    };
    let mut reader = start_job(context, caller, &params, headers, outgoing)?;
    info.has_job = true;
    reader.head().await?;
    if model.stream {
        return Ok(render::events(reader, caller.key));
    }
    render::joined(reader, interface).await
}

fn prefix_of(
    headers: &HeaderMap,
    model: &ModelRequest,
    account: &AccountId,
) -> Result<Option<Prefix>, Problem> {
    let prefix_name = headers.get("x-prefix").and_then(|value| value.to_str().ok());
    let tokens = number_header(headers, "x-prefix-tokens")?;
    match prefix_name {
        Some(name) => Ok(Some(Prefix { hash: prefix_hash(name), tokens: tokens.unwrap_or(0) })),
        None if model.first_message.is_empty() => Ok(None),
        None => {
            let hash = prefix_hash(&format!("{account}/{}", model.first_message));
            Ok(Some(Prefix { hash, tokens: tokens.unwrap_or(model.prompt_tokens) }))
        }
    }
}

async fn serve_plain(
    context: &Arc<Context>,
    installed: &Installed,
    inbound: &Head,
    caller: &Caller<'_>,
    rest: &str,
    body: SharedBody,
    info: &mut RequestInfo,
) -> Result<Response, Problem> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let sheet = &installed.sheet;
    let service = sheet.service(&ServiceId::new(name));
    let service = service.filter(|service| service.class == ServiceClass::Plain);
    let Some(service) = service else {
        let detail = format!("no plain service `{name}`");
        return Err(Problem::before_dispatch(Code::UnknownService, detail));
    };
    let route_name = format!("{} /{path}", inbound.method);
    let Some(route) = service.route(&route_name) else {
        let detail = format!("service `{name}` has no route `{route_name}`");
        return Err(Problem::before_dispatch(Code::UnknownRoute, detail));
    };
    let params = RequestParams {
        service: &service.name,
        route: route.name.clone(),
        tier: tier_of(sheet, caller, &inbound.headers, route.tier)?,
        idempotent: route.idempotent,
        prompt_tokens: 0,
        output_tokens: 0,
        prefix: None,
        body_hash: prefix_hash(&format!("{route_name}?{}", inbound.query)),
    };
    let query =
        if inbound.query.is_empty() { String::new() } else { format!("?{}", inbound.query) };
    let outgoing = Outgoing::Plain {
        method: inbound.method.clone(),
        path: format!("/{path}{query}"),
        headers: copy_headers(&inbound.headers, &FORWARDED_HEADERS),
        body,
    };
    let mut reader = start_job(context, caller, &params, &inbound.headers, outgoing)?;
    info.has_job = true;
    let head = reader.head().await?;
    let mut response = warp::reply::stream(render::bytes(reader)).into_response();
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&head.content) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    Ok(response)
}

fn model_headers(headers: &HeaderMap) -> HeaderMap {
    let mut copied = copy_headers(headers, &MODEL_HINT_HEADERS);
    copied.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    copied
}

fn copy_headers(headers: &HeaderMap, names: &[&'static str]) -> HeaderMap {
    let mut copied = HeaderMap::new();
    for name in names {
        if let Some(value) = headers.get(*name) {
            copied.insert(*name, value.clone());
        }
    }
    copied
}

/// Passes the request to the control thread and starts its job.
fn start_job(
    context: &Arc<Context>,
    caller: &Caller<'_>,
    params: &RequestParams<'_>,
    headers: &HeaderMap,
    outgoing: Outgoing,
) -> Result<Reader, Problem> {
    let now = context.clock.now();
    let timeout = number_header(headers, "x-timeout-ms")?;
    let total = timeout.map_or(params.tier.total, std::time::Duration::from_millis);
    let ticket = context.next_ticket();
    let answer = Arc::new(Answer::default());
    let reader = Reader::new(Arc::clone(&answer));
    let (sender, steps) = mpsc::unbounded_channel();
    let arrival = Arrival {
        ticket,
        key: caller.key,
        attempt: caller.attempt,
        has_key: caller.has_key,
        body_hash: params.body_hash,
        account: caller.account.name.clone(),
        rank: params.tier.rank,
        service: params.service.clone(),
        route: params.route.clone(),
        prompt_tokens: params.prompt_tokens,
        output_tokens: params.output_tokens,
        prefix: params.prefix,
        deadline: now + total,
        first_token_by: now + params.tier.first_token.min(total),
        idempotent: params.idempotent,
    };
    context.notify(Arrive { arrival, steps: sender, answer: Arc::clone(&answer) });
    let meter =
        Meter::new(caller.key, &caller.account.name, params.service, &params.tier.name, now);
    let context = Arc::clone(context);
    let job = Job { ticket, key: caller.key, outgoing, answer, steps, meter, context };
    tokio::spawn(job.run());
    Ok(reader)
}
