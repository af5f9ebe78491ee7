use core::time;
use std::fs;

/// Size of a page in bytes.
const PAGE_BYTES: u64 = 4096;
/// Duration of a tick, the unit of processor times in `/proc`.
const TICK: time::Duration = time::Duration::from_millis(10);
/// Index of the user time among the fields after the thread name in `stat`.
const USER_TIME_INDEX: usize = 11;

/// Resource usage of the current process, read from `/proc`.
pub struct Process;

impl Process {
    /// Returns the resident memory in bytes, or 0 if it cannot be read.
    pub fn resident_bytes() -> u64 {
        let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages = text.split(' ').nth(1);
        pages
            .and_then(|pages| pages.parse::<u64>().ok())
            .unwrap_or(0)
            * PAGE_BYTES
    }

    /// Returns the user and system time of all threads whose name begins with `prefix`.
    pub fn cpu_time(prefix: &str) -> time::Duration {
        let threads = fs::read_dir("/proc/self/task").into_iter().flatten();
        let ticks: u32 = threads
            .flatten()
            .filter_map(|thread| fs::read_to_string(thread.path().join("stat")).ok())
            .filter_map(|stat| ticks(&stat, prefix))
            .sum();
        TICK * ticks
    }
}

/// Returns the user and system time of a thread in ticks, or `None` if its name does not
/// begin with `prefix`.
fn ticks(stat: &str, prefix: &str) -> Option<u32> {
    let (head, rest) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(USER_TIME_INDEX);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}
