//! Checks the values of a sheet and their consistency.

use std::collections::{BTreeMap, BTreeSet};

use cuminarch_types::{ClassName, Priority, ServiceName};

use crate::pattern::PathPattern;
use crate::policy::{Matcher, Rule};
use crate::space::RequestSpace;
use crate::{ClassEntry, Diagnostic, DiagnosticKind, RouteEntry, RuleEntry, Sheet};

/// Returns all diagnostics of a structurally valid sheet.
pub(crate) fn check(sheet: &Sheet) -> Vec<Diagnostic> {
    let mut checker = Checker { sheet, diagnostics: Vec::new() };
    checker.check_services();
    checker.check_classes();
    checker.check_refusal_order();
    for (index, rule) in sheet.rules.iter().enumerate() {
        checker.check_rule(index, rule);
    }
    checker.check_routes();
    checker.check_accounts();
    checker.check_class_uses();
    checker.check_overlaps();
    checker.diagnostics
}

pub(crate) struct Checker<'a> {
    pub sheet: &'a Sheet,
    diagnostics: Vec<Diagnostic>,
}

/// Relations between rules that cover the same requests, by index or (earlier, later) pair.
#[derive(Default)]
struct Overlaps {
    reachable: BTreeSet<usize>,
    covered_by: BTreeMap<usize, BTreeSet<usize>>,
    shadowed: BTreeMap<(usize, usize), String>,
    /// Pairs whose earlier rule also covers requests that the later one does not.
    partly_disjoint: BTreeSet<(usize, usize)>,
}

impl Checker<'_> {
    /// Maximum number of classes; each has its own priority.
    const MAX_CLASSES: usize = Priority::HIGHEST.get() as usize + 1;
    /// Maximum number of attempts granted to one request.
    const MAX_GRANT_ATTEMPTS: u64 = 4_096;
    /// Depth of the longest chain of services.
    const MAX_DEPTH: u32 = 14;
    /// Minimum deadline in milliseconds.
    const MIN_DEADLINE_MS: u64 = 10;
    /// Maximum deadline in milliseconds.
    const MAX_DEADLINE_MS: u64 = 3_600_000;
    /// Minimum time limit and objective of a route in milliseconds.
    const MIN_ROUTE_TIME_MS: u64 = 1;
    /// Maximum time limit and objective of a route in milliseconds: a week.
    const MAX_ROUTE_TIME_MS: u64 = 604_800_000;
    /// Maximum number of retries per hundred first attempts.
    const MAX_RETRY_PERCENT: u64 = 100;
    /// Maximum number of retries per hundred first attempts in the class of a non-idempotent rule.
    const MAX_NON_IDEMPOTENT_RETRY_PERCENT: u32 = 50;

    pub(crate) fn report(&mut self, path: impl Into<String>, kind: DiagnosticKind) {
        self.diagnostics.push(Diagnostic::new(path, kind));
    }

    fn check_range(&mut self, path: String, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            self.report(path, DiagnosticKind::OutOfRange { value, min, max });
        }
    }

    fn check_services(&mut self) {
        self.check_duplicates("services", self.sheet.services.iter().map(ServiceName::as_str));
    }

    fn check_duplicates<'a>(&mut self, path: &str, entries: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, entry) in entries.enumerate() {
            if !seen.insert(entry) {
                self.report(
                    format!("{path}[{index}]"),
                    DiagnosticKind::Duplicate { entry: entry.into() },
                );
            }
        }
    }

    fn check_classes(&mut self) {
        let sheet = self.sheet;
        let count = sheet.classes.len();
        if count == 0 {
            self.report("classes", DiagnosticKind::NoClasses);
        }
        if count > Self::MAX_CLASSES {
            let max = Self::MAX_CLASSES;
            self.report("classes", DiagnosticKind::TooManyClasses { count, max });
        }
        let mut first_indexes: BTreeMap<&ClassName, usize> = BTreeMap::new();
        for (index, entry) in sheet.classes.iter().enumerate() {
            if let Some(&first) = first_indexes.get(&entry.name) {
                let kind = DiagnosticKind::DuplicateClass { class: entry.name.clone(), first };
                self.report(format!("classes[{index}].name"), kind);
            } else {
                first_indexes.insert(&entry.name, index);
            }
            self.check_class(index, entry);
        }
    }

    fn check_class(&mut self, index: usize, entry: &ClassEntry) {
        let path = |key: &str| format!("classes[{index}].{key}");
        let grant = entry.grant_attempts.get();
        self.check_range(path("grant_attempts"), u64::from(grant), 1, Self::MAX_GRANT_ATTEMPTS);
        if (1..Self::MAX_DEPTH).contains(&grant) {
            let kind = DiagnosticKind::GrantTooSmall { grant, depth: Self::MAX_DEPTH };
            self.report(path("grant_attempts"), kind);
        }
        let (min, max) = (Self::MIN_DEADLINE_MS, Self::MAX_DEADLINE_MS);
        self.check_range(path("deadline_ms"), entry.deadline_ms, min, max);
        let retry_percent = u64::from(entry.retry_percent);
        self.check_range(path("retry_percent"), retry_percent, 0, Self::MAX_RETRY_PERCENT);
    }

    fn check_refusal_order(&mut self) {
        let classes = &self.sheet.classes;
        let Some(last) = classes.iter().rposition(|entry| !entry.protected) else { return };
        let unprotected = &classes[last].name;
        for (index, entry) in classes[..last].iter().enumerate() {
            if entry.protected {
                let kind = DiagnosticKind::ProtectedBeforeUnprotected {
                    class: entry.name.clone(),
                    unprotected: unprotected.clone(),
                };
                self.report(format!("classes[{index}].protected"), kind);
            }
        }
    }

    fn check_rule(&mut self, index: usize, entry: &RuleEntry) {
        let path = |key: &str| format!("rules[{index}].{key}");
        let services = entry.services.as_deref().unwrap_or_default();
        let methods = entry.methods.as_deref().unwrap_or_default();
        self.check_duplicates(&path("services"), services.iter().map(ServiceName::as_str));
        self.check_duplicates(
            &path("methods"),
            methods.iter().map(compact_str::CompactString::as_str),
        );
        let declared = &self.sheet.services;
        for (position, service) in services.iter().enumerate() {
            if !declared.is_empty() && !declared.contains(service) {
                let kind = DiagnosticKind::UnknownService { service: service.clone() };
                self.report(format!("rules[{index}].services[{position}]"), kind);
            }
        }
        for (position, method) in methods.iter().enumerate() {
            let is_method = !method.is_empty()
                && method.bytes().all(|byte| byte.is_ascii_uppercase() || byte == b'-');
            if !is_method {
                let kind = DiagnosticKind::InvalidMethod { method: method.clone() };
                self.report(format!("rules[{index}].methods[{position}]"), kind);
            }
        }
        if let Some(reason) = PathPattern::syntax_error(&entry.path) {
            let kind = DiagnosticKind::InvalidPattern { pattern: entry.path.clone(), reason };
            self.report(path("path"), kind);
        }
        match self.sheet.classes.iter().find(|class| class.name == entry.class) {
            None => {
                self.report(
                    path("class"),
                    DiagnosticKind::UnknownClass { class: entry.class.clone() },
                );
            }
            Some(class) if !entry.idempotent => self.check_non_idempotent(index, class),
            Some(_) => {}
        }
    }

    fn check_non_idempotent(&mut self, index: usize, class: &ClassEntry) {
        let path = format!("rules[{index}].class");
        let retry_percent = class.retry_percent;
        if retry_percent > Self::MAX_NON_IDEMPOTENT_RETRY_PERCENT {
            let kind =
                DiagnosticKind::NonIdempotentRetries { class: class.name.clone(), retry_percent };
            self.report(path.clone(), kind);
        }
        if !class.protected {
            let kind = DiagnosticKind::NonIdempotentUnprotected { class: class.name.clone() };
            self.report(path, kind);
        }
    }

    fn check_routes(&mut self) {
        let routes = &self.sheet.routes;
        self.check_duplicates("routes", routes.iter().map(|route| route.name.as_str()));
        let host_prefixes: Vec<String> =
            routes.iter().map(|route| format!("{}{}", route.host, route.prefix)).collect();
        self.check_duplicates("routes", host_prefixes.iter().map(String::as_str));
        for (index, route) in routes.iter().enumerate() {
            self.check_route(index, route);
        }
    }

    fn check_route(&mut self, index: usize, route: &RouteEntry) {
        let path = |key: &str| format!("routes[{index}].{key}");
        if !self.sheet.classes.iter().any(|class| class.name == route.class) {
            self.report(path("class"), DiagnosticKind::UnknownClass { class: route.class.clone() });
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let reason = format!("{:?} does not begin and end with a slash", route.prefix);
            self.report(path("prefix"), DiagnosticKind::InvalidValue { reason });
        }
        if route.destinations.iter().all(|destination| destination.weight == 0) {
            let reason = "no destination has a weight above 0".to_owned();
            self.report(path("destinations"), DiagnosticKind::InvalidValue { reason });
        }
        let declared = &self.sheet.services;
        for (position, destination) in route.destinations.iter().enumerate() {
            if !declared.is_empty() && !declared.contains(&destination.service) {
                let kind = DiagnosticKind::UnknownService { service: destination.service.clone() };
                self.report(format!("routes[{index}].destinations[{position}]"), kind);
            }
        }
        let (min, max) = (Self::MIN_ROUTE_TIME_MS, Self::MAX_ROUTE_TIME_MS);
        self.check_range(path("deadline_ms"), route.deadline_ms, min, max);
        self.check_range(path("objective_ms"), route.objective_ms, min, max);
        let max_endpoints = u64::from(route.max_endpoints);
        self.check_range(path("max_endpoints"), max_endpoints, 1, u64::from(u32::MAX));
    }

    fn check_class_uses(&mut self) {
        let sheet = self.sheet;
        let default = &sheet.default_class;
        if !sheet.classes.iter().any(|entry| entry.name == *default) {
            self.report("default_class", DiagnosticKind::UnknownClass { class: default.clone() });
        }
        let mut used: BTreeSet<&ClassName> = sheet.rules.iter().map(|rule| &rule.class).collect();
        used.extend(sheet.routes.iter().map(|route| &route.class));
        used.extend(sheet.account_entries().iter().filter_map(|account| account.class.as_ref()));
        used.insert(default);
        for (index, entry) in sheet.classes.iter().enumerate() {
            if !used.contains(&entry.name) {
                let kind = DiagnosticKind::UnusedClass { class: entry.name.clone() };
                self.report(format!("classes[{index}].name"), kind);
            }
        }
    }

    /// Reports rules that can never match and idempotent rules that shadow later non-idempotent
    /// ones. Rules with an invalid path pattern are skipped.
    fn check_overlaps(&mut self) {
        let sheet = self.sheet;
        let is_valid = |entry: &RuleEntry| PathPattern::syntax_error(&entry.path).is_none();
        let valid_rules: Vec<usize> =
            (0..sheet.rules.len()).filter(|&index| is_valid(&sheet.rules[index])).collect();
        let placeholder = ClassEntry::default();
        let matchers: Vec<Matcher> = valid_rules
            .iter()
            .map(|&index| Matcher::new(&sheet.rules[index], Rule::from_class(&placeholder, 0)))
            .collect();
        let mut overlaps = Overlaps::default();
        let result = RequestSpace::new(matchers.iter().collect()).visit(&mut |sample, matched| {
            let is_match = |&&index: &&usize| {
                let matcher = &matchers[index];
                matcher.covers_service(&sample.service) && matcher.covers_method(&sample.method)
            };
            let matching: Vec<usize> = matched.iter().filter(is_match).copied().collect();
            let example = || format!("{} {} of {}", sample.method, sample.path, sample.service);
            overlaps.record(&matching, &matchers, example);
        });
        if result.is_err() {
            return self.report("rules", DiagnosticKind::TooComplex);
        }
        self.report_overlaps(&valid_rules, overlaps);
    }

    fn report_overlaps(&mut self, valid_rules: &[usize], mut overlaps: Overlaps) {
        for (position, &index) in valid_rules.iter().enumerate() {
            if !overlaps.reachable.contains(&position) {
                let covered_by = overlaps.covered_by.remove(&position).unwrap_or_default();
                let covered_by = covered_by.iter().map(|&earlier| valid_rules[earlier]).collect();
                self.report(format!("rules[{index}]"), DiagnosticKind::NeverMatches { covered_by });
            }
        }
        for ((earlier, later), example) in overlaps.shadowed {
            let is_exception = !overlaps.partly_disjoint.contains(&(earlier, later));
            if !is_exception && overlaps.reachable.contains(&later) {
                let kind =
                    DiagnosticKind::ShadowsNonIdempotent { later: valid_rules[later], example };
                self.report(format!("rules[{}]", valid_rules[earlier]), kind);
            }
        }
    }
}

impl Overlaps {
    /// Records one kind of request and the rules that match it, in order.
    fn record(&mut self, matching: &[usize], matchers: &[Matcher], example: impl Fn() -> String) {
        let Some((&first, rest)) = matching.split_first() else { return };
        self.reachable.insert(first);
        let is_idempotent = |index: usize| matchers[index].rule.idempotent;
        for &later in rest {
            self.covered_by.entry(later).or_default().insert(first);
            if is_idempotent(first) && !is_idempotent(later) {
                self.shadowed.entry((first, later)).or_insert_with(&example);
            }
        }
        if is_idempotent(first) {
            let others = (first + 1..matchers.len()).filter(|&later| !is_idempotent(later));
            let others = others.filter(|later| !rest.contains(later));
            self.partly_disjoint.extend(others.map(|later| (first, later)));
        }
    }
}
