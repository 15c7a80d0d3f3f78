//! What a process has used, as the system counts it.

use std::fs;
use std::time::Duration;

/// Bytes of a page of memory.
const PAGE: usize = 4096;
/// The system's ticks of processor time in a second.
const TICKS: f64 = 100.0;
/// Fields of `/proc/ID/stat` after the name up to the user time.
const USER_TIME: usize = 11;

/// Resident memory of this process, bytes; 0 where the system does not say.
pub fn resident() -> usize {
    resident_of("self")
}

/// Resident memory of a process, bytes; 0 where the system does not say.
pub fn resident_of(id: &str) -> usize {
    let text = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Processor time of a process with the threads that have ended; zero where the system does not
/// say. It grows in steps of 10 ms.
pub fn processor(id: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    Duration::from_secs_f64(ticks(&text) / TICKS)
}

/// User and system ticks in the text of `/proc/ID/stat`; the name in it may hold blanks.
pub fn ticks(stat: &str) -> f64 {
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(USER_TIME).take(2);
    fields.filter_map(|field| field.parse::<f64>().ok()).sum()
}

/// The load averages of the machine, as the system writes them.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
