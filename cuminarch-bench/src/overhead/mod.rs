//! Measures the time that the whole system adds to a call, over real sockets.
//!
//! Each connection sends the same request in turn directly to the upstream, through one node and
//! through two nodes, so that all three paths see the same load on the machine. Each call is
//! compared with the direct call of its round. The upstream and the callers do almost no work, and
//! each node has its own threads.

mod caller;
mod load;
mod nodes;
mod stream;
mod table;
mod upstream;
mod usage;

use std::time::Duration;

use eyre::Result;

use crate::Verdict;
use load::Load;
use nodes::BenchNodes;

/// Calls per second on each path under a paced load, for all connections together; 16 times the
/// average load of a node in the planned fleet.
const PACED_CALLS_PER_S: u32 = 1_000;
const RUN_DURATION: Duration = Duration::from_secs(4);
const ANSWER_BYTES: [usize; 3] = [200, 3_000, 20_000];

/// Runs the benchmark and prints its table. The returned verdict is empty because wall time differs
/// between machines.
#[must_use]
pub fn run() -> Verdict {
    if let Err(error) = measure() {
        println!("the benchmark could not be run: {error:#}");
    }
    Verdict::new()
}

fn loads() -> Vec<Load> {
    let mut loads = Vec::new();
    for connections in [1, 32, 200] {
        for answer_bytes in ANSWER_BYTES {
            let rate = (connections > 1).then_some(PACED_CALLS_PER_S);
            loads.push(Load {
                connections,
                answer_bytes,
                rate_per_s: rate,
                duration: RUN_DURATION,
            });
        }
    }
    loads.push(Load {
        connections: 32,
        answer_bytes: 3_000,
        rate_per_s: None,
        duration: RUN_DURATION,
    });
    loads
}

fn measure() -> Result<()> {
    stream::run()?;
    let nodes = BenchNodes::start()?;
    nodes.warm_up()?;
    table::print_head();
    for load in loads() {
        table::print(&load, &load.run(&nodes)?);
    }
    table::print_foot();
    nodes.stop();
    Ok(())
}
