//! Order of refusal where client accounts and routes both have a class.

use std::collections::{BTreeMap, BTreeSet};

use cuminarch_types::{ClassName, Priority};

use crate::Sheet;

/// Positions of two classes in the sheet, that of the account first. Requests without an account, or
/// of one without a class, take the place of their route's class.
type ClassPair = (usize, usize);

/// Priorities of all combinations of classes: the class of the account decides, then that of the
/// route.
#[derive(Clone, Debug)]
pub(crate) struct ClassOrder {
    positions: BTreeMap<ClassName, usize>,
    priorities: BTreeMap<ClassPair, Priority>,
    groups: Groups,
    top: Priority,
}

/// Maximum number of pairs; each has its own priority.
const MAX_PAIRS: usize = Priority::HIGHEST.get() as usize + 1;

/// Numbers of neighbouring classes that share places, because there are fewer priorities than pairs.
#[derive(Clone, Copy, Debug)]
struct Groups {
    account_len: usize,
    route_len: usize,
}

impl Default for Groups {
    fn default() -> Self {
        Self { account_len: 1, route_len: 1 }
    }
}

impl Groups {
    fn pair(self, account: usize, route: usize) -> ClassPair {
        (account / self.account_len, route / self.route_len)
    }

    /// Returns larger groups in the dimension that has more of them.
    fn larger(self, pairs: &Pairs) -> Self {
        let accounts: BTreeSet<usize> = pairs.all.iter().map(|(account, _)| *account).collect();
        let routes: BTreeSet<usize> = pairs.all.iter().map(|(_, route)| *route).collect();
        if accounts.len() >= routes.len() {
            Self { account_len: self.account_len * 2, ..self }
        } else {
            Self { route_len: self.route_len * 2, ..self }
        }
    }

    /// Returns `true` if all classes share one place.
    const fn are_single(self, classes: usize) -> bool {
        self.account_len >= classes && self.route_len >= classes
    }
}

/// The pairs that requests can have.
struct Pairs {
    of_accounts: BTreeSet<ClassPair>,
    all: BTreeSet<ClassPair>,
}

impl Pairs {
    fn new(accounts: &BTreeSet<Option<usize>>, routes: &BTreeSet<usize>, groups: Groups) -> Self {
        let pair =
            |account: Option<usize>, route: usize| groups.pair(account.unwrap_or(route), route);
        let of_accounts: BTreeSet<ClassPair> = accounts
            .iter()
            .flat_map(|account| routes.iter().map(move |route| pair(*account, *route)))
            .collect();
        let plain = routes.iter().map(|route| pair(None, *route));
        let all = of_accounts.iter().copied().chain(plain).collect();
        Self { of_accounts, all }
    }
}

/// Returns the classes of routes and rules.
fn used_by_requests(sheet: &Sheet) -> impl Iterator<Item = &ClassName> {
    let routes = sheet.routes.iter().map(|route| &route.class);
    let rules = sheet.rules.iter().map(|rule| &rule.class);
    routes.chain(rules).chain([&sheet.default_class])
}

impl ClassOrder {
    /// Creates the order of a sheet; without accounts it is that of the classes.
    pub(crate) fn new(sheet: &Sheet) -> Self {
        let names = sheet.classes.iter().enumerate();
        let positions: BTreeMap<ClassName, usize> =
            names.map(|(position, class)| (class.name.clone(), position)).collect();
        let position_of = |class: &ClassName| positions.get(class).copied();
        let of_accounts: BTreeSet<Option<usize>> = sheet
            .account_entries()
            .iter()
            .map(|account| account.class.as_ref().and_then(position_of))
            .collect();
        let routes: BTreeSet<usize> = (0..positions.len()).collect();
        let used = used_by_requests(sheet).filter_map(position_of);
        let mut groups = Groups::default();
        let mut pairs = Pairs::new(&of_accounts, &routes, groups);
        let used: BTreeSet<usize> = used.collect();
        while pairs.all.len() > MAX_PAIRS && !groups.are_single(positions.len()) {
            groups = groups.larger(&pairs);
            pairs = Pairs::new(&of_accounts, &used, groups);
        }
        let Pairs { of_accounts: account_pairs, all: pairs } = pairs;
        let priorities: BTreeMap<ClassPair, Priority> =
            pairs.into_iter().enumerate().map(|(index, pair)| (pair, to_priority(index))).collect();
        let most_urgent = account_pairs.last().and_then(|pair| priorities.get(pair));
        let top = most_urgent.or_else(|| priorities.values().next_back()).copied();
        Self { positions, priorities, groups, top: top.unwrap_or_default() }
    }

    /// Returns the priority of requests on routes of a class, of accounts of another.
    fn of_pair(&self, account: usize, route: usize) -> Option<Priority> {
        self.priorities.get(&self.groups.pair(account, route)).copied()
    }

    /// Returns the priority of requests whose class is that of their route.
    pub(crate) fn of_class(&self, position: usize) -> Priority {
        self.of_pair(position, position).unwrap_or_default()
    }

    /// Returns the priorities of the requests of accounts of a class, by those of their routes.
    pub(crate) fn of_account_class(&self, class: &ClassName) -> BTreeMap<Priority, Priority> {
        let Some(account) = self.positions.get(class) else { return BTreeMap::new() };
        let routes = 0..self.positions.len();
        routes
            .filter_map(|route| Some((self.of_class(route), self.of_pair(*account, route)?)))
            .collect()
    }

    /// Returns the highest priority of callers' requests.
    pub(crate) const fn top(&self) -> Priority {
        self.top
    }
}

fn to_priority(index: usize) -> Priority {
    Priority::new(u8::try_from(index).unwrap_or(u8::MAX))
}
