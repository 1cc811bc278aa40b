//! Runs the soak test with the given seeds.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use sesamewind_soak::record::Breach;
use sesamewind_soak::{Options, Profile, run};

/// Default length of a run in seconds.
const LENGTH_S: u64 = 30;

/// Default number of instances.
const INSTANCES: usize = 5;

mod flags {
    #![allow(missing_docs, reason = "generated from the help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs gateway processes under faults and checks what they guarantee.
        cmd sesamewind-soak {
            /// First seed.
            required first: u64
            /// Number of seeds; the default is one.
            optional --seeds count: u64
            /// Length of a run in seconds; the default is 30.
            optional --length seconds: u64
            /// Number of instances; the default is five.
            optional --instances count: usize
            /// Gateway program; the default is the one in this program's folder.
            optional --program path: PathBuf
            /// Folder for settings and logs; the default is one in the folder for temporary files.
            optional --folder path: PathBuf
            /// Changes the configuration and signals processes, without other faults.
            optional --changes
            /// Lets targets name request limits beside other faults.
            optional --limits
            /// Checks only the guarantees without a time bound.
            optional --untimed
        }
    }
}

/// Number of breaches of each guarantee that are printed in full.
const PRINTED: usize = 3;

fn print_breaches(breaches: &[Breach]) {
    let mut by_guarantee: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for breach in breaches {
        by_guarantee.entry(breach.guarantee).or_default().push(&breach.seen);
    }
    for (guarantee, seen) in by_guarantee {
        println!("  {guarantee}: {} times", seen.len());
        for seen in seen.iter().take(PRINTED) {
            println!("    {seen}");
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::SesamewindSoak::from_env_or_exit();
    let default_program =
        std::env::current_exe().unwrap_or_default().with_file_name("sesamewind-gateway");
    let folder = flags.folder.unwrap_or_else(|| std::env::temp_dir().join("sesamewind-soak"));
    let program: PathBuf = flags.program.unwrap_or(default_program);
    let profile = match (flags.changes, flags.limits) {
        (true, _) => Profile::Changes,
        (false, true) => Profile::Limits,
        (false, false) => Profile::Faults,
    };
    let mut failed = Vec::new();
    let seeds = flags.first..flags.first + flags.seeds.unwrap_or(1);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let options = Options {
            program: program.clone(),
            folder: folder.join(format!("{}-{seed}", std::process::id())),
            seed,
            profile,
            instances: flags.instances.unwrap_or(INSTANCES),
            length: Duration::from_secs(flags.length.unwrap_or(LENGTH_S)),
            timed: !flags.untimed,
        };
        let report = run(&options).await;
        let (requests, served, refused) = (report.requests, report.served, report.refused);
        let (faults, breaches) = (report.planned.len(), report.breaches.len());
        println!(
            "seed {seed}: {faults} faults, {requests} requests, {served} served, \
             {refused} refused, {} cut, {} failed, {breaches} breaches",
            report.cut, report.failed
        );
        print_breaches(&report.breaches);
        if breaches > 0 {
            failed.push(seed);
            println!("  logs: {}", options.folder.display());
            for planned in &report.planned {
                println!("  {:?} for {:?}: {:?}", planned.at, planned.length, planned.fault);
            }
        } else if let Err(err) = std::fs::remove_dir_all(&options.folder) {
            eprintln!("{}: {err}", options.folder.display());
        }
    }
    println!("{} of {count} seeds failed: {failed:?}", failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
