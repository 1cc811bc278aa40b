//! The rate of log lines is limited, and an output that isn't read never blocks the writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use log::Level;
use sesamewind_runtime::limit::{LineLimit, MAX_INFO_LINES_PER_S, MAX_WARN_LINES_PER_S};
use sesamewind_runtime::sink::{DroppedLines, Sink};

#[test]
fn successes_do_not_displace_failures() {
    struct Case {
        name: &'static str,
        infos: u32,
        warnings: u32,
        dropped: u64,
    }
    let cases = [
        Case { name: "few", infos: 10, warnings: 10, dropped: 0 },
        Case {
            name: "many successes",
            infos: MAX_INFO_LINES_PER_S + 50,
            warnings: 100,
            dropped: 50,
        },
        Case { name: "many failures", infos: 10, warnings: MAX_WARN_LINES_PER_S + 7, dropped: 7 },
    ];
    for case in cases {
        let dropped = DroppedLines::default();
        let limit = LineLimit::new(dropped.clone());
        let now = Duration::from_millis(5_300);
        let infos = (0..case.infos).filter(|_| limit.try_acquire(Level::Info, now)).count();
        let warnings = (0..case.warnings).filter(|_| limit.try_acquire(Level::Warn, now)).count();
        assert_eq!(infos as u32, case.infos.min(MAX_INFO_LINES_PER_S), "{}", case.name);
        assert_eq!(warnings as u32, case.warnings.min(MAX_WARN_LINES_PER_S), "{}", case.name);
        assert_eq!(dropped.take(), case.dropped, "{}", case.name);
        assert!(limit.try_acquire(Level::Info, now + Duration::from_secs(1)), "{}", case.name);
    }
}

/// An output that blocks each write until it is released.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_drops_lines_without_blocking_the_writer() {
    let (release, blocked) = channel();
    let (mut sink, dropped, flusher) = Sink::start(BlockedOutput(blocked)).expect("a thread");
    let start = Instant::now();
    let line = [b'a'; 1_024];
    for _ in 0..100_000 {
        sink.write_all(&line).expect("never fails");
    }
    // The queue holds 4,096 lines, and the writer holds at most one line more than a 64 KiB batch.
    assert!(dropped.take() >= 100_000 - 4_096 - 65);
    // A blocked write would never return, so the time limit need not be tight.
    assert!(start.elapsed() < Duration::from_secs(20));
    assert!(!flusher.flush(Duration::from_millis(10)), "the output is blocked");
    drop(release);
}

/// An output with a delay of 5 ms in each write.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(5));
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_writes_all_queued_lines() {
    let output = SlowOutput::default();
    let (mut sink, dropped, flusher) = Sink::start(output.clone()).expect("a thread");
    for _ in 0..1_000 {
        sink.write_all(b"a line\n").expect("never fails");
    }
    assert!(flusher.flush(Duration::from_secs(60)));
    assert_eq!(output.0.lock().expect("not poisoned").len(), 7_000);
    assert_eq!(dropped.take(), 0);
}
