use std::fs;

/// Bytes of a page of memory, as `/proc/self/statm` counts them.
const PAGE_BYTES: u64 = 4_096;

/// Resident memory of this process in bytes; 0 where it cannot be read.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Growth of resident memory while `work` runs, in bytes.
pub fn growth_bytes(work: impl FnOnce()) -> u64 {
    let before = resident_bytes();
    work();
    resident_bytes().saturating_sub(before)
}
