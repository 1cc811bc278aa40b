//! Runs one case of the second review: `sesamewind-review-2 CASE FOLDER`, from the project's root.

mod common;
mod engine;
mod forgotten_usage;
mod http;
mod json;
mod proxy;
mod repeated_order;
mod reversed_outcome;
mod rollouts;
mod stale_record;
mod stale_route;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use common::{Outcome, Run};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: sesamewind-review-2 CASE FOLDER");
        return ExitCode::from(Outcome::NotRun as u8);
    };
    let root = std::env::current_dir().expect("the current folder is known");
    let run = match Run::new(root, &PathBuf::from(folder)) {
        Ok(run) => run,
        Err(err) => {
            eprintln!("the case can't be run: {err}");
            return ExitCode::from(Outcome::NotRun as u8);
        }
    };
    common::limit_time();
    let outcome = match case.as_str() {
        "stale-route" => stale_route::run(&run),
        "stale-record" => stale_record::run(&run),
        "repeated-order" => repeated_order::run(&run),
        "reversed-outcome" => reversed_outcome::run(&run),
        "forgotten-usage" => forgotten_usage::run(&run),
        _ => Outcome::NotRun,
    };
    run.note(&format!("{outcome:?}"));
    println!("{case}: {outcome:?}");
    ExitCode::from(outcome as u8)
}
