//! Memory and processor time of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Size of a memory page, bytes.
const PAGE_BYTES: usize = 4096;
/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields in `/proc/ID/stat` between the process name and the user time.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Resident memory of this process, bytes; 0 if it cannot be read.
pub fn resident_bytes() -> usize {
    resident_bytes_of("self")
}

/// Resident memory of process `id`, bytes; 0 if it cannot be read.
pub fn resident_bytes_of(id: &str) -> usize {
    let text = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// User and system time of a process, including threads that have ended; zero if it cannot be read.
/// The resolution is 10 ms.
pub fn cpu_time(id: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    Duration::from_secs_f64(ticks(&text) / TICKS_PER_SECOND)
}

/// Sum of user and system ticks in the text of `/proc/ID/stat`; 0 if the fields are missing. The
/// process name may hold blanks and brackets, so parsing starts after the last `) `.
pub fn ticks(stat: &str) -> f64 {
    let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(FIELDS_BEFORE_UTIME).take(2);
    fields.filter_map(|field| field.parse::<f64>().ok()).sum()
}

/// The three load averages of the machine, as in `/proc/loadavg`; empty if they cannot be read.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
