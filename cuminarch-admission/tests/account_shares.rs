//! Who gives way between the client accounts of one class when room is short.

#![allow(clippy::unwrap_used)]

mod account_world;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use account_world::{Account, Decider, Load, Reports, Tally, accounts, play};
use cuminarch_admission::{
    AccountDemand, RefusedRequest, ReportedUsage, ServiceShortage, ShedDecision, Shedder,
};
use cuminarch_types::{AccountName, MonoTime, Priority, Rank, RatePerSecond, RequestId};
use rstest::rstest;

const ACCOUNTS: usize = 86;
const HOT_FROM: MonoTime = MonoTime::from_millis(10_000);
/// Two seconds after the load changes, until which nobody is measured.
const MEASURED_FROM: MonoTime = MonoTime::from_millis(12_000);
const MEASURED_UNTIL: MonoTime = MonoTime::from_millis(20_000);
/// Accounts without an unusual rate get this part of what an oracle gives them.
const MIN_ORACLE_RATIO: f64 = 0.95;
/// Nobody who asks its usual rate is served less than this, relative to all requests.
const MIN_SERVED_RATIO: f64 = 0.5;

/// 87 entry nodes with 28 requests a second each.
fn load(hot: &[(usize, f64)]) -> Load {
    Load {
        nodes: 87,
        requests_per_s_and_node: 28.0,
        hot: hot.iter().copied().collect(),
        hot_from: HOT_FROM,
        room: 0.7,
        reports: Reports::Late(Duration::ZERO),
        has_allotments: true,
    }
}

struct Result {
    accounts: Vec<Account>,
    tallies: Vec<Tally>,
    oracle: Vec<f64>,
    hot: BTreeMap<usize, f64>,
}

fn measure(load: Load, decider: Decider) -> Result {
    let total_per_s = load.nodes as f64 * load.requests_per_s_and_node;
    let accounts = accounts(ACCOUNTS, total_per_s);
    let tallies = play(&load, &accounts, decider, (MEASURED_FROM, MEASURED_UNTIL));
    let oracle = load.oracle(&accounts, MEASURED_FROM);
    Result { accounts, tallies, oracle, hot: load.hot }
}

impl Result {
    fn usual(&self) -> impl Iterator<Item = usize> {
        (0..self.accounts.len()).filter(|index| !self.hot.contains_key(index))
    }

    /// Returns the smallest served fraction of an account with its usual rate, relative to the
    /// oracle.
    fn min_oracle_ratio(&self) -> f64 {
        let ratios = self.usual().map(|index| self.tallies[index].served() / self.oracle[index]);
        ratios.fold(f64::INFINITY, f64::min)
    }

    fn served(&self) -> f64 {
        let requests: f64 = self.tallies.iter().map(|tally| tally.requests).sum();
        self.tallies.iter().map(|tally| tally.expected_served).sum::<f64>() / requests
    }

    /// Returns the smallest served fraction of an account with its usual rate, relative to all.
    fn min_served_ratio(&self) -> f64 {
        let served = self.usual().map(|index| self.tallies[index].served());
        served.fold(f64::INFINITY, f64::min) / self.served()
    }

    fn hot_served(&self) -> f64 {
        let hot = self.hot.keys().map(|index| self.tallies[*index]);
        let (served, requests) = hot.fold((0.0, 0.0), |(served, requests), tally| {
            (served + tally.expected_served, requests + tally.requests)
        });
        served / f64::max(requests, 1.0)
    }

    fn row(&self) -> String {
        format!(
            "least of the usual {:.2} of the oracle's, {:.2} of all; hot {:.2}; all {:.2}",
            self.min_oracle_ratio(),
            self.min_served_ratio(),
            self.hot_served(),
            self.served(),
        )
    }
}

fn with_reports(reports: Reports) -> Load {
    Load { reports, ..load(&[(0, 6.0)]) }
}

fn many_small_nodes() -> Load {
    Load { nodes: 860, requests_per_s_and_node: 4.0, ..load(&[(0, 6.0)]) }
}

fn loads() -> Vec<(&'static str, Load)> {
    let hot = |index| load(&[(index, 6.0)]);
    vec![
        ("the largest account asks 6 times its usual", hot(0)),
        ("the tenth account asks 6 times its usual", hot(9)),
        ("the sixtieth account asks 6 times its usual", hot(59)),
        ("three accounts at once", load(&[(0, 6.0), (4, 6.0), (20, 6.0)])),
        ("reports late by 2 s", with_reports(Reports::Late(Duration::from_secs(2)))),
        ("reports of half of the accounts lost", with_reports(Reports::HalfLost)),
        ("all reports lost", with_reports(Reports::Lost)),
        ("reports wrong by a factor of 3", with_reports(Reports::Wrong)),
        ("860 nodes with 4 requests a second", many_small_nodes()),
        ("no allotments", Load { has_allotments: false, ..hot(0) }),
        ("nobody asks more than usual", load(&[])),
    ]
}

#[test]
fn shares_beside_todays_code_and_the_oracle() {
    let mut table = String::new();
    for (name, load) in loads() {
        let oracle = load.oracle(&accounts(ACCOUNTS, 1.0), MEASURED_FROM);
        let hot_served = load.hot.keys().next().map_or(1.0, |index| oracle[*index]);
        writeln!(table, "{name} (oracle: hot {hot_served:.2})").unwrap();
        for decider in [Decider::Equal, Decider::Shares] {
            let load = loads().into_iter().find(|(other, _)| *other == name).unwrap().1;
            writeln!(table, "  {decider:?}: {}", measure(load, decider).row()).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// From two to ten seconds after one or more accounts begin to ask 6 times their usual rate.
#[rstest]
#[case::largest_account(load(&[(0, 6.0)]))]
#[case::tenth_account(load(&[(9, 6.0)]))]
#[case::sixtieth_account(load(&[(59, 6.0)]))]
#[case::three_accounts(load(&[(0, 6.0), (4, 6.0), (20, 6.0)]))]
#[case::late_reports(with_reports(Reports::Late(Duration::from_secs(2))))]
#[case::half_of_the_reports_lost(with_reports(Reports::HalfLost))]
#[case::all_reports_lost(with_reports(Reports::Lost))]
#[case::wrong_reports(with_reports(Reports::Wrong))]
#[case::many_small_nodes(many_small_nodes())]
#[case::no_allotments(Load { has_allotments: false, ..load(&[(0, 6.0)]) })]
#[case::nobody_is_hot(load(&[]))]
fn accounts_that_ask_their_usual_rate_are_served(#[case] load: Load) {
    let result = measure(load, Decider::Shares);
    assert!(result.min_served_ratio() >= MIN_SERVED_RATIO, "{}", result.row());
    assert!(result.min_oracle_ratio() >= MIN_ORACLE_RATIO, "{}", result.row());
}

/// A request every 5 ms at an entry node while a fraction of the load has to be shed.
struct Stream {
    shedder: Shedder,
    shed_milli: f64,
    step: u64,
}

impl Stream {
    fn new(shed_milli: f64) -> Self {
        Self { shedder: Shedder::new(), shed_milli, step: 0 }
    }

    fn next(&mut self, account: Option<&str>, route: &str, priority: u8) -> ShedDecision {
        self.step += 1;
        let now = MonoTime::from_millis(1_000 + self.step * 5);
        let account: Option<AccountName> = account.map(|name| name.parse().unwrap());
        let root = RequestId::new(u128::from(self.step) << 40);
        let rank = Rank::of_request(Priority::new(priority), root);
        let request = RefusedRequest {
            account: account.clone(),
            route: route.parse().unwrap(),
            priority: rank.priority(),
            stated_deadline: None,
        };
        let demand = AccountDemand { account: account.as_ref(), ..AccountDemand::anonymous() };
        let decision = self.shedder.decide(&request, rank, &demand, now);
        let shortage = ServiceShortage {
            service: "lager".parse().unwrap(),
            shed_milli: self.shed_milli,
            noted_at: now,
            call_cost: Duration::from_millis(20),
        };
        self.shedder.record_report(&request.route, Some(shortage), now);
        decision
    }
}

/// Requests of two classes of accounts on each of two routes; half of the load has to be shed.
#[test]
fn the_class_of_the_account_goes_before_the_route() {
    let mut stream = Stream::new(500.0);
    let mut refused: BTreeMap<u8, f64> = BTreeMap::new();
    for step in 0..4_000 {
        for route in ["browse", "order"] {
            for (account, priority) in [("gold", 9), ("silver", 2)] {
                let decision = stream.next(Some(account), route, priority);
                let is_counted = step >= 2_000 && decision.is_refused;
                *refused.entry(priority).or_default() += f64::from(u8::from(is_counted)) / 4_000.0;
            }
        }
    }
    assert!(refused[&9] < 0.15, "{refused:?}");
    assert!(refused[&2] > 0.85, "{refused:?}");
}

/// Public routes of the class of an account.
#[test]
fn requests_without_an_account_share_as_one_group_of_their_class() {
    let mut stream = Stream::new(300.0);
    let (mut of_account, mut public) = (0.0, 0.0);
    for _ in 0..4_000 {
        of_account += stream.next(Some("quilts"), "browse", 2).refused_fraction / 4_000.0;
        public += stream.next(None, "browse", 2).refused_fraction / 4_000.0;
    }
    assert!(
        (of_account - 0.3).abs() < 0.05 && (public - 0.3).abs() < 0.05,
        "{of_account} {public}"
    );
}

/// Half of the requests are of an account that asks all of its allotted rate, half of one that asks
/// a tenth of its own; room for 0.3. Max-min alone would serve the former hardly at all.
#[test]
fn an_account_within_its_allotment_is_never_starved() {
    let mut shedder = Shedder::new();
    let accounts: [(AccountName, f64, u32); 2] =
        [("quilts".parse().unwrap(), 50.0, 1_000), ("zwirn".parse().unwrap(), 500.0, 100)];
    let mut served = [0.0; 2];
    for step in 0..8_000_usize {
        let now = MonoTime::from_millis(1_000 + step as u64 * 10);
        let (account, rate, usage_milli) = &accounts[step % 2];
        let rank = Rank::of_request(Priority::new(2), RequestId::new((step as u128) << 40));
        let request = RefusedRequest {
            account: Some(account.clone()),
            route: "browse".parse().unwrap(),
            priority: rank.priority(),
            stated_deadline: None,
        };
        let demand = AccountDemand::of_account(account)
            .with_allotted_rate(Some(RatePerSecond::new(*rate)))
            .with_usage(Some(ReportedUsage { usage_milli: *usage_milli, reported_at: now }));
        let decision = shedder.decide(&request, rank, &demand, now);
        let shortage = ServiceShortage {
            service: "lager".parse().unwrap(),
            shed_milli: 700.0,
            noted_at: now,
            call_cost: Duration::from_millis(20),
        };
        shedder.record_report(&request.route, Some(shortage), now);
        served[step % 2] += (1.0 - decision.refused_fraction) / 4_000.0;
    }
    let all = (served[0] + served[1]) / 2.0;
    assert!(served[0] >= MIN_SERVED_RATIO * all, "{served:?}");
    assert!((all - 0.3).abs() < 0.05, "{served:?}");
}

/// A hundred thousand accounts, and as many callers who do not return.
#[test]
fn the_memory_is_bounded_for_any_number_of_accounts() {
    let mut shedder = Shedder::new();
    for step in 0..100_000_u64 {
        let now = MonoTime::from_millis(1_000 + step);
        let account: AccountName = format!("account-{step}").parse().unwrap();
        let rank = Rank::of_request(Priority::new(2), RequestId::new(u128::from(step) << 40));
        let request = RefusedRequest {
            account: Some(account.clone()),
            route: "browse".parse().unwrap(),
            priority: rank.priority(),
            stated_deadline: Some(now.after(Duration::from_secs(2))),
        };
        let demand = AccountDemand::of_account(&account);
        shedder.decide(&request, rank, &demand, now);
        let earliest = now.after(Duration::from_millis(50));
        let window = (earliest, earliest, now.after(Duration::from_secs(60)));
        shedder.promise_return(request, &demand, window, 0.0, now);
    }
    let (accounts, promises) = shedder.share_sizes();
    assert!(accounts <= 256 && promises <= 1_024, "{accounts} {promises}");
    assert!(promises > 0);
}
