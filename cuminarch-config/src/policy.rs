//! The compiled form of a valid sheet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use cuminarch_types::{
    AccountName, Allotment, Attempts, ClassName, Priority, Revision, RouteName, RuleNumber,
    ServiceName,
};

use crate::accounts::allotments;
use crate::check::check;
use crate::class_order::ClassOrder;
use crate::index::RuleIndex;
use crate::pattern::{PathPattern, remove_dot_segments};
use crate::space::SAFE_METHODS;
use crate::{
    AccountIndex, CallerLimits, ClassEntry, DestinationEntry, Route, RouteEntry, RouteTable,
    RuleEntry, SetAsideEntry, Severity, Sheet, SheetError,
};

/// The rule that applies to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Number of the rule in the sheet.
    pub number: RuleNumber,
    /// Class of the request.
    pub class: ClassName,
    /// Position of the class in the order of refusal.
    pub priority: Priority,
    /// Attempts granted over the whole chain of calls.
    pub grant: Attempts,
    /// Time limit from the first node to the complete answer.
    pub deadline: Duration,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the class is refused after all unprotected ones.
    pub protected: bool,
    /// Latency objective: time within which an answer is fully useful.
    pub objective: Duration,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_endpoints: u32,
}

/// A rule and the conditions that select its requests.
#[derive(Clone, Debug)]
pub(crate) struct Matcher {
    /// Covers all services if there is no list.
    pub services: Option<Vec<ServiceName>>,
    /// Covers all methods if there is no list.
    pub methods: Option<Vec<CompactString>>,
    pub path: PathPattern,
    pub rule: Rule,
}

/// All rules of one revision of the configuration.
#[derive(Clone, Debug)]
pub struct Policy {
    revision: Revision,
    matchers: Vec<Matcher>,
    index: RuleIndex,
    safe_method_fallback: Rule,
    fallback: Rule,
    routes: RouteTable,
    caller_limits: Option<CallerLimits>,
    top_priority: Priority,
    accounts: AccountIndex,
    allotments: BTreeMap<AccountName, Allotment>,
    set_aside: Vec<SetAsideEntry>,
}

impl Policy {
    /// Attempts granted by the safe defaults.
    const DEFAULT_GRANT: Attempts = Attempts::new(64);
    /// Deadline of the safe defaults in milliseconds.
    const DEFAULT_DEADLINE_MS: u64 = 10_000;

    /// Checks and compiles a sheet. A request that no rule covers belongs to the default class and
    /// is idempotent if its method is safe (GET, HEAD, OPTIONS).
    ///
    /// # Errors
    ///
    /// Fails with a diagnostic for each invalid or inconsistent entry of the sheet.
    pub fn from_sheet(revision: Revision, sheet: &Sheet) -> Result<Self, SheetError> {
        Self::from_sheet_with_digests(revision, sheet, 0)
    }

    /// Checks and compiles a sheet like [`Policy::from_sheet`]; the seed goes into the digests of the
    /// accounts' keys.
    ///
    /// # Errors
    ///
    /// Fails with a diagnostic for each invalid or inconsistent entry of the sheet.
    pub fn from_sheet_with_digests(
        revision: Revision,
        sheet: &Sheet,
        digest_seed: u64,
    ) -> Result<Self, SheetError> {
        let errors: Vec<_> = check(sheet)
            .into_iter()
            .filter(|diagnostic| diagnostic.severity() == Severity::Error)
            .collect();
        if !errors.is_empty() {
            return Err(SheetError::new(errors));
        }
        Self::compile(revision, sheet, digest_seed)
    }

    /// Compiles a sheet without errors.
    pub(crate) fn compile(
        revision: Revision,
        sheet: &Sheet,
        digest_seed: u64,
    ) -> Result<Self, SheetError> {
        let order = ClassOrder::new(sheet);
        let classes: BTreeMap<&ClassName, Rule> = sheet
            .classes
            .iter()
            .enumerate()
            .map(|(position, entry)| {
                let priority = order.of_class(position);
                (&entry.name, Rule { priority, ..Rule::from_class(entry, position) })
            })
            .collect();
        let matchers = sheet
            .rules
            .iter()
            .filter_map(|entry| Some(Matcher::new(entry, classes.get(&entry.class)?.clone())))
            .collect();
        let Some(default) = classes.get(&sheet.default_class) else {
            return Err(SheetError::new(Vec::new()));
        };
        let mut policy = Self::new(revision, matchers, default.clone());
        for entry in &sheet.routes {
            if let Some(class) = classes.get(&entry.class) {
                policy.routes.insert(&entry.host, &entry.prefix, Route::new(entry, class.clone()));
            }
        }
        policy.set_routes_aside(&sheet.set_aside);
        policy.caller_limits = sheet.caller_limits;
        policy.accounts =
            AccountIndex::new(sheet.accounts.as_deref(), &classes, &order, digest_seed)
                .with_set_aside(&sheet.set_aside);
        policy.allotments = allotments(sheet.account_entries());
        policy.top_priority = order.top();
        Ok(policy)
    }

    /// Adds routes without destinations where the entries were set aside, unless another entry has
    /// the same host and prefix.
    fn set_routes_aside(&mut self, entries: &[SetAsideEntry]) {
        for (index, entry) in entries.iter().enumerate() {
            let (Some(host), Some(prefix)) = (&entry.host, &entry.prefix) else { continue };
            let prefix = format!("/{}/", prefix.trim_matches('/')).replace("//", "/");
            if let Ok(name) = RouteName::new(format!("set-aside-{index}")) {
                let rule = self.fallback.clone();
                let route = Route { name, rule, destinations: Vec::new(), is_public: true };
                self.routes.insert_if_absent(host, &prefix, route);
            }
        }
        self.set_aside = entries.to_vec();
    }

    /// Returns the entries of the sheet that are not served.
    #[must_use]
    pub fn set_aside(&self) -> &[SetAsideEntry] {
        &self.set_aside
    }

    /// Creates the policy of a node without configuration: one class, no idempotent requests and no
    /// retries.
    #[must_use]
    pub fn safe_default() -> Self {
        let class = ClassEntry {
            name: Sheet::default().default_class,
            grant_attempts: Self::DEFAULT_GRANT,
            deadline_ms: Self::DEFAULT_DEADLINE_MS,
            retry_percent: 0,
            protected: false,
        };
        let mut policy = Self::new(Revision::default(), Vec::new(), Rule::from_class(&class, 0));
        policy.safe_method_fallback.idempotent = false;
        policy
    }

    fn new(revision: Revision, mut matchers: Vec<Matcher>, class: Rule) -> Self {
        for (position, matcher) in matchers.iter_mut().enumerate() {
            matcher.rule.number = RuleNumber::new(u32::try_from(position + 1).unwrap_or(u32::MAX));
        }
        let number = RuleNumber::new(u32::MAX);
        let fallback = Rule { number, idempotent: false, ..class.clone() };
        let index = RuleIndex::new(&matchers);
        Self {
            revision,
            matchers,
            index,
            top_priority: class.priority,
            safe_method_fallback: class,
            fallback,
            routes: RouteTable::default(),
            caller_limits: None,
            accounts: AccountIndex::default(),
            allotments: BTreeMap::new(),
            set_aside: Vec::new(),
        }
    }

    /// Returns the client accounts.
    #[must_use]
    pub const fn accounts(&self) -> &AccountIndex {
        &self.accounts
    }

    /// Returns the allotments of the accounts that have one.
    #[must_use]
    pub const fn allotments(&self) -> &BTreeMap<AccountName, Allotment> {
        &self.allotments
    }

    /// Returns the routes by host and path.
    #[must_use]
    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the route of a request to `host`. A query in `target` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, target.split('?').next().unwrap_or(target))
    }

    /// Returns the limits on callers' requests, if the sheet has any.
    #[must_use]
    pub const fn caller_limits(&self) -> Option<CallerLimits> {
        self.caller_limits
    }

    /// Returns the highest priority of callers' requests: of any class, or of the accounts' if there
    /// are any.
    #[must_use]
    pub const fn top_priority(&self) -> Priority {
        self.top_priority
    }

    /// Returns the revision of the sheet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the rule of a request. A query in `target` is ignored. Some upstreams resolve `.`
    /// and `..` segments and others do not; if the two interpretations differ, the one that is
    /// not idempotent applies.
    #[must_use]
    pub fn rule(&self, service: &ServiceName, method: &str, target: &str) -> &Rule {
        let path = target.split('?').next().unwrap_or(target);
        let literal = self.rule_for_path(service, method, path);
        let Some(resolved) = remove_dot_segments(path) else { return literal };
        let resolved = self.rule_for_path(service, method, &resolved);
        if resolved.idempotent && !literal.idempotent { literal } else { resolved }
    }

    fn rule_for_path(&self, service: &ServiceName, method: &str, path: &str) -> &Rule {
        self.index
            .candidates(service, path)
            .iter()
            .map(|&index| &self.matchers[index])
            .find(|matcher| matcher.covers_method(method) && matcher.path.covers(path))
            .map_or_else(|| self.fallback(method), |matcher| &matcher.rule)
    }

    pub(crate) fn matchers(&self) -> &[Matcher] {
        &self.matchers
    }

    /// Returns the first of the given rules that covers service and method, with its index, or the
    /// fallback without an index. Each given rule must already match the path.
    pub(crate) fn first_match(
        &self,
        indexes: &[usize],
        service: &ServiceName,
        method: &str,
    ) -> (Option<usize>, &Rule) {
        let is_match = |&&index: &&usize| {
            let matcher = &self.matchers[index];
            matcher.covers_service(service) && matcher.covers_method(method)
        };
        match indexes.iter().find(is_match) {
            Some(&index) => (Some(index), &self.matchers[index].rule),
            None => (None, self.fallback(method)),
        }
    }

    fn fallback(&self, method: &str) -> &Rule {
        if SAFE_METHODS.contains(&method) { &self.safe_method_fallback } else { &self.fallback }
    }
}

impl Rule {
    /// Takes over what a route sets for its requests whatever their class is.
    #[must_use]
    pub(crate) fn with_route_limits(self, route: &Self) -> Self {
        Self {
            number: route.number,
            deadline: route.deadline,
            objective: route.objective,
            idempotent: route.idempotent,
            max_endpoints: route.max_endpoints,
            ..self
        }
    }

    pub(crate) fn from_class(entry: &ClassEntry, position: usize) -> Self {
        Self {
            number: RuleNumber::default(),
            class: entry.name.clone(),
            priority: Priority::new(u8::try_from(position).unwrap_or(u8::MAX)),
            grant: entry.grant_attempts,
            deadline: Duration::from_millis(entry.deadline_ms),
            retry_percent: entry.retry_percent,
            idempotent: true,
            protected: entry.protected,
            objective: Duration::from_millis(entry.deadline_ms),
            max_endpoints: u32::MAX,
        }
    }
}

impl Route {
    fn new(entry: &RouteEntry, class: Rule) -> Self {
        let rule = Rule {
            deadline: Duration::from_millis(entry.deadline_ms),
            objective: Duration::from_millis(entry.objective_ms),
            idempotent: entry.idempotent,
            max_endpoints: entry.max_endpoints,
            ..class
        };
        let is_used = |destination: &&DestinationEntry| destination.weight > 0;
        let destinations = entry.destinations.iter().filter(is_used).cloned().collect();
        Self { name: entry.name.clone(), rule, destinations, is_public: entry.public }
    }
}

impl Matcher {
    pub(crate) fn new(entry: &RuleEntry, class: Rule) -> Self {
        Self {
            services: entry.services.clone(),
            methods: entry.methods.clone(),
            path: PathPattern::new(&entry.path),
            rule: Rule { idempotent: entry.idempotent, ..class },
        }
    }

    pub(crate) fn covers_service(&self, service: &ServiceName) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains(service))
    }

    pub(crate) fn covers_method(&self, method: &str) -> bool {
        let methods = self.methods.as_ref();
        methods.is_none_or(|methods| methods.iter().any(|name| name == method))
    }
}
