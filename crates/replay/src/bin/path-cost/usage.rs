//! Processor time and memory of another process, read from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that a process has used so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Processor time in user and kernel mode.
    pub(crate) cpu: Duration,
    /// Resident memory in KiB.
    resident_kib: u64,
}

impl Usage {
    /// Returns the resident memory in MiB.
    pub(crate) fn mebibytes(&self) -> f64 {
        self.resident_kib as f64 / 1_024.0
    }
}

/// Reads the resources used by process `pid`.
pub(crate) fn of_process(pid: u32) -> Result<Usage, String> {
    let read = |name: &str| {
        let path = format!("/proc/{pid}/{name}");
        std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
    };
    let stat = read("stat")?;
    // The process name in parentheses may contain spaces, so fields are counted after it. User and
    // system time are fields 14 and 15 of the line.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 =
        after_name.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
    let status = read("status")?;
    let resident_kib = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kib = resident_kib.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    let cpu = Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND);
    Ok(Usage { cpu, resident_kib: resident_kib.ok_or("no VmRSS in the status of the process")? })
}
