//! Operators' requests on the inner listener: views of the instance, and submission of a sheet.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use sesamewind_membership::{
    ConfigRow, Outcome, Step, Submission, SubmissionTiming, SubmitRequest,
};
use sesamewind_platform::control as store;
use sesamewind_protocol::operator::{
    self, Acceptance, Accepted, Conflict, Faulty, SheetBody, SheetFault, Unavailable,
};
use sesamewind_protocol::{Code, Revision};
use warp::Reply;
use warp::reply::Response;

use crate::context::{Context, Installed};
use crate::message::Fetched;
use crate::problem::Problem;
use crate::views::{Instances, Refusals, Rollouts, Status, Targets};

/// Serves a request of an operator, whose token must already have been checked.
///
/// # Errors
///
/// Returns the problem to answer the operator with.
pub async fn serve(
    context: &Arc<Context>,
    method: &Method,
    path: &str,
    query: &str,
    body: Bytes,
) -> Result<Response, Problem> {
    match (method, path) {
        (&Method::GET, operator::STATUS_PATH) => view(context.ask(Status).await),
        (&Method::GET, operator::INSTANCES_PATH) => view(context.ask(Instances).await),
        (&Method::GET, operator::TARGETS_PATH) => view(context.ask(Targets).await),
        (&Method::GET, operator::ROLLOUTS_PATH) => view(context.ask(Rollouts).await),
        (&Method::GET, operator::REFUSALS_PATH) => view(context.ask(Refusals).await),
        (&Method::GET, operator::SHEET_PATH) => Ok(json(StatusCode::OK, &sheet(context))),
        (&Method::POST, operator::SHEET_PATH) => submit(context, query, body).await,
        _ => Err(Problem::before_dispatch(Code::UnknownRoute, "no such path")),
    }
}

fn view<T: Serialize>(body: Option<T>) -> Result<Response, Problem> {
    let body = body.ok_or_else(|| Problem::before_dispatch(Code::Stopping, "instance stops"))?;
    Ok(json(StatusCode::OK, &body))
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

fn sheet(context: &Context) -> SheetBody {
    match context.configuration() {
        None => SheetBody { revision: 0, hash: String::new(), csv: String::new() },
        Some(installed) => SheetBody {
            revision: installed.revision.0,
            hash: installed.hash.clone(),
            csv: String::from_utf8_lossy(&installed.content).into_owned(),
        },
    }
}

async fn submit(context: &Arc<Context>, query: &str, body: Bytes) -> Result<Response, Problem> {
    let request = read_request(query, &body)?;
    let sheet = match sesamewind_sheet::read(&body) {
        Ok(sheet) => sheet,
        Err(faults) => {
            let faults = faults.into_iter().map(fault).collect();
            let faulty = Faulty { code: Code::SheetFaulty, faults };
            return Ok(json(StatusCode::UNPROCESSABLE_ENTITY, &faulty));
        }
    };
    let submission = request.submission.clone();
    let hash = request.hash.clone();
    // The submission continues if the operator's connection breaks, so that a retry with the same
    // id finds its result.
    let running = tokio::spawn(run(Arc::clone(context), request, body.clone()));
    let outcome = running.await.unwrap_or(Outcome::Unknown);
    match outcome {
        Outcome::Accepted(revision) => {
            // Installed here at once, so that peers get it from this instance even if the store
            // fails now.
            context.notify(Fetched(Installed { revision, hash, content: body, sheet }));
            Ok(json(StatusCode::OK, &Accepted { revision: revision.0, submission }))
        }
        Outcome::Conflict { current } => {
            let changes = changes(context, &current, &body).await;
            let current = current.revision;
            let conflict = Conflict { code: Code::SheetConflict, current, changes };
            Ok(json(StatusCode::CONFLICT, &conflict))
        }
        Outcome::NotAccepted => Ok(unavailable(Acceptance::No)),
        Outcome::Unknown => Ok(unavailable(Acceptance::Unknown)),
    }
}

fn unavailable(accepted: Acceptance) -> Response {
    let body = Unavailable { code: Code::StoreUnavailable, accepted };
    json(StatusCode::SERVICE_UNAVAILABLE, &body)
}

fn fault(fault: sesamewind_sheet::Fault) -> SheetFault {
    SheetFault {
        row: fault.row,
        column: fault.column.to_string(),
        code: fault.code.number(),
        message: fault.message,
    }
}

fn read_request(query: &str, body: &[u8]) -> Result<SubmitRequest, Problem> {
    let pairs: HashMap<&str, &str> =
        query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let base = pairs.get("base").and_then(|base| base.parse().ok());
    let (Some(base), Some(submission)) = (base, pairs.get("submission")) else {
        let detail = "the query must give `base` and `submission`";
        return Err(Problem::before_dispatch(Code::MalformedRequest, detail));
    };
    Ok(SubmitRequest {
        submission: (*submission).to_owned(),
        author: pairs.get("author").copied().unwrap_or_default().to_owned(),
        base: Revision(base),
        hash: sesamewind_sheet::hash(body),
    })
}

/// Runs a submission until it has an outcome.
async fn run(context: Arc<Context>, request: SubmitRequest, content: Bytes) -> Outcome {
    let mut submission = Submission::new(request, SubmissionTiming::default(), context.clock.now());
    loop {
        match submission.next(context.clock.now()) {
            Step::Call(call) => {
                let answer = store::call_submit(&context.platform, &call, &content).await;
                submission.on_result(answer, context.clock.now());
            }
            Step::Wait(until) => {
                tokio::time::sleep(until.since(context.clock.now())).await;
            }
            // Calls are made one at a time, so none is in flight here.
            Step::Pending => tokio::task::yield_now().await,
            Step::Done(outcome) => return outcome,
        }
    }
}

/// Returns how the accepted sheet differs from the submitted one. The list is empty if either sheet
/// cannot be read.
async fn changes(context: &Context, current: &ConfigRow, submitted: &[u8]) -> Vec<String> {
    let installed = context.configuration().filter(|installed| installed.hash == current.hash);
    let content = match installed {
        Some(installed) => Some(installed.content.clone()),
        None => context.platform.object(&current.hash).await.ok().flatten(),
    };
    let Some(content) = content else { return Vec::new() };
    let (Ok(theirs), Ok(ours)) =
        (sesamewind_sheet::read(&content), sesamewind_sheet::read(submitted))
    else {
        return Vec::new();
    };
    let changes = sesamewind_sheet::diff(&ours, &theirs);
    changes.iter().map(ToString::to_string).collect()
}
