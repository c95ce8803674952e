//! Measures the memory and processor time of nodes without calls.

use std::fs;
use std::thread;
use std::time::Duration;

use cuminarch_node::Node;
use cuminarch_testing::{PlatformServer, UpstreamBehaviour, UpstreamServer};
use eyre::Result;

use super::memory::resident_bytes;
use super::node_settings;
use super::slope::Point;

const NODE_COUNTS: [usize; 3] = [10, 20, 40];
/// Delay before the measurement that lets the nodes discover each other.
const SETTLE_DELAY: Duration = Duration::from_secs(5);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
/// Length of a clock tick, the unit of processor time in `/proc/self/stat`.
const CLOCK_TICK_US: u64 = 10_000;

/// Memory and processor time of a number of idle nodes.
#[derive(Clone, Copy, Debug)]
pub struct IdleUsage {
    /// Growth of resident memory.
    pub memory: Point,
    /// Processor time of the whole process in microseconds per second.
    pub processor_us_per_s: u64,
}

/// Measures several numbers of idle nodes, in one process with the platform and upstream stand-ins.
///
/// # Errors
///
/// Returns an error if a node or a stand-in cannot be started.
pub fn measure_idle_nodes() -> Result<Vec<IdleUsage>> {
    NODE_COUNTS.into_iter().map(measure).collect()
}

fn measure(count: usize) -> Result<IdleUsage> {
    let platform = PlatformServer::start()?;
    let upstream = UpstreamServer::start(UpstreamBehaviour::new(Duration::ZERO))?;
    let before_bytes = resident_bytes();
    let mut nodes = Vec::new();
    for index in 0..count {
        let settings = node_settings(index, upstream.address(), platform.address())?;
        nodes.push(Node::start(settings)?);
    }
    thread::sleep(SETTLE_DELAY);
    let bytes = resident_bytes().saturating_sub(before_bytes);
    let before_us = processor_us();
    thread::sleep(MEASUREMENT_DURATION);
    let spent_us = processor_us().saturating_sub(before_us);
    for node in nodes {
        node.shutdown();
    }
    let processor_us_per_s = spent_us / MEASUREMENT_DURATION.as_secs();
    Ok(IdleUsage { memory: Point { count, bytes }, processor_us_per_s })
}

/// Returns the processor time of this process so far; 0 if it cannot be read.
fn processor_us() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or("");
    let fields = after_name.split_whitespace().skip(11).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum::<u64>() * CLOCK_TICK_US
}

/// Prints the measurements and their slopes.
pub fn print_idle(readings: &[IdleUsage]) {
    println!("nodes without calls, in one process with the stand-ins");
    for reading in readings {
        let Point { count, bytes } = reading.memory;
        let share = reading.processor_us_per_s as f64 / 10_000.0;
        println!("  {count:>7} nodes  {bytes:>10} bytes  {share:>6.2} % of a core in all");
    }
    if let [first, .., last] = readings {
        let nodes = (last.memory.count - first.memory.count) as f64;
        let bytes = last.memory.bytes as f64 - first.memory.bytes as f64;
        let spent_us = last.processor_us_per_s as f64 - first.processor_us_per_s as f64;
        let share = spent_us / nodes / 10_000.0;
        println!("  slope {:.0} bytes and {share:.3} % of a core for each node\n", bytes / nodes);
    }
}
