//! Formats the bodies of the operators' API as text.

use std::time::{Duration, UNIX_EPOCH};

use humantime_serde::re::humantime;
use sesamewind_protocol::operator::{
    Faulty, InstancesBody, Outcome, RefusalsBody, RolloutRow, RolloutsBody, StatusBody, TargetsBody,
};
use sesamewind_protocol::placement::{Placement, PlacementOutcome};
use sesamewind_protocol::{VersionId, WallTime};

use crate::console::table;

/// Latest time that can be formatted, in Unix milliseconds.
const LAST_MS: u64 = 253_402_300_799_000;

/// Formats every fault of a sheet.
pub(crate) fn faulty(body: &Faulty) -> String {
    let rows: Vec<[String; 4]> = body
        .faults
        .iter()
        .map(|fault| {
            let column = if fault.column.is_empty() { "-" } else { &fault.column };
            [
                fault.row.to_string(),
                column.to_owned(),
                fault.code.to_string(),
                fault.message.clone(),
            ]
        })
        .collect();
    let count = rows.len();
    format!(
        "{}\n{count} faults; no part of the sheet was accepted",
        table(["row", "column", "code", "fault"], &rows)
    )
}

/// Formats where a request would go, and why.
pub(crate) fn placement(body: &Placement) -> String {
    let Placement { instance, zone, route, service, rank, revision, versions, .. } = body;
    let outcome = match &body.outcome {
        PlacementOutcome::Sent(target) => format!("sent to {target}"),
        PlacementOutcome::PassedOn(peer) => format!("passed on to {peer}: no target is reachable"),
        PlacementOutcome::Waits { ahead, wait_ms } => {
            format!("waits for a slot behind {ahead} others, {wait_ms} ms at most")
        }
        PlacementOutcome::Refused { reason, retry_ms } => {
            format!("refused ({reason}), to return after {retry_ms} ms")
        }
    };
    let rows: Vec<[String; 6]> = body
        .targets
        .iter()
        .map(|row| {
            [
                row.target.to_string(),
                row.zone.to_string(),
                row.version.to_string(),
                format!("{}/{}", row.load, row.slots),
                row.predicted_ms
                    .map_or("-".to_owned(), |predicted_ms| format!("{predicted_ms:.0}")),
                if row.obstacle.is_empty() { "-" } else { &row.obstacle }.to_owned(),
            ]
        })
        .collect();
    let returned = if body.returned { ", its caller has returned" } else { "" };
    format!(
        "{outcome}\nat {instance} in {zone}, revision {revision}: route {route} to {service}, rank \
         {rank}, versions: {versions}{returned}\n{}",
        table(["target", "zone", "version", "load", "predicted ms", "obstacle"], &rows)
    )
}

/// Formats the instances and their revisions.
pub(crate) fn instances(body: &InstancesBody) -> String {
    let rows: Vec<[String; 4]> = body
        .instances
        .iter()
        .map(|row| {
            [
                row.name.to_string(),
                row.zone.to_string(),
                row.state.clone(),
                row.revision.to_string(),
            ]
        })
        .collect();
    table(["instance", "zone", "state", "revision"], &rows)
}

/// Formats the targets and their load.
pub(crate) fn targets(body: &TargetsBody) -> String {
    let rows: Vec<[String; 9]> = body
        .targets
        .iter()
        .map(|row| {
            let versions: Vec<&str> = row.versions.iter().map(VersionId::as_str).collect();
            [
                row.name.to_string(),
                row.service.to_string(),
                row.zone.to_string(),
                row.state.clone(),
                versions.join(" "),
                row.requests.to_string(),
                row.tokens.to_string(),
                format!("{:.0}", row.prefill_tokens_per_s),
                format!("{:.0}", row.decode_tokens_per_s),
            ]
        })
        .collect();
    let header = [
        "target",
        "service",
        "zone",
        "state",
        "versions",
        "requests",
        "tokens",
        "prefill/s",
        "decode/s",
    ];
    table(header, &rows)
}

/// Formats the rollouts, each with its outcome or the condition that it waits for.
pub(crate) fn rollouts(body: &RolloutsBody) -> String {
    let rows: Vec<[String; 7]> = body
        .rollouts
        .iter()
        .map(|row| {
            [
                row.id.to_string(),
                row.service.to_string(),
                format!("{} -> {}", row.from, row.to),
                state(row),
                format!("{:.1}%", row.share * 100.0),
                time(row.at),
                reason(row),
            ]
        })
        .collect();
    table(["rollout", "service", "versions", "state", "share", "since", "reason or wait"], &rows)
}

fn state(row: &RolloutRow) -> String {
    match row.outcome {
        Some(Outcome::Completed) => "completed".to_owned(),
        Some(Outcome::RolledBack) => "rolled back".to_owned(),
        None => row.state.clone(),
    }
}

/// Returns the reason of the outcome or, before there is one, what the stage waits for.
fn reason(row: &RolloutRow) -> String {
    match row.outcome {
        Some(_) => row.reason.clone(),
        None => row.waits_for.clone(),
    }
}

/// Formats the counts of refusals and retries.
pub(crate) fn refusals(body: &RefusalsBody) -> String {
    let refusals: Vec<[String; 3]> = body
        .refusals
        .iter()
        .map(|row| [row.code.number().to_string(), row.reason.clone(), row.count.to_string()])
        .collect();
    let retries: Vec<[String; 2]> =
        body.retries.iter().map(|row| [row.reason.clone(), row.count.to_string()]).collect();
    format!(
        "{}\n\n{}",
        table(["code", "refusal", "count"], &refusals),
        table(["retry", "count"], &retries)
    )
}

/// Formats the state of the instance that answered.
pub(crate) fn status(body: &StatusBody) -> String {
    let ready = if body.ready { "ready".to_owned() } else { format!("not ready: {}", body.why) };
    format!(
        "instance {} in zone {}: {ready}\nrevision {}, {} queued, {} in flight",
        body.instance, body.zone, body.revision, body.queued, body.in_flight
    )
}

/// Formats a time in UTC. Zero means that the time is not known, and is formatted as `-`.
fn time(at: WallTime) -> String {
    if at == WallTime::default() {
        return "-".to_owned();
    }
    let time = UNIX_EPOCH + Duration::from_millis(at.0.min(LAST_MS));
    humantime::format_rfc3339_seconds(time).to_string()
}
