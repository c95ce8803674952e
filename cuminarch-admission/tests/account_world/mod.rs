//! Entry nodes, the requests of client accounts and a short service, in virtual time.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_admission::{
    AccountDemand, RefusedRequest, ReportedUsage, ServiceShortage, ShedDecision, Shedder,
};
use cuminarch_types::{AccountName, MonoTime, Priority, Rank, RatePerSecond, RequestId, RouteName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Allotted rate relative to an account's usual rate.
pub const ALLOTTED_RATIO: f64 = 1.6;
/// Time from a request to the usage report that it causes.
const REPORT_DELAY: Duration = Duration::from_millis(20);
pub const TIME_LIMIT: Duration = Duration::from_millis(2_000);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decider {
    /// Today's code: an equal fraction for every account.
    Equal,
    /// The code under test.
    Shares,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    /// The usage of this long ago.
    Late(Duration),
    /// The usage of now, but none of half of the accounts, the hot ones among them.
    HalfLost,
    /// No reports.
    Lost,
    /// Wrong by a factor of 3, up for every other account and down for the rest.
    Wrong,
}

pub struct Load {
    pub nodes: usize,
    pub requests_per_s_and_node: f64,
    /// Factor of the usual rate by account, from `hot_from` on.
    pub hot: BTreeMap<usize, f64>,
    pub hot_from: MonoTime,
    /// Part of what is asked that there is room for.
    pub room: f64,
    pub reports: Reports,
    pub has_allotments: bool,
}

pub struct Account {
    pub name: AccountName,
    /// Usual requests per second over all nodes.
    pub usual_per_s: f64,
}

/// One account's requests in the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: f64,
    /// Expected number of requests served, which leaves out the noise of the hash bucket.
    pub expected_served: f64,
}

impl Tally {
    pub fn served(&self) -> f64 {
        self.expected_served / self.requests.max(1.0)
    }
}

/// Usual rates by Zipf's law with exponent 1.2.
pub fn accounts(count: usize, total_per_s: f64) -> Vec<Account> {
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let account = |(index, weight): (usize, &f64)| Account {
        name: format!("account-{index}").parse().unwrap(),
        usual_per_s: total_per_s * weight / sum,
    };
    weights.iter().enumerate().map(account).collect()
}

impl Load {
    pub fn factor(&self, account: usize, at: MonoTime) -> f64 {
        let is_hot = at >= self.hot_from;
        self.hot.get(&account).copied().filter(|_| is_hot).unwrap_or(1.0)
    }

    /// Returns the report that a node gets, if any.
    fn report(&self, account: usize, now: MonoTime) -> Option<ReportedUsage> {
        let (delay, error) = match self.reports {
            Reports::Late(delay) => (delay, 1.0),
            Reports::HalfLost if account.is_multiple_of(2) => return None,
            Reports::HalfLost => (Duration::ZERO, 1.0),
            Reports::Lost => return None,
            Reports::Wrong if account.is_multiple_of(2) => (Duration::ZERO, 1.0 / 3.0),
            Reports::Wrong => (Duration::ZERO, 3.0),
        };
        let micros = now.since(MonoTime::ZERO.after(delay)).as_micros();
        let measured_at = MonoTime::from_micros(u64::try_from(micros).unwrap());
        let usage = self.factor(account, measured_at) / ALLOTTED_RATIO * error;
        Some(ReportedUsage { usage_milli: (usage * 1_000.0) as u32, reported_at: now })
    }

    /// Returns the served fraction by account if the room is divided by weighted max-min with
    /// exact knowledge.
    pub fn oracle(&self, accounts: &[Account], at: MonoTime) -> Vec<f64> {
        let demands: Vec<(f64, f64)> = accounts
            .iter()
            .enumerate()
            .map(|(index, account)| {
                let factor = self.factor(index, at);
                let rate = factor * account.usual_per_s;
                (rate, if self.has_allotments { factor } else { rate })
            })
            .collect();
        let asked: f64 = demands.iter().map(|(rate, _)| rate).sum();
        let served = |level: f64, usage: f64| (level / usage).min(1.0);
        let (mut low, mut high) = (0.0, 1e6);
        for _ in 0..80 {
            let level = (low + high) / 2.0;
            let total: f64 = demands.iter().map(|(rate, usage)| rate * served(level, *usage)).sum();
            if total < asked * self.room { low = level } else { high = level }
        }
        demands.iter().map(|(_, usage)| served(high, *usage)).collect()
    }
}

pub struct Node {
    pub shedder: Shedder,
    /// Latest report by account, with the time at which it arrives.
    reports: BTreeMap<usize, (MonoTime, ReportedUsage)>,
}

/// Plays a load and tallies the requests of each account from `measured_from` on.
pub fn play(
    load: &Load,
    accounts: &[Account],
    decider: Decider,
    (measured_from, until): (MonoTime, MonoTime),
) -> Vec<Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let route: RouteName = "browse".parse().unwrap();
    let new_node = |_| Node { shedder: Shedder::new(), reports: BTreeMap::new() };
    let mut nodes: Vec<Node> = (0..load.nodes).map(new_node).collect();
    let mut tallies = vec![Tally::default(); accounts.len()];
    let mut now = MonoTime::from_millis(1_000);
    while now < until {
        let rates: Vec<f64> = accounts
            .iter()
            .enumerate()
            .map(|(index, account)| account.usual_per_s * load.factor(index, now))
            .collect();
        let total_per_s: f64 = rates.iter().sum();
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / total_per_s;
        now = now.after(Duration::from_secs_f64(gap_s));
        let mut pick = rng.random::<f64>() * total_per_s;
        let picked = rates.iter().position(|rate| {
            pick -= rate;
            pick <= 0.0
        });
        let index = picked.unwrap_or(0);
        let node_index = rng.random_range(0..nodes.len());
        let node = &mut nodes[node_index];
        let rank = Rank::of_request(Priority::new(2), RequestId::new(rng.random()));
        let decision = node.decide(load, index, &accounts[index], &route, rank, decider, now);
        if !decision.is_refused {
            let shortage = ServiceShortage {
                service: "lager".parse().unwrap(),
                shed_milli: 1_000.0 * (1.0 - load.room),
                noted_at: now,
                call_cost: Duration::from_millis(20),
            };
            node.shedder.record_report(&route, Some(shortage), now);
        }
        if now >= measured_from {
            tallies[index].requests += 1.0;
            tallies[index].expected_served += 1.0 - decision.refused_fraction;
        }
    }
    tallies
}

impl Node {
    #[allow(clippy::too_many_arguments)]
    fn decide(
        &mut self,
        load: &Load,
        index: usize,
        account: &Account,
        route: &RouteName,
        rank: Rank,
        decider: Decider,
        now: MonoTime,
    ) -> ShedDecision {
        let report =
            self.reports.get(&index).filter(|(at, _)| *at <= now).map(|(_, report)| *report);
        if let Some(report) = load.report(index, now) {
            self.reports.insert(index, (now.after(REPORT_DELAY), report));
        }
        let rate = RatePerSecond::new(account.usual_per_s * ALLOTTED_RATIO);
        let demand = match decider {
            Decider::Equal => AccountDemand::anonymous(),
            Decider::Shares => AccountDemand::of_account(&account.name)
                .with_allotted_rate(load.has_allotments.then_some(rate))
                .with_usage(report),
        };
        let request = RefusedRequest {
            account: demand.account.cloned(),
            route: route.clone(),
            priority: rank.priority(),
            stated_deadline: Some(now.after(TIME_LIMIT)),
        };
        self.shedder.decide(&request, rank, &demand, now)
    }
}
