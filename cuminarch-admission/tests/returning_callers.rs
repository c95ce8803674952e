//! Refused callers who return at the time that they were told.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use cuminarch_admission::{AccountDemand, RefusedRequest, ServiceShortage, Shedder};
use cuminarch_types::{AccountName, MonoTime, Priority, Rank, RequestId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TIME_LIMIT: Duration = Duration::from_millis(2_000);
const OBJECTIVE: Duration = Duration::from_millis(500);
const CONNECT_TIME_MS: u64 = 20;
const MEASURED_FROM: MonoTime = MonoTime::from_millis(20_000);
const UNTIL: MonoTime = MonoTime::from_millis(120_000);
/// Of those who return in time.
const MAX_REFUSED_AGAIN: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Decider {
    /// Callers return at once.
    Naive,
    /// Today's code: a random time within half of the objective, and no memory of it.
    Random,
    /// The code under test.
    Promised,
}

/// One entry node; room for a part of what is asked.
#[derive(Clone, Copy, Debug)]
struct Load {
    requests_per_s: f64,
    accounts: usize,
    /// Requests of the first account relative to those of another one.
    hot_factor: usize,
    room: f64,
    /// Part of the callers told a time who give up instead.
    give_up: f64,
    /// Whether callers state what is left of their time.
    states_deadline: bool,
}

struct Caller {
    account: Option<AccountName>,
    deadline: MonoTime,
    /// Time that it was told to return, if it was promised room or does not know better.
    told: Option<MonoTime>,
    is_return: bool,
}

#[derive(Debug, Default)]
struct Result {
    requests: f64,
    served: f64,
    told: f64,
    returned_in_time: f64,
    refused_again: f64,
    times: BTreeSet<MonoTime>,
    /// Requests of the accounts other than the first one, and those of them that were served.
    other_requests: f64,
    other_served: f64,
}

impl Result {
    fn refused_again(&self) -> f64 {
        self.refused_again / self.returned_in_time.max(1.0)
    }

    fn row(&self) -> String {
        format!(
            "served {:.2}; told a time {:.2}; of those who return in time refused again {:.2}",
            self.served / self.requests,
            self.told / self.requests,
            self.refused_again(),
        )
    }
}

fn account_name(index: usize) -> AccountName {
    format!("account-{index}").parse().unwrap()
}

struct World {
    load: Load,
    decider: Decider,
    rng: ChaCha8Rng,
    shedder: Shedder,
    queue: BTreeMap<(MonoTime, u64), Caller>,
    sequence: u64,
    result: Result,
}

impl World {
    fn new(load: Load, decider: Decider) -> Self {
        let shedder = match decider {
            Decider::Promised => Shedder::new().with_shares(),
            _ => Shedder::new(),
        };
        let rng = ChaCha8Rng::seed_from_u64(5);
        let (queue, result) = (BTreeMap::new(), Result::default());
        Self { load, decider, rng, shedder, queue, sequence: 0, result }
    }

    fn play(mut self) -> Result {
        self.next_caller(MonoTime::from_millis(1_000));
        while let Some(((now, _), caller)) = self.queue.pop_first() {
            if now >= UNTIL {
                break;
            }
            if !caller.is_return {
                self.next_caller(now);
            }
            self.arrive(caller, now);
        }
        self.result
    }

    fn schedule(&mut self, at: MonoTime, caller: Caller) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), caller);
    }

    fn next_caller(&mut self, now: MonoTime) {
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.load.requests_per_s;
        let at = now.after(Duration::from_secs_f64(gap_s));
        let accounts = self.load.accounts;
        let account = (accounts > 0).then(|| {
            let hot_factor = self.load.hot_factor;
            let pick = self.rng.random_range(0..accounts + hot_factor - 1);
            account_name(pick.saturating_sub(hot_factor - 1))
        });
        let deadline = at.after(TIME_LIMIT);
        self.schedule(at, Caller { account, deadline, told: None, is_return: false });
    }

    fn arrive(&mut self, caller: Caller, now: MonoTime) {
        let rank = Rank::of_request(Priority::new(2), RequestId::new(self.rng.random()));
        let request = RefusedRequest {
            account: caller.account.clone(),
            route: "browse".parse().unwrap(),
            priority: rank.priority(),
            stated_deadline: self.load.states_deadline.then_some(caller.deadline),
        };
        let demand = AccountDemand { account: caller.account.as_ref(), ..Default::default() };
        let decision = match self.decider {
            Decider::Promised => self.shedder.decide(&request, rank, &demand, now).is_refused,
            _ => self.shedder.should_refuse(&request.route, rank, now),
        };
        let is_measured = now >= MEASURED_FROM;
        let result = &mut self.result;
        if is_measured {
            result.requests += f64::from(u8::from(!caller.is_return));
            result.served += f64::from(u8::from(!decision));
            if caller.account != Some(account_name(0)) {
                result.other_requests += f64::from(u8::from(!caller.is_return));
                result.other_served += f64::from(u8::from(!decision));
            }
            if caller.told.is_some() {
                result.returned_in_time += 1.0;
                result.refused_again += f64::from(u8::from(decision));
            }
        }
        if decision {
            return self.refuse(request, caller, now);
        }
        let shortage = ServiceShortage {
            service: "lager".parse().unwrap(),
            shed_milli: 1_000.0 * (1.0 - self.load.room),
            noted_at: now,
            call_cost: Duration::from_millis(20),
        };
        self.shedder.record_report(&request.route, Some(shortage), now);
    }

    /// Tells a refused caller when to return, as an entry node does.
    fn refuse(&mut self, request: RefusedRequest, caller: Caller, now: MonoTime) {
        if caller.is_return {
            return;
        }
        let left = caller.deadline.since(now);
        let random: f64 = self.rng.random();
        let earliest = OBJECTIVE.mul_f64(0.1);
        let latest = OBJECTIVE.mul_f64(0.5).min(left.mul_f64(0.3));
        let wait = earliest + (latest - earliest).mul_f64(random);
        let time = match self.decider {
            Decider::Naive => Some(now),
            Decider::Random => Some(now.after(wait)),
            Decider::Promised => {
                let window = (now.after(earliest), now.after(wait), now.after(latest));
                let demand =
                    AccountDemand { account: caller.account.as_ref(), ..Default::default() };
                let draw = self.rng.random();
                self.shedder.promise_return(request, &demand, window, draw, now)
            }
        };
        if let Some(time) = time
            && now >= MEASURED_FROM
        {
            self.result.told += 1.0;
            self.result.times.insert(time);
        }
        if time.is_some() && self.rng.random_bool(self.load.give_up) {
            return;
        }
        let connect = Duration::from_millis(self.rng.random_range(0..=CONNECT_TIME_MS));
        let return_at = time.unwrap_or_else(|| now.after(left / 3)).after(connect);
        self.schedule(return_at, Caller { told: time, is_return: true, ..caller });
    }
}

const ENTRY_NODE: Load = Load {
    requests_per_s: 28.0,
    accounts: 86,
    hot_factor: 1,
    room: 0.7,
    give_up: 0.0,
    states_deadline: true,
};

fn loads() -> [(&'static str, Load); 6] {
    [
        ("28 requests a second, room for 0.7", ENTRY_NODE),
        ("room for 0.4", Load { room: 0.4, ..ENTRY_NODE }),
        ("4 requests a second", Load { requests_per_s: 4.0, ..ENTRY_NODE }),
        (
            "no accounts, 500 requests a second",
            Load { requests_per_s: 500.0, accounts: 0, ..ENTRY_NODE },
        ),
        ("half of the callers give up", Load { give_up: 0.5, ..ENTRY_NODE }),
        ("callers state no deadline", Load { states_deadline: false, ..ENTRY_NODE }),
    ]
}

#[test]
fn promised_times_beside_todays_code() {
    let mut table = String::new();
    for (name, load) in loads() {
        writeln!(table, "{name}").unwrap();
        for decider in [Decider::Naive, Decider::Random, Decider::Promised] {
            writeln!(table, "  {decider:?}: {}", World::new(load, decider).play().row()).unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[rstest]
fn callers_who_return_in_time_are_served(#[values(0, 1, 2, 3, 4, 5)] index: usize) {
    let (_, load) = loads()[index];
    let result = World::new(load, Decider::Promised).play();
    assert!(result.returned_in_time > 0.0, "{}", result.row());
    assert!(result.refused_again() <= MAX_REFUSED_AGAIN, "{}", result.row());
    // Different times, and no more of them than there is room for.
    assert_eq!(result.times.len(), result.told as usize);
    assert!(result.told <= result.requests * load.room, "{}", result.row());
}

/// A request that arrives `late_ms` after the time that a caller of `account-1` was told.
#[rstest]
#[case::return_in_time(1, "browse", 0, 10, true)]
#[case::other_account(2, "browse", 0, 10, false)]
#[case::other_route(1, "order", 0, 10, false)]
#[case::other_deadline(1, "browse", 300, 10, false)]
#[case::too_late(1, "browse", 0, 400, false)]
fn a_return_is_recognised_by_account_route_deadline_and_time(
    #[case] account: u32,
    #[case] route: &str,
    #[case] deadline_offset_ms: u64,
    #[case] late_ms: u64,
    #[case] is_returning: bool,
) {
    let mut shedder = Shedder::new().with_shares();
    let now = MonoTime::from_millis(1_000);
    let deadline = now.after(TIME_LIMIT);
    let refused = RefusedRequest {
        account: Some("account-1".parse().unwrap()),
        route: "browse".parse().unwrap(),
        priority: Priority::new(2),
        stated_deadline: Some(deadline),
    };
    let demand = AccountDemand::anonymous();
    let rank = Rank::floor_of(Priority::new(2));
    assert!(!shedder.decide(&refused, rank, &demand, now).is_refused);
    let time = now.after(Duration::from_millis(100));
    let promised = shedder.promise_return(refused, &demand, (time, time, time), 0.0, now);
    assert_eq!(promised, Some(time));
    let request = RefusedRequest {
        account: Some(format!("account-{account}").parse().unwrap()),
        route: route.parse().unwrap(),
        priority: Priority::new(2),
        stated_deadline: Some(deadline.after(Duration::from_millis(deadline_offset_ms))),
    };
    let later = time.after(Duration::from_millis(late_ms));
    let decision = shedder.decide(&request, rank, &demand, later);
    assert_eq!(decision.share.map(|share| share.is_returning), Some(is_returning));
    // A promise is spent once.
    let again = shedder.decide(&request, rank, &demand, later);
    assert_eq!(again.share.map(|share| share.is_returning), Some(false));
}

/// One of five accounts asks 6 times as much as each other one. There is room for all requests of
/// the others; the returns of the first one must not take it.
#[test]
fn returning_callers_of_a_hot_account_take_no_room_from_others() {
    let load = Load { accounts: 5, hot_factor: 6, ..ENTRY_NODE };
    let result = World::new(load, Decider::Promised).play();
    let others = result.other_served / result.other_requests;
    assert!(others >= 0.95, "{others} {}", result.row());
    assert!(result.refused_again() <= MAX_REFUSED_AGAIN, "{}", result.row());
}
