//! Checks that the daemon program can be started and exits with a status code.

use std::process::Command;

#[test]
fn daemon_program_exists() {
    let output = Command::new(env!("CARGO_BIN_EXE_sesamewindd")).output().expect("daemon runs");
    assert!(output.status.code().is_some());
}
