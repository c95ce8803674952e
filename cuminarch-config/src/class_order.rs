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
    top: Priority,
}

impl ClassOrder {
    /// Creates the order of a sheet; without accounts it is that of the classes.
    pub(crate) fn new(sheet: &Sheet) -> Self {
        let names = sheet.classes.iter().enumerate();
        let positions: BTreeMap<ClassName, usize> =
            names.map(|(position, class)| (class.name.clone(), position)).collect();
        let position_of = |class: &ClassName| positions.get(class).copied();
        let of_accounts: BTreeSet<Option<usize>> = sheet
            .accounts
            .iter()
            .map(|account| account.class.as_ref().and_then(position_of))
            .collect();
        let routes = 0..positions.len();
        let of_account = |account: &Option<usize>| {
            let account = *account;
            routes.clone().map(move |route| (account.unwrap_or(route), route))
        };
        let account_pairs: BTreeSet<ClassPair> = of_accounts.iter().flat_map(of_account).collect();
        let plain_pairs = routes.clone().map(|route| (route, route));
        let pairs: BTreeSet<ClassPair> = account_pairs.iter().copied().chain(plain_pairs).collect();
        let priorities: BTreeMap<ClassPair, Priority> =
            pairs.into_iter().enumerate().map(|(index, pair)| (pair, to_priority(index))).collect();
        let most_urgent = account_pairs.last().and_then(|pair| priorities.get(pair));
        let top = most_urgent.or_else(|| priorities.values().next_back()).copied();
        Self { positions, priorities, top: top.unwrap_or_default() }
    }

    /// Returns the priority of requests whose class is that of their route.
    pub(crate) fn of_class(&self, position: usize) -> Priority {
        self.priorities.get(&(position, position)).copied().unwrap_or_default()
    }

    /// Returns the priorities of the requests of accounts of a class, by those of their routes.
    pub(crate) fn of_account_class(&self, class: &ClassName) -> BTreeMap<Priority, Priority> {
        let Some(account) = self.positions.get(class) else { return BTreeMap::new() };
        let routes = 0..self.positions.len();
        routes
            .filter_map(|route| {
                let combined = self.priorities.get(&(*account, route))?;
                Some((self.of_class(route), *combined))
            })
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
