//! Processor time and memory of another process, from `/proc`.

use std::time::Duration;

/// Clock ticks in a second of `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Processor time, in user and kernel mode.
    pub(crate) cpu: Duration,
    /// Resident memory in KiB.
    resident_kib: u64,
}

impl Usage {
    /// Resident memory in MiB.
    pub(crate) fn mebibytes(&self) -> f64 {
        self.resident_kib as f64 / 1_024.0
    }
}

/// What process `pid` has used.
pub(crate) fn of_process(pid: u32) -> Result<Usage, String> {
    let read = |name: &str| {
        let path = format!("/proc/{pid}/{name}");
        std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
    };
    let stat = read("stat")?;
    // The name in parentheses may hold blanks; user and system time are fields 14 and 15.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 =
        after_name.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
    let status = read("status")?;
    let resident_kib = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kib = resident_kib.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    let cpu = Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND);
    Ok(Usage { cpu, resident_kib: resident_kib.ok_or("no VmRSS in the status of the process")? })
}
