use hdrhistogram::Histogram;

use super::load::{Load, LoadResult};

/// Target for the 99th percentile of the time that the whole system adds, in milliseconds.
const TARGET_P99_MS: f64 = 0.41;
const QUANTILES: [f64; 4] = [0.50, 0.90, 0.99, 0.999];

/// Prints the meaning of the columns.
pub fn print_head() {
    println!("Times in ms at 50, 90, 99 and 99.9 in 100 calls. added: call by call, against the");
    println!("direct call of the same round. us/call and switches/call: processor time and");
    println!("voluntary context switches of the nodes' data threads. inside: mean time in the");
    println!("nodes by their own clocks, in us.\n");
}

/// Prints the rows of one load.
pub fn print(load: &Load, outcome: &LoadResult) {
    let pace =
        load.rate_per_s.map_or("unpaced".to_owned(), |rate| format!("{rate}/s on each path"));
    println!(
        "{} connections, {} B answers, {pace}: {} calls on each path, {} refused",
        load.connections, load.answer_bytes, outcome.calls, outcome.refused
    );
    println!("  direct          {}", quantiles(&outcome.direct));
    println!("  one node        {}", quantiles(&outcome.one_node));
    println!("  two nodes       {}", quantiles(&outcome.two_nodes));
    let calls = outcome.calls.max(1) as f64;
    let used = |readings: &[&super::nodes::Reading]| {
        let processor: u64 = readings.iter().map(|reading| reading.usage.processor_ns).sum();
        let switches: u64 = readings.iter().map(|reading| reading.usage.voluntary_switches).sum();
        let inside: f64 = readings.iter().map(|reading| reading.node_time_us()).sum();
        format!(
            "{:6.1} us/call  {:5.2} switches/call  inside {inside:6.1}",
            processor as f64 / 1e3 / calls,
            switches as f64 / calls
        )
    };
    let single = used(&[&outcome.single]);
    let pair = used(&[&outcome.first, &outcome.second]);
    println!("  added by one    {}   {single}", quantiles(&outcome.one_added));
    println!("  added by two    {}   {pair}", quantiles(&outcome.two_added));
    let p99_ms = outcome.two_added.value_at_quantile(0.99) as f64 / 1e6;
    let verdict = if p99_ms <= TARGET_P99_MS { "within" } else { "above" };
    println!(
        "  99 in 100 by two nodes: {p99_ms:.3} ms, {verdict} the target of {TARGET_P99_MS} ms\n"
    );
}

/// Prints the limits of the measurement.
pub fn print_foot() {
    println!("Nodes, upstream and callers share this machine; a call that waits for a processor");
    println!("counts as slow, on the direct path too. Negative differences count as zero.");
}

fn quantiles(histogram: &Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e6;
    QUANTILES.map(|quantile| format!("{:8.3}", at(quantile))).join("")
}
