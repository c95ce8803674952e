use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::caller::MinimalCaller;
use super::nodes::{BenchNodes, Reading};

/// The load on the three paths: direct, one node, two nodes.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Connections on each path.
    pub connections: usize,
    /// Body length of each answer in bytes.
    pub answer_bytes: usize,
    /// Calls per second on each path; `None` calls without pause.
    pub rate_per_s: Option<u32>,
    /// Duration of the load.
    pub duration: Duration,
}

/// The measurements under one load; durations are in nanoseconds.
pub struct LoadResult {
    pub direct: Histogram<u64>,
    pub one_node: Histogram<u64>,
    pub two_nodes: Histogram<u64>,
    /// Time added by one node, compared with the direct call of the same round.
    pub one_added: Histogram<u64>,
    /// Time added by two nodes, compared with the direct call of the same round.
    pub two_added: Histogram<u64>,
    pub calls: u64,
    pub refused: u64,
    pub single: Reading,
    pub first: Reading,
    pub second: Reading,
}

/// Durations of the same call on the three paths; `None` if it was refused.
struct Sample {
    direct: Duration,
    one_node: Option<Duration>,
    two_nodes: Option<Duration>,
}

impl Load {
    /// Runs the load on all paths concurrently.
    pub fn run(&self, nodes: &BenchNodes) -> Result<LoadResult> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let read = || {
            Ok::<_, eyre::Report>([nodes.single.read()?, nodes.first.read()?, nodes.second.read()?])
        };
        let before = read()?;
        let samples = runtime.block_on(self.call_all(nodes))?;
        let after = read()?;
        let [single, first, second] =
            std::array::from_fn(|index| after[index].since(&before[index]));
        let mut outcome = LoadResult::new(single, first, second)?;
        for sample in &samples {
            outcome.record(sample);
        }
        Ok(outcome)
    }

    async fn call_all(&self, nodes: &BenchNodes) -> Result<Vec<Sample>> {
        let mut tasks = JoinSet::new();
        let until = Instant::now() + self.duration;
        for index in 0..self.connections {
            let callers = [
                (nodes.upstream.address, "none"),
                (nodes.single.node.caller_address(), "single"),
                (nodes.first.node.caller_address(), "second"),
            ];
            let [direct, single, pair] = callers;
            let connect =
                |(address, service)| MinimalCaller::connect(address, service, self.answer_bytes);
            let callers = [connect(direct).await?, connect(single).await?, connect(pair).await?];
            tasks.spawn(call_in_turn(callers, self.round_interval(), index, until));
        }
        let mut samples = Vec::new();
        while let Some(result) = tasks.join_next().await {
            samples.extend(result??);
        }
        Ok(samples)
    }

    /// Returns the interval between two rounds of calls on one connection.
    fn round_interval(&self) -> Duration {
        let connections = u32::try_from(self.connections).unwrap_or(u32::MAX);
        self.rate_per_s.map_or(Duration::ZERO, |rate| Duration::from_secs(1) * connections / rate)
    }
}

/// Calls on the three paths in turn; each round begins with a different path.
async fn call_in_turn(
    mut callers: [MinimalCaller; 3],
    pause: Duration,
    index: usize,
    until: Instant,
) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    // Staggers the connections over the first interval.
    let mut next = Instant::now() + pause.mul_f64((index as f64 * 0.618).fract());
    let mut round = index;
    while Instant::now() < until {
        if !pause.is_zero() {
            tokio::time::sleep_until(next.into()).await;
            next += pause;
        }
        let mut times = [None; 3];
        for turn in 0..3 {
            let path = (round + turn) % 3;
            times[path] = callers[path].call().await?;
        }
        round += 1;
        let [direct, one_node, two_nodes] = times;
        let direct = direct
            .ok_or_else(|| eyre!("the upstream did not answer a direct call with status 200"))?;
        samples.push(Sample { direct, one_node, two_nodes });
    }
    Ok(samples)
}

impl LoadResult {
    const SIGNIFICANT_DIGITS: u8 = 3;

    fn new(single: Reading, first: Reading, second: Reading) -> Result<Self> {
        let histogram = || Histogram::new(Self::SIGNIFICANT_DIGITS);
        Ok(Self {
            direct: histogram()?,
            one_node: histogram()?,
            two_nodes: histogram()?,
            one_added: histogram()?,
            two_added: histogram()?,
            calls: 0,
            refused: 0,
            single,
            first,
            second,
        })
    }

    fn record(&mut self, sample: &Sample) {
        let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.calls += 1;
        let _ = self.direct.record(nanos(sample.direct));
        let paths = [
            (sample.one_node, &mut self.one_node, &mut self.one_added),
            (sample.two_nodes, &mut self.two_nodes, &mut self.two_added),
        ];
        for (time, whole, added) in paths {
            let Some(time) = time else {
                self.refused += 1;
                continue;
            };
            let _ = whole.record(nanos(time));
            let _ = added.record(nanos(time.saturating_sub(sample.direct)));
        }
    }
}
