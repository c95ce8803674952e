use std::fs;
use std::ops::Sub;
use std::path::Path;

use eyre::{Result, eyre};

/// Resource usage of a thread since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in nanoseconds.
    pub processor_ns: u64,
    /// Number of voluntary context switches, at which the thread blocked.
    pub voluntary_switches: u64,
}

impl Sub for Usage {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            processor_ns: self.processor_ns.saturating_sub(earlier.processor_ns),
            voluntary_switches: self.voluntary_switches.saturating_sub(earlier.voluntary_switches),
        }
    }
}

/// Returns the ids of this process's threads that have a name, in ascending order.
pub fn threads_named(name: &str) -> Result<Vec<u32>> {
    let mut found = Vec::new();
    for entry in fs::read_dir("/proc/self/task")? {
        let entry = entry?;
        let thread_name = fs::read_to_string(entry.path().join("comm")).unwrap_or_default();
        if thread_name.trim() == name {
            found.push(entry.file_name().to_string_lossy().parse()?);
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Returns the resource usage of a thread of this process.
pub fn thread_usage(thread: u32) -> Result<Usage> {
    let task = Path::new("/proc/self/task").join(thread.to_string());
    let schedule = fs::read_to_string(task.join("schedstat"))?;
    let status = fs::read_to_string(task.join("status"))?;
    let processor = schedule.split(' ').next().and_then(|text| text.parse().ok());
    let switches = status
        .lines()
        .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))
        .and_then(|text| text.trim().parse().ok());
    match (processor, switches) {
        (Some(processor_ns), Some(voluntary_switches)) => {
            Ok(Usage { processor_ns, voluntary_switches })
        }
        _ => Err(eyre!("/proc shows no processor time or context switches of thread {thread}")),
    }
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|text| text.trim().strip_suffix(" kB")?.parse::<usize>().ok());
    kilobytes
        .map(|count| count * 1024)
        .ok_or_else(|| eyre!("/proc/self/status has no line VmRSS in kB"))
}
