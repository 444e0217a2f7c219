//! Processor time and memory of this process, read from `/proc`.

use std::time::Duration;

/// Ticks per second in `/proc/self/stat`; fixed at 100 in Linux' interface to programs.
const TICKS_PER_S: u64 = 100;
/// Size of a page in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time used so far by all threads.
pub fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process may hold spaces; the fields after it do not.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    Duration::from_millis((ticks(12) + ticks(13)) * 1_000 / TICKS_PER_S)
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    resident_bytes_of("self")
}

/// Returns the resident memory of a process in bytes.
pub(crate) fn resident_bytes_of(process: &str) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
