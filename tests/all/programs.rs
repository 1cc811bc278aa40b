//! The two programs start and end as scripts expect.

use std::process::Command;

#[test]
fn daemon_program_exists() {
    let output = Command::new(env!("CARGO_BIN_EXE_sesamewindd")).output().expect("daemon runs");
    assert!(output.status.code().is_some());
}
