//! Runs one command of the tool.

use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamewind_protocol::operator::{
    INSTANCES_PATH, REFUSALS_PATH, ROLLOUTS_PATH, SHEET_PATH, STATUS_PATH, SheetBody, TARGETS_PATH,
};
use sesamewind_protocol::placement::{PLACEMENT_PATH, Placement, PlacementQuery};
use sesamewind_sheet::Sheet;

use crate::client::Client;
use crate::console::Console;
use crate::flags::{Diff, Explain, Sesamewind, SesamewindCmd, SheetCmd, Submit, Where};
use crate::{Exit, Failure, RequestTrace, Submission, submit, views};

/// Inner listener of an instance on this machine that runs with the example settings.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";
/// Default time to wait until a sheet is in force on every known instance.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

type Env<'a> = &'a dyn Fn(&str) -> Option<String>;
type CommandResult = Result<Exit, Report<Failure>>;

/// Runs the command that `flags` selects.
pub(crate) async fn run(
    flags: Sesamewind,
    env: Env<'_>,
    console: &mut Console<'_>,
) -> CommandResult {
    if let SesamewindCmd::Sheet(sheet) = &flags.subcommand
        && let SheetCmd::Check(check) = &sheet.subcommand
    {
        return check_sheet(&check.file, console);
    }
    if let SesamewindCmd::Explain(explain) = &flags.subcommand {
        return explain_request(explain, console);
    }
    let client = &mut build_client(&flags, env)?;
    match flags.subcommand {
        SesamewindCmd::Sheet(sheet) => match sheet.subcommand {
            SheetCmd::Check(check) => check_sheet(&check.file, console),
            SheetCmd::Submit(flags) => submit_sheet(flags, client, console).await,
            SheetCmd::Show(_) => show_sheet(client, console).await,
            SheetCmd::Diff(flags) => diff_sheet(flags, client, console).await,
        },
        SesamewindCmd::Rollouts(_) => show(ROLLOUTS_PATH, views::rollouts, client, console).await,
        SesamewindCmd::Targets(_) => show(TARGETS_PATH, views::targets, client, console).await,
        SesamewindCmd::Instances(_) => {
            show(INSTANCES_PATH, views::instances, client, console).await
        }
        SesamewindCmd::Refusals(_) => show(REFUSALS_PATH, views::refusals, client, console).await,
        SesamewindCmd::Explain(explain) => explain_request(&explain, console),
        SesamewindCmd::Where(flags) => show_placement(flags, client, console).await,
        SesamewindCmd::Status(_) => show(STATUS_PATH, views::status, client, console).await,
    }
}

/// Prints a request's trace from files or standard input.
fn explain_request(flags: &Explain, console: &mut Console<'_>) -> CommandResult {
    let mut trace = RequestTrace::new(&flags.request);
    if flags.file.is_empty() {
        let failure = || Failure::Usage("could not read standard input".to_owned());
        trace.read(std::io::stdin().lock()).change_context_lazy(failure)?;
    }
    for path in &flags.file {
        let failure = || Failure::Usage(format!("could not read {}", path.display()));
        let file = File::open(path).change_context_lazy(failure)?;
        trace.read(BufReader::new(file)).change_context_lazy(failure)?;
    }
    if trace.events.is_empty() {
        let message = format!("no line on request {}", flags.request);
        return Err(Report::new(Failure::Usage(message)));
    }
    trace.sort();
    console.result(&trace, RequestTrace::text);
    Ok(Exit::Ok)
}

fn build_client(flags: &Sesamewind, env: Env<'_>) -> Result<Client, Report<Failure>> {
    let addresses = match (flags.address.as_slice(), env("SESAMEWIND_ADDRESS")) {
        ([], Some(list)) => list.split(',').map(|address| address.trim().to_owned()).collect(),
        ([], None) => vec![DEFAULT_ADDRESS.to_owned()],
        (given, _) => given.to_vec(),
    };
    let addresses: Result<Vec<SocketAddr>, Report<Failure>> =
        addresses.iter().map(|address| parse_address(address)).collect();
    Client::new(addresses?, read_token(flags.token_file.as_deref(), env)?)
}

fn parse_address(address: &str) -> Result<SocketAddr, Report<Failure>> {
    address.parse().change_context_lazy(|| {
        Failure::Usage(format!("address {address:?} is not of the form IP:PORT"))
    })
}

fn read_token(file: Option<&Path>, env: Env<'_>) -> Result<String, Report<Failure>> {
    let token = match file {
        Some(path) => String::from_utf8_lossy(&read_file(path)?).into_owned(),
        None => env("SESAMEWIND_TOKEN").ok_or_else(|| {
            let message = "no token: give --token-file or set SESAMEWIND_TOKEN";
            Report::new(Failure::Usage(message.to_owned()))
        })?,
    };
    let token = token.trim();
    if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = "the token is empty or has other than printable ASCII characters";
        return Err(Report::new(Failure::Usage(message.to_owned())));
    }
    Ok(token.to_owned())
}

fn read_file(path: &Path) -> Result<Vec<u8>, Report<Failure>> {
    let failure = || Failure::Usage(format!("could not read {}", path.display()));
    std::fs::read(path).change_context_lazy(failure)
}

/// Parses and checks a sheet. If it has faults, prints them and returns `None`.
fn checked_sheet(bytes: &[u8], console: &mut Console<'_>) -> Option<Sheet> {
    match sesamewind_sheet::read(bytes) {
        Ok(sheet) => Some(sheet),
        Err(faults) => {
            console.result(&submit::faulty_body(&faults), views::faulty);
            None
        }
    }
}

/// Summary of a sheet without faults, as `--json` prints it.
#[derive(Debug, Serialize)]
struct SheetSummary {
    tiers: usize,
    accounts: usize,
    services: usize,
    targets: usize,
    rollouts: usize,
    hash: String,
}

fn check_sheet(file: &Path, console: &mut Console<'_>) -> CommandResult {
    let bytes = read_file(file)?;
    let Some(sheet) = checked_sheet(&bytes, console) else { return Ok(Exit::Refused) };
    let summary = SheetSummary {
        tiers: sheet.tiers.len(),
        accounts: sheet.accounts.len(),
        services: sheet.services.len(),
        targets: sheet.targets.len(),
        rollouts: sheet.rollouts.len(),
        hash: sesamewind_sheet::hash(&bytes),
    };
    console.result(&summary, |summary| {
        let SheetSummary { tiers, accounts, services, targets, rollouts, .. } = summary;
        format!(
            "no faults: {tiers} tiers, {accounts} accounts, {services} services, \
             {targets} targets, {rollouts} rollouts"
        )
    });
    Ok(Exit::Ok)
}

async fn submit_sheet(
    flags: Submit,
    client: &mut Client,
    console: &mut Console<'_>,
) -> CommandResult {
    let bytes = read_file(&flags.file)?;
    if checked_sheet(&bytes, console).is_none() {
        return Ok(Exit::Refused);
    }
    let base = match flags.base {
        Some(base) => base,
        None => client.get::<SheetBody>(SHEET_PATH).await?.revision,
    };
    let submission = match flags.submission {
        Some(id) => Submission::resumed(checked_id(id)?, base),
        None => Submission::new(format!("{:032x}", rand::random::<u128>()), base),
    };
    let wait = flags.wait.map_or(DEFAULT_WAIT, Duration::from_secs);
    submit::submit(submission, &bytes, wait, client, console).await
}

/// Checks that an identifier has only characters that need no escaping in a URL.
fn checked_id(id: String) -> Result<String, Report<Failure>> {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    if id.is_empty() || !id.bytes().all(valid) {
        let message = format!("submission {id:?} is not an identifier that the tool gave");
        return Err(Report::new(Failure::Usage(message)));
    }
    Ok(id)
}

async fn show_sheet(client: &mut Client, console: &mut Console<'_>) -> CommandResult {
    let body: SheetBody = client.get(SHEET_PATH).await?;
    console.note(&format!("revision {}, hash {}", body.revision, body.hash));
    console.result(&body, |body| body.csv.clone());
    Ok(Exit::Ok)
}

/// The changes that a sheet would make, as `--json` prints them.
#[derive(Debug, Serialize)]
struct Difference {
    revision: u64,
    changes: Vec<String>,
}

async fn diff_sheet(flags: Diff, client: &mut Client, console: &mut Console<'_>) -> CommandResult {
    let bytes = read_file(&flags.file)?;
    let Some(new) = checked_sheet(&bytes, console) else { return Ok(Exit::Refused) };
    let body: SheetBody = client.get(SHEET_PATH).await?;
    let old = match body.revision {
        0 => Sheet::default(),
        _ => sesamewind_sheet::read(body.csv.as_bytes()).map_err(|faults| {
            let message = format!("the instance, whose sheet has {} faults here", faults.len());
            Report::new(Failure::InvalidAnswer(message))
        })?,
    };
    let changes = sesamewind_sheet::diff(&old, &new).iter().map(ToString::to_string).collect();
    let difference = Difference { revision: body.revision, changes };
    console.result(&difference, |difference| match difference.changes.as_slice() {
        [] => format!("no change against revision {}", difference.revision),
        changes => changes.join("\n"),
    });
    Ok(Exit::Ok)
}

/// Asks where a request would go, and prints it.
async fn show_placement(
    flags: Where,
    client: &mut Client,
    console: &mut Console<'_>,
) -> CommandResult {
    let query = PlacementQuery {
        host: flags.host,
        path: flags.path,
        account: flags.account.as_deref().map(Into::into),
        prompt: flags.prompt,
        output: flags.output.unwrap_or_default(),
        parts: flags.part,
        wait_ms: flags.wait_ms,
        point: flags.point,
    };
    let placement: Placement = client.ask(PLACEMENT_PATH, &query).await?;
    console.result(&placement, views::placement);
    Ok(Exit::Ok)
}

/// Gets a body and prints it.
async fn show<T: DeserializeOwned + Serialize>(
    path: &str,
    text: fn(&T) -> String,
    client: &mut Client,
    console: &mut Console<'_>,
) -> CommandResult {
    let body: T = client.get(path).await?;
    console.result(&body, text);
    Ok(Exit::Ok)
}
