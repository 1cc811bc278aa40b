//! Command-line program that replays a trace and prints the report. It fails if an expected
//! outcome does not hold.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use sesamewind_replay::attempts;
use sesamewind_replay::count::Observations;
use sesamewind_replay::replay::{Policy, replay};
use sesamewind_replay::report::Report;
use sesamewind_replay::scenario::Scenario;
use sesamewind_replay::trace::{self, Entry};

/// Exit code if an expected outcome does not hold.
const EXIT_NOT_HELD: u8 = 1;
/// Exit code for invalid input, a replay that could not start, or an output file that could not
/// be written.
const EXIT_ERROR: u8 = 2;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated from the help texts")]

    use std::path::PathBuf;

    use sesamewind_replay::replay::Policy;

    xflags::xflags! {
        /// Replays a trace in real time and reports each expected outcome.
        ///
        /// Without --policy, both baselines are replayed as well, for comparison.
        cmd sesamewind-replay {
            /// The trace, a CSV file; the scenario is the TOML file with the same name beside it.
            required trace: PathBuf
            /// Replay with this policy only: sesamewind, round-robin or least-inflight.
            optional --policy policy: Policy
            /// Seed of the balancer and the stand-ins.
            optional --seed seed: u64
            /// Write the report as JSON to this file.
            optional --json file: PathBuf
            /// Write attempts and runs at targets to CSV files whose names start with this path.
            optional --attempts file: PathBuf
        }
    }
}

/// The input of a replay, and the path for its CSV files.
struct Input {
    name: String,
    scenario: Scenario,
    entries: Arc<Vec<Entry>>,
    seed: u64,
    attempts_file: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::SesamewindReplay::from_env_or_exit();
    let input = match read_input(&flags.trace, flags.seed.unwrap_or(1)) {
        Ok(input) => Input { attempts_file: flags.attempts, ..input },
        Err(reason) => return exit_with_error(&reason),
    };
    let policy = flags.policy.unwrap_or(Policy::Sesamewind);
    let mut baselines = Vec::new();
    if flags.policy.is_none() {
        for baseline in Policy::BASELINES {
            match run(&input, baseline).await {
                Ok(report) => baselines.push(report),
                Err(reason) => return exit_with_error(&reason),
            }
        }
    }
    let mut report = match run(&input, policy).await {
        Ok(report) => report,
        Err(reason) => return exit_with_error(&reason),
    };
    let plans = &input.scenario.outcomes;
    for baseline in &mut baselines {
        baseline.judge(Vec::new(), plans);
    }
    report.judge(baselines, plans);
    println!("{}", report.table(plans));
    if let Some(file) = flags.json
        && let Err(error) = write_json(&file, &report)
    {
        return exit_with_error(&format!("{}: {error}", file.display()));
    }
    if report.all_held() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_NOT_HELD) }
}

fn exit_with_error(reason: &str) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(EXIT_ERROR)
}

fn read_input(path: &Path, seed: u64) -> Result<Input, String> {
    let bytes = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let entries = trace::read(&bytes).map_err(|fault| format!("{}: {fault}", path.display()))?;
    let scenario_path: PathBuf = path.with_extension("toml");
    let scenario_error =
        |error: &dyn std::fmt::Display| format!("{}: {error}", scenario_path.display());
    let text = std::fs::read_to_string(&scenario_path).map_err(|error| scenario_error(&error))?;
    let scenario = Scenario::parse(&text).map_err(|error| scenario_error(&error))?;
    scenario.check_trace(&entries).map_err(|error| scenario_error(&error))?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    Ok(Input { name, scenario, entries: Arc::new(entries), seed, attempts_file: None })
}

async fn run(input: &Input, policy: Policy) -> Result<Report, String> {
    eprintln!("replaying {} with {}", input.name, policy.as_str());
    let output = replay(&input.scenario, &input.entries, policy, input.seed).await;
    let output = output.map_err(|fault| fault.to_string())?;
    let observations = Observations::collect(&input.scenario, &input.entries, &output);
    if let Some(file) = &input.attempts_file {
        let attempts = attempts::list(&input.scenario, &input.entries, &output.received);
        write_csv(file, policy, "attempts", &attempts)?;
        write_csv(file, policy, "runs", &attempts::runs(&observations))?;
    }
    Ok(observations.report(policy.as_str(), &input.name, input.seed))
}

fn write_csv(file: &Path, policy: Policy, kind: &str, text: &str) -> Result<(), String> {
    let name = format!("{}.{}.{kind}.csv", file.display(), policy.as_str());
    std::fs::write(&name, text).map_err(|error| format!("{name}: {error}"))
}

fn write_json(file: &Path, report: &Report) -> std::io::Result<()> {
    let text = serde_json::to_string_pretty(report).map_err(std::io::Error::other)?;
    std::fs::write(file, text)
}
