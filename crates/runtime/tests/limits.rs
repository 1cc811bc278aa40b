//! Log lines are bounded, and a reader that stops reading blocks nothing.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use log::Level;
use sesamewind_runtime::limit::{LineLimit, URGENT_LINES, USUAL_LINES};
use sesamewind_runtime::sink::{DroppedLines, Sink};

#[test]
fn lines_of_failures_are_not_dropped_for_those_of_successes() {
    struct Case {
        name: &'static str,
        infos: u32,
        warnings: u32,
        dropped: u64,
    }
    let cases = [
        Case { name: "few", infos: 10, warnings: 10, dropped: 0 },
        Case { name: "many successes", infos: USUAL_LINES + 50, warnings: 100, dropped: 50 },
        Case { name: "many failures", infos: 10, warnings: URGENT_LINES + 7, dropped: 7 },
    ];
    for case in cases {
        let dropped = DroppedLines::default();
        let limit = LineLimit::new(dropped.clone());
        let now = Duration::from_millis(5_300);
        let infos = (0..case.infos).filter(|_| limit.try_acquire(Level::Info, now)).count();
        let warnings = (0..case.warnings).filter(|_| limit.try_acquire(Level::Warn, now)).count();
        assert_eq!(infos as u32, case.infos.min(USUAL_LINES), "{}", case.name);
        assert_eq!(warnings as u32, case.warnings.min(URGENT_LINES), "{}", case.name);
        assert_eq!(dropped.take(), case.dropped, "{}", case.name);
        assert!(limit.try_acquire(Level::Info, now + Duration::from_secs(1)), "{}", case.name);
    }
}

/// An output that takes nothing until it is told to.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_loses_lines_and_blocks_nothing() {
    let (release, stuck) = channel();
    let (mut sink, dropped, flusher) = Sink::start(Stuck(stuck)).expect("a thread");
    let start = Instant::now();
    let line = [b'a'; 1_024];
    for _ in 0..100_000 {
        sink.write_all(&line).expect("never fails");
    }
    // The queue holds 4,096 lines, and the writer has at most one more than 64 KiB of them in its hand.
    assert!(dropped.take() >= 100_000 - 4_096 - 65);
    // Generous: the lines would never end if one of them blocked.
    assert!(start.elapsed() < Duration::from_secs(20));
    assert!(!flusher.flush(Duration::from_millis(10)), "the output is stuck");
    drop(release);
}

/// An output that takes its time.
#[derive(Clone, Default)]
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
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
fn the_last_lines_are_written_before_the_end() {
    let output = Slow::default();
    let (mut sink, dropped, flusher) = Sink::start(output.clone()).expect("a thread");
    for _ in 0..1_000 {
        sink.write_all(b"a line\n").expect("never fails");
    }
    assert!(flusher.flush(Duration::from_secs(60)));
    assert_eq!(output.0.lock().expect("not poisoned").len(), 7_000);
    assert_eq!(dropped.take(), 0);
}
