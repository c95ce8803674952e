use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_allotment::TokenDecision;
use cuminarch_types::{AccountName, Allotment, CallId, MonoTime, RatePerSecond, ZoneName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::bound::OneBucket;
use super::fleet::Fleet;

/// Usual demand of an account relative to its rate.
const USUAL: f64 = 1.0 / 1.6;

/// Accounts with rates by Zipf's law; a burst is one second of the rate.
pub fn zipf_accounts(count: usize, sum_per_s: f64) -> BTreeMap<AccountName, Allotment> {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-1.2);
    let all: f64 = (0..count).map(weight).sum();
    (0..count)
        .map(|rank| {
            let rate = sum_per_s * weight(rank) / all;
            let burst_requests = rate.round().max(1.0) as u32;
            let limit = Allotment { rate: RatePerSecond::new(rate), burst_requests };
            (format!("account-{rank:02}").parse().unwrap(), limit)
        })
        .collect()
}

/// Demand and result of an account.
pub struct Demand {
    pub name: AccountName,
    pub rate_per_s: f64,
    /// Zone of the entry nodes, or any.
    pub zone: Option<ZoneName>,
    pub asked: u64,
    /// What one bucket over all nodes lets through.
    pub allowed: u64,
    pub granted: u64,
    pub exceeded: u64,
    pub unavailable: u64,
    /// What equal parts of all nodes would let through.
    pub equal_granted: u64,
    /// What one holder for all zones would let through.
    pub home_granted: u64,
    next_at: MonoTime,
    equal: Vec<OneBucket>,
    home: (usize, OneBucket),
    reference: OneBucket,
    bound: OneBucket,
}

/// Poisson demand on a fleet.
pub struct Load {
    pub fleet: Fleet,
    pub demands: Vec<Demand>,
    /// Requests that waited for another node, and for how long.
    pub waits_us: Vec<u64>,
    calls: BTreeMap<CallId, (usize, MonoTime)>,
    next_call: u64,
    random: ChaCha8Rng,
}

impl Load {
    /// Starts a fleet; demand begins 10 s later.
    pub fn new(mut fleet: Fleet, accounts: BTreeMap<AccountName, Allotment>) -> Self {
        let begin = MonoTime::from_millis(10_000);
        let node_count = fleet.nodes.len();
        let demands = accounts
            .iter()
            .enumerate()
            .map(|(at, (name, limit))| Demand {
                name: name.clone(),
                rate_per_s: limit.rate.get() * USUAL,
                zone: None,
                asked: 0,
                allowed: 0,
                granted: 0,
                exceeded: 0,
                unavailable: 0,
                equal_granted: 0,
                home_granted: 0,
                next_at: begin,
                equal: vec![OneBucket::part(*limit, node_count); node_count],
                home: (at % node_count, OneBucket::full(*limit)),
                reference: OneBucket::full(*limit),
                bound: OneBucket::full(*limit),
            })
            .collect();
        fleet.accounts = accounts;
        for node in 0..fleet.nodes.len() {
            fleet.start(node);
        }
        fleet.run_until(begin);
        let random = ChaCha8Rng::seed_from_u64(fleet.seed ^ 0x10ad);
        Self { fleet, demands, waits_us: Vec::new(), calls: BTreeMap::new(), next_call: 1, random }
    }

    /// Runs for a while; panics if a bound is exceeded.
    pub fn run(&mut self, span: Duration) {
        let until = self.fleet.now.after(span);
        loop {
            let Some(at) = (0..self.demands.len()).min_by_key(|at| self.demands[*at].next_at)
            else {
                return;
            };
            let now = self.demands[at].next_at;
            if now > until {
                break;
            }
            self.fleet.run_until(now.max(self.fleet.now));
            self.record();
            self.arrive(at);
            self.record();
        }
        self.fleet.run_until(until);
        self.record();
    }

    /// Starts counting anew.
    pub fn reset(&mut self) {
        for demand in &mut self.demands {
            (demand.asked, demand.allowed, demand.granted) = (0, 0, 0);
            (demand.exceeded, demand.unavailable) = (0, 0);
            (demand.equal_granted, demand.home_granted) = (0, 0);
        }
        for node in &mut self.fleet.nodes {
            (node.sent_messages, node.sent_bytes, node.received_bytes) = (0, 0, 0);
            node.sent_by_kind = [0; 3];
        }
        self.waits_us.clear();
    }

    /// Returns what was let through of what is allowed, over all accounts.
    pub fn share(&self) -> f64 {
        let granted: u64 = self.demands.iter().map(|demand| demand.granted).sum();
        let allowed: u64 = self.demands.iter().map(|demand| demand.allowed).sum();
        granted as f64 / allowed as f64
    }

    /// Returns the lowest share of an account.
    pub fn lowest_share(&self) -> f64 {
        self.demands.iter().map(Demand::share).fold(f64::MAX, f64::min)
    }

    pub fn report(&self, name: &str) {
        let sum = |count: fn(&Demand) -> u64| self.demands.iter().map(count).sum::<u64>();
        let mut waits = self.waits_us.clone();
        waits.sort_unstable();
        let wait =
            |share: f64| waits.get((waits.len() as f64 * share) as usize).copied().unwrap_or(0);
        println!(
            "{name}: asked {}, allowed {}, granted {}, exceeded {}, unavailable {}, share {:.4}, \
             lowest account {:.4}, waits {} (p50 {} us, p99 {} us)",
            sum(|demand| demand.asked),
            sum(|demand| demand.allowed),
            sum(|demand| demand.granted),
            sum(|demand| demand.exceeded),
            sum(|demand| demand.unavailable),
            self.share(),
            self.lowest_share(),
            waits.len(),
            wait(0.5),
            wait(0.99),
        );
        let allowed = sum(|demand| demand.allowed) as f64;
        println!(
            "  of equal parts {:.4}, of one holder for all zones {:.4}",
            sum(|demand| demand.equal_granted) as f64 / allowed,
            sum(|demand| demand.home_granted) as f64 / allowed,
        );
    }

    /// Returns mean and highest bytes and messages per second that a node sends.
    pub fn traffic(&self, span: Duration) -> [f64; 4] {
        let count = self.fleet.nodes.len() as f64;
        let seconds = span.as_secs_f64();
        let bytes: Vec<u64> = self.fleet.nodes.iter().map(|node| node.sent_bytes).collect();
        let messages: Vec<u64> = self.fleet.nodes.iter().map(|node| node.sent_messages).collect();
        [&bytes, &messages]
            .into_iter()
            .flat_map(|counts| {
                let mean = counts.iter().sum::<u64>() as f64 / count;
                let highest = counts.iter().max().copied().unwrap_or(0) as f64;
                [mean / seconds, highest / seconds]
            })
            .collect::<Vec<f64>>()
            .try_into()
            .unwrap()
    }

    /// Returns the mean number of asks of entry nodes, asks of holders and grants per node and
    /// second.
    pub fn kinds(&self, span: Duration) -> [f64; 3] {
        let per_node = self.fleet.nodes.len() as f64 * span.as_secs_f64();
        [0, 1, 2].map(|kind| {
            let sent = self.fleet.nodes.iter().map(|node| node.sent_by_kind[kind]);
            sent.sum::<u64>() as f64 / per_node
        })
    }

    fn arrive(&mut self, at: usize) {
        let now = self.fleet.now;
        let demand = &mut self.demands[at];
        let pause: f64 = -(1.0 - self.random.random::<f64>()).ln() / demand.rate_per_s;
        demand.next_at = demand.next_at.after(Duration::from_secs_f64(pause));
        let nodes: Vec<usize> = (0..self.fleet.nodes.len())
            .filter(|node| {
                let node = &self.fleet.nodes[*node];
                node.table.is_some() && demand.zone.as_ref().is_none_or(|zone| *zone == node.zone)
            })
            .collect();
        let node = nodes[self.random.random_range(0..nodes.len())];
        demand.asked += 1;
        demand.allowed += u64::from(demand.reference.try_take(now));
        demand.equal_granted += u64::from(demand.equal[node].try_take(now));
        let home = demand.home.0;
        if self.fleet.are_linked(node, home) && self.fleet.nodes[home].table.is_some() {
            demand.home_granted += u64::from(demand.home.1.try_take(now));
        }
        let call = CallId::new(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, (at, now));
        let name = demand.name.clone();
        self.fleet.request(node, &name, call);
    }

    fn record(&mut self) {
        for (now, call, decision) in std::mem::take(&mut self.fleet.decided) {
            let Some((at, since)) = self.calls.remove(&call) else { continue };
            if now > since {
                self.waits_us.push(u64::try_from(now.since(since).as_micros()).unwrap());
            }
            let demand = &mut self.demands[at];
            match decision {
                TokenDecision::Granted => {
                    demand.granted += 1;
                    assert!(demand.bound.spend(now), "{} above its bound at {now}", demand.name);
                }
                TokenDecision::Exceeded { .. } => demand.exceeded += 1,
                TokenDecision::Unavailable { .. } => demand.unavailable += 1,
                TokenDecision::Waiting => {}
            }
        }
    }
}

impl Demand {
    pub fn share(&self) -> f64 {
        if self.allowed == 0 { 1.0 } else { self.granted as f64 / self.allowed as f64 }
    }
}
