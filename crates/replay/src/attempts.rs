//! CSV lists of all attempts and of all runs at targets, for analysis of single requests.

use std::fmt::Write;

use sesamewind_protocol::{Code, WallTime};

use crate::client::request_key;
use crate::count::{Dispatch, Observations};
use crate::received::{Answer, Received};
use crate::scenario::Scenario;
use crate::trace::Entry;

const HEADER: &str = "at_ms,instance,account,tier,route,key,attempt,request,prompt_tokens,\
    output_tokens,first_token_ms,total_ms,answer\n";

const RUNS_HEADER: &str = "at_ms,ended_ms,target,version,request,prefill_tokens,complete\n";

/// Returns the attempts as CSV, in the order of the trace.
pub fn list(scenario: &Scenario, entries: &[Entry], received: &[Received]) -> String {
    let mut text = HEADER.to_owned();
    for received in received {
        let entry = &entries[received.entry];
        let instance = scenario.instances.get(received.instance);
        let first_token = received.first_token.map(|time| time.as_millis().to_string());
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{},{},{},{},{},{},{}",
            entry.at_ms,
            instance.map_or("-", |instance| &instance.name),
            entry.account,
            entry.tier,
            entry.route,
            entry.key,
            entry.attempt,
            request_key(entry),
            entry.prompt_tokens,
            entry.output_tokens,
            first_token.unwrap_or_default(),
            received.total.as_millis(),
            answer_label(&received.answer),
        );
    }
    text
}

/// Returns the runs at targets as CSV, ordered by start time; times count from the start of the
/// replay.
pub fn runs(observations: &Observations<'_>) -> String {
    let mut text = RUNS_HEADER.to_owned();
    let mut dispatches: Vec<&Dispatch> = observations.dispatches.iter().collect();
    dispatches.sort_by_key(|dispatch| dispatch.at);
    for dispatch in dispatches {
        let since_start = |at: WallTime| at.since(observations.start).as_millis();
        let ended = dispatch.ended.map(|at| since_start(at).to_string()).unwrap_or_default();
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{}",
            since_start(dispatch.at),
            ended,
            dispatch.target,
            dispatch.version,
            dispatch.request,
            dispatch.prefill_tokens,
            dispatch.complete,
        );
    }
    text
}

fn answer_label(answer: &Answer) -> String {
    match answer {
        Answer::Whole => "whole".to_owned(),
        Answer::Wrong => "wrong".to_owned(),
        Answer::Lost => "lost".to_owned(),
        Answer::Refused(refusal) => match Code::try_from(refusal.code) {
            Ok(code) => format!("{} ({})", code.slug(), refusal.run),
            Err(_) => format!("status {}", refusal.status),
        },
    }
}
