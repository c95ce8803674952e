use std::fs;

/// Page size, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process in bytes; 0 if it cannot be read.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Runs `work` and returns the growth of resident memory in bytes.
pub fn growth_bytes(work: impl FnOnce()) -> u64 {
    let before = resident_bytes();
    work();
    resident_bytes().saturating_sub(before)
}
