//! Plays one case of the review: `review-standins CASE FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod client;
mod configuration;
mod engine;
mod gateway;
mod http;
mod json;
mod proxy;
mod record;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::cases::{Stage, Verdict};

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("a case and its folder are needed");
        return ExitCode::from(2);
    };
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(err) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {err}", temporary.display());
        return ExitCode::from(2);
    }
    let stage = Stage::new(root, temporary.clone(), has_trouble);
    let result = cases::play(&case, &stage);
    match &result {
        Ok(Verdict::Held) => stage.record.note("the rule held"),
        Ok(Verdict::Broken(text)) => stage.record.note(&format!("the rule is broken: {text}")),
        Err(text) => stage.record.note(&format!("the case could not run: {text}")),
    }
    stage.record.write(&Path::new(&folder).join("record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(_)) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
