//! The operators' command-line tool: checks and submits the sheet, and shows the system's state.
//!
//! [`run`] runs the tool in a given [`Environment`], and [`run_process`] in that of the process.
//! The tool calls the inner listener of any instance. Its help and `docs/OPERATING.md` list
//! commands and exit codes.

mod client;
mod commands;
mod console;
mod exit;
mod explain;
mod flags;
mod submission;
mod submit;
mod views;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

use console::Console;
pub use exit::{Exit, Failure};
pub use explain::{RequestTrace, TraceEvent};
pub use submission::{Reply, Step, Submission};

/// Environment variables and output streams of a run of the tool.
pub struct Environment<'a> {
    /// Looks up an environment variable.
    pub env: &'a dyn Fn(&str) -> Option<String>,
    /// Output for results.
    pub out: &'a mut dyn Write,
    /// Output for problems and progress.
    pub err: &'a mut dyn Write,
}

/// Runs the tool with `args`, which exclude the program's name.
pub async fn run(args: Vec<OsString>, environment: Environment<'_>) -> Exit {
    let Environment { env, out, err } = environment;
    let flags = match flags::Sesamewind::from_vec(args) {
        Ok(flags) => flags,
        Err(help) if help.is_help() => {
            let mut console = Console::new(false, out, err);
            console.line(&format!("{help}\n\n{}", exit::HELP));
            return Exit::Ok;
        }
        Err(fault) => {
            let mut console = Console::new(false, out, err);
            console.note(&format!("{fault}\nsesamewind --help lists commands and exit codes"));
            return Exit::Usage;
        }
    };
    let mut console = Console::new(flags.json, out, err);
    match commands::run(flags, env, &mut console).await {
        Ok(exit) => exit,
        Err(report) => {
            let exit = report.current_context().exit();
            console.failure(exit, &format!("{report:#}"));
            exit
        }
    }
}

/// Runs the tool with the arguments, environment variables and streams of the process.
pub fn run_process() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("could not start: {err}");
            return Exit::InvalidAnswer.into();
        }
    };
    let environment = Environment {
        env: &|name| std::env::var(name).ok(),
        out: &mut std::io::stdout(),
        err: &mut std::io::stderr(),
    };
    let args = std::env::args_os().skip(1).collect();
    runtime.block_on(run(args, environment)).into()
}
