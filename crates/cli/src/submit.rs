//! Submits a sheet and waits until it is in force on every known instance.

use std::time::Duration;

use error_stack::Report;
use serde::Serialize;
use sesamewind_protocol::operator::{
    Accepted, Conflict, Faulty, INSTANCES_PATH, InstanceRow, InstancesBody,
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::client::Client;
use crate::console::Console;
use crate::views;
use crate::{Exit, Failure, Reply, Step, Submission};

/// Attempts at a submission before the tool stops retrying.
const MAX_ATTEMPTS: u32 = 6;
/// Time after which no further attempt is made.
const RETRY_TIMEOUT: Duration = Duration::from_secs(25);
/// Pause after the first attempt; it doubles after each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Interval of the calls that check which instances have the sheet in force.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The result of an accepted submission, as `--json` prints it.
#[derive(Debug, Serialize)]
struct AcceptedResult {
    revision: u64,
    submission: String,
    in_force: usize,
    known: usize,
    #[serde(rename = "lacking")]
    outdated: Vec<InstanceRow>,
}

/// The result of a submission that was not, or may not have been, accepted, as `--json` prints it.
#[derive(Debug, Serialize)]
struct UnconfirmedResult<'a> {
    accepted: &'static str,
    submission: &'a str,
    base: u64,
    reason: &'a str,
}

/// Submits `csv`, waits up to `wait` until it is in force everywhere, and prints the outcome.
pub(crate) async fn submit(
    mut submission: Submission,
    csv: &[u8],
    wait: Duration,
    client: &mut Client,
    console: &mut Console<'_>,
) -> Result<Exit, Report<Failure>> {
    console.note(&format!("submission {} on revision {}", submission.id, submission.base));
    match submit_with_retries(&mut submission, csv, client, console).await? {
        Step::Accepted(accepted) => wait_in_force(accepted, wait, client, console).await,
        Step::Faulty(faulty) => {
            console.result(&faulty, views::faulty);
            Ok(Exit::Refused)
        }
        Step::Conflict(conflict) => {
            console.result(&conflict, |conflict| conflict_text(conflict, submission.base));
            Ok(Exit::Refused)
        }
        Step::Refused(reason) => Err(Report::new(Failure::Refused(reason))),
        Step::Retry(reason) if !submission.is_uncertain() => {
            print_unconfirmed("no", reason, &submission, console);
            Ok(Exit::Unreachable)
        }
        Step::Retry(reason) => {
            print_unconfirmed("unknown", reason, &submission, console);
            Ok(Exit::Unknown)
        }
        Step::Unknown(reason) => {
            print_unconfirmed("unknown", &reason, &submission, console);
            Ok(Exit::Unknown)
        }
    }
}

/// Repeats the same submission until its outcome is known or the attempts are used up.
async fn submit_with_retries(
    submission: &mut Submission,
    csv: &[u8],
    client: &mut Client,
    console: &mut Console<'_>,
) -> Result<Step, Report<Failure>> {
    let mut pause = FIRST_PAUSE;
    let last_start = Instant::now() + RETRY_TIMEOUT;
    for attempt in 1.. {
        let reply: Reply = client.submit(submission, csv).await?;
        let step = submission.next_step(reply);
        let Step::Retry(reason) = step else { return Ok(step) };
        if attempt == MAX_ATTEMPTS || Instant::now() > last_start {
            return Ok(step);
        }
        console.note(&format!("{reason}; asking again"));
        client.rotate();
        sleep(pause).await;
        pause *= 2;
    }
    unreachable!("the loop ends at the last attempt")
}

/// Waits until the accepted sheet is in force on every known instance.
async fn wait_in_force(
    accepted: Accepted,
    wait: Duration,
    client: &mut Client,
    console: &mut Console<'_>,
) -> Result<Exit, Report<Failure>> {
    console.note(&format!("accepted as revision {}", accepted.revision));
    let deadline = Instant::now() + wait;
    let mut known = Vec::new();
    loop {
        let call = client.get::<InstancesBody>(INSTANCES_PATH);
        // An instance may be replaced while others adopt the sheet, so failed calls are retried.
        match timeout_at(deadline, call).await {
            Ok(Ok(body)) => known = body.instances,
            Ok(Err(report)) => console.note(&format!("{report:#}; asking again")),
            Err(_) => {}
        }
        known.retain(|row| row.state != "removed");
        let reached = known.iter().filter(|row| row.revision >= accepted.revision).count();
        let everywhere = reached == known.len() && !known.is_empty();
        if everywhere || Instant::now() + POLL_INTERVAL > deadline {
            known.retain(|row| row.revision < accepted.revision);
            let result = AcceptedResult {
                revision: accepted.revision,
                submission: accepted.submission,
                in_force: reached,
                known: reached + known.len(),
                outdated: known,
            };
            console.result(&result, in_force_text);
            return Ok(if everywhere { Exit::Ok } else { Exit::NotEverywhere });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn in_force_text(result: &AcceptedResult) -> String {
    let AcceptedResult { revision, in_force, known, outdated, .. } = result;
    let mut text = format!(
        "accepted as revision {revision}\nin force on {in_force} of {known} known instances"
    );
    for row in outdated {
        let InstanceRow { name, zone, state, revision } = row;
        text.push_str(&format!("\nnot on {name} in zone {zone}: {state}, revision {revision}"));
    }
    text
}

fn conflict_text(conflict: &Conflict, base: u64) -> String {
    let Conflict { code, current, changes } = conflict;
    let mut text = format!(
        "not accepted: {code}: the sheet is based on revision {base}, revision {current} is in force"
    );
    for change in changes {
        text.push_str(&format!("\nthe sheet in force differs: {change}"));
    }
    text
}

fn print_unconfirmed(
    accepted: &'static str,
    reason: &str,
    submission: &Submission,
    console: &mut Console<'_>,
) {
    let Submission { id, base, .. } = submission;
    let value = UnconfirmedResult { accepted, submission: id, base: *base, reason };
    console.result(&value, |value| match value.accepted {
        "no" => format!("not accepted: {reason}"),
        _ => format!(
            "unknown whether accepted: {reason}\n\
             ask again with: sesamewind sheet submit FILE --base {base} --submission {id}"
        ),
    });
}

/// Returns the body that an instance would send for these faults.
pub(crate) fn faulty_body(faults: &[sesamewind_sheet::Fault]) -> Faulty {
    Faulty {
        code: sesamewind_protocol::Code::SheetFaulty,
        faults: faults.iter().map(Into::into).collect(),
    }
}
