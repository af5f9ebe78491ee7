use std::fs;
use std::sync;

/// Memory that is assumed if the system does not tell it.
const UNKNOWN_BYTES: usize = 1 << 30;

/// Files with the limit of the control group of this process, in its two versions.
const LIMIT_FILES: [&str; 2] = [
    "/sys/fs/cgroup/memory.max",
    "/sys/fs/cgroup/memory/memory.limit_in_bytes",
];

/// Returns the memory of the machine in bytes, or the limit of the control group if that
/// is lower.
pub(crate) fn memory_bytes() -> usize {
    static BYTES: sync::OnceLock<usize> = sync::OnceLock::new();
    *BYTES.get_or_init(|| {
        let limits = LIMIT_FILES.into_iter().filter_map(|path| {
            let text = fs::read_to_string(path).ok()?;
            text.trim().parse().ok()
        });
        limits.chain(total()).min().unwrap_or(UNKNOWN_BYTES)
    })
}

fn total() -> Option<usize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let rest = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = rest.split_whitespace().next()?.parse().ok()?;
    kib.checked_mul(1_024)
}
