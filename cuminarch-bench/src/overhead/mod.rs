//! Time that the whole system adds to a call, over real sockets.
//!
//! Each connection sends the same request in turn straight to the upstream,
//! through one node and through two, so that all three meet the same moment of
//! the machine. The difference is taken call by call. The upstream and the
//! callers do next to nothing, and each node has its own threads.

mod caller;
mod load;
mod sites;
mod stream;
mod table;
mod upstream;
mod usage;

use std::time::Duration;

use eyre::Result;

use crate::Verdict;
use load::Load;
use sites::BenchNodes;

/// Calls a second on each path where the load is paced, for all connections
/// together; 16 times what a node of the planned size carries on average.
const PACED_CALLS_PER_S: u32 = 1_000;
const RUN_DURATION: Duration = Duration::from_secs(4);
const ANSWER_BYTES: [usize; 3] = [200, 3_000, 20_000];

/// Runs the benchmark, prints its table and returns the bounded figures: none,
/// as wall time differs from machine to machine.
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
    let sites = BenchNodes::start()?;
    sites.warm_up()?;
    table::print_head();
    for load in loads() {
        table::print(&load, &load.run(&sites)?);
    }
    table::print_foot();
    sites.stop();
    Ok(())
}
