//! The list of all attempts with what became of each, for closer study.

use std::fmt::Write;

use sesamewind_protocol::Code;

use crate::client::request_key;
use crate::received::{Answer, Received};
use crate::scenario::Scenario;
use crate::trace::Entry;

const HEADER: &str = "at_ms,instance,account,tier,route,key,attempt,request,prompt_tokens,\
    output_tokens,first_token_ms,total_ms,answer\n";

/// The attempts as CSV, in the order of the trace.
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
            word(&received.answer),
        );
    }
    text
}

fn word(answer: &Answer) -> String {
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
