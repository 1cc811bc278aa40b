//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamewind_cli::run_process()
}
