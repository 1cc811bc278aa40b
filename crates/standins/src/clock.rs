//! Wall clock for the timestamps of log entries.

use std::time::{SystemTime, UNIX_EPOCH};

use sesamewind_protocol::WallTime;

/// Returns the current Unix time.
pub fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
