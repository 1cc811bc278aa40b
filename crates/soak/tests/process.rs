//! Control of gateway processes.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use sesamewind_soak::process::{Network, Process};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Starting a process may take long on a busy machine. Callers, targets and proxies, which run
/// beside it in the same program, are not delayed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_do_not_wait_while_a_process_starts() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slow-start");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("folder can be made");
    // The start waits until the other end of the pipe is opened.
    let log = folder.join("g0.1.log");
    let made = Command::new("mkfifo").arg(&log).status().expect("mkfifo can be started");
    assert!(made.success(), "a pipe can be made");
    let store = ([127, 0, 0, 1], 9).into();
    let program = Path::new("/bin/true");
    let process = Process::new(0, Network::unused(), program, &folder, store).await;
    let process = Arc::new(process);
    let opener = thread::spawn(move || {
        thread::sleep(Duration::from_secs(2));
        let opened = Instant::now();
        (File::open(log).expect("the pipe can be opened"), opened)
    });
    let starting = Arc::clone(&process);
    let start = tokio::spawn(async move { starting.start() });
    sleep(Duration::from_millis(200)).await;
    let mut callers = JoinSet::new();
    for _ in 0..4 {
        let process = Arc::clone(&process);
        callers.spawn(async move { process.incarnation() });
    }
    while let Some(incarnation) = callers.join_next().await {
        assert_eq!(incarnation.expect("a caller ends"), 1);
    }
    let called = Instant::now();
    let (_pipe, opened) = opener.join().expect("the pipe is opened");
    start.await.expect("the process starts");
    assert!(called < opened, "callers waited {:?} after the start", called - opened);
}
