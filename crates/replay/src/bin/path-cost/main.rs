//! Benchmark of the latency that the daemon adds to a direct call to a stand-in engine, and of its
//! throughput and memory.
//!
//! Calls through the daemon and direct calls are measured in the same run. The daemon, the
//! stand-ins and the load generator are separate processes, so that the daemon's processor time
//! and memory can be read. The results depend on the machine and its other load.

mod child;
mod load;
mod usage;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use hdrhistogram::Histogram;

use child::{Daemon, Standins};
use load::Server;

const THREAD_COUNTS: [usize; 3] = [1, 2, 4];

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated from the help texts")]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Measures the latency that the daemon adds to a direct call, its throughput and memory.
        cmd path-cost {
            /// Requests per second of the latency run, both through the daemon and direct.
            optional --rate per_second: u32
            /// Length of each run in seconds.
            optional --seconds seconds: u64
            /// Number of requests in the memory run.
            optional --requests count: u64

            /// Runs the benchmark.
            default cmd run {}
            /// Runs the stand-ins; started by the benchmark itself.
            cmd standins {}
            /// Runs a daemon; started by the benchmark itself.
            cmd daemon {
                /// Number of traffic threads.
                required threads: usize
                /// Address of the platform.
                required platform: SocketAddr
            }
        }
    }
}

/// Options of the benchmark.
struct Options {
    rate: u32,
    duration: Duration,
    requests: u64,
}

fn main() -> ExitCode {
    let flags = flags::PathCost::from_env_or_exit();
    let options = Options {
        rate: flags.rate.unwrap_or(500),
        duration: Duration::from_secs(flags.seconds.unwrap_or(20)),
        requests: flags.requests.unwrap_or(100_000),
    };
    match flags.subcommand {
        flags::PathCostCmd::Standins(_) => child::serve_standins(),
        flags::PathCostCmd::Daemon(flags) => child::serve_daemon(flags.threads, flags.platform),
        flags::PathCostCmd::Run(_) => {
            let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
            match runtime.block_on(run(&options)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("{error}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

async fn run(options: &Options) -> Result<(), String> {
    let standins = Standins::start()?;
    let engine = standins.engine;
    latency(options, &standins, engine).await?;
    for threads in THREAD_COUNTS {
        throughput(options, &standins, threads).await?;
    }
    memory(options, &standins).await
}

async fn latency(options: &Options, standins: &Standins, engine: SocketAddr) -> Result<(), String> {
    let daemon = Daemon::start(2, standins).await?;
    let via_daemon =
        load::fixed_rate(Server::Daemon(daemon.callers), options.rate, options.duration);
    let direct = load::fixed_rate(Server::Direct(engine), options.rate, options.duration);
    let (via_daemon, direct) = tokio::join!(via_daemon, direct);
    println!("time to first token at {} requests a second each, in milliseconds", options.rate);
    println!("{:<10}{:>10}{:>10}{:>10}{:>10}", "", "p50", "p99", "answered", "failed");
    for (name, result) in [("direct", &direct), ("daemon", &via_daemon)] {
        let (p50, p99) = quantiles(&result.first_token);
        println!("{name:<10}{p50:>10.3}{p99:>10.3}{:>10}{:>10}", result.answered, result.failed);
    }
    let (via_daemon, direct) = (quantiles(&via_daemon.first_token), quantiles(&direct.first_token));
    println!("{:<10}{:>10.3}{:>10.3}\n", "added", via_daemon.0 - direct.0, via_daemon.1 - direct.1);
    Ok(())
}

fn quantiles(histogram: &Histogram<u64>) -> (f64, f64) {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
    (at(0.5), at(0.99))
}

async fn throughput(options: &Options, standins: &Standins, threads: usize) -> Result<(), String> {
    const CALLERS: usize = 64;
    let daemon = Daemon::start(threads, standins).await?;
    let before = usage::of_process(daemon.pid())?;
    let result = load::closed_loop(Server::Daemon(daemon.callers), CALLERS, options.duration).await;
    let after = usage::of_process(daemon.pid())?;
    let cpu_seconds = (after.cpu - before.cpu).as_secs_f64();
    let per_s = result.answered as f64 / options.duration.as_secs_f64();
    println!(
        "{threads} traffic threads: {per_s:.0} requests a second on {:.2} cores, {:.0} a core, {} failed",
        cpu_seconds / options.duration.as_secs_f64(),
        result.answered as f64 / cpu_seconds,
        result.failed,
    );
    Ok(())
}

async fn memory(options: &Options, standins: &Standins) -> Result<(), String> {
    const STEPS: u64 = 10;
    const CALLERS: usize = 32;
    let daemon = Daemon::start(2, standins).await?;
    println!("\nmemory of the daemon, records kept for {} s", child::RECORD_RETENTION.as_secs());
    println!("{:>10} requests {:>8.1} MiB", 0, usage::of_process(daemon.pid())?.mebibytes());
    for step in 1..=STEPS {
        let count = options.requests / STEPS;
        let result = load::fixed_count(Server::Daemon(daemon.callers), CALLERS, count).await;
        let used = usage::of_process(daemon.pid())?.mebibytes();
        println!("{:>10} requests {used:>8.1} MiB, {} failed", step * count, result.failed);
    }
    Ok(())
}
