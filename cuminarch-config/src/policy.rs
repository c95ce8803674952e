//! The checked, compiled form of a sheet.

use std::time::Duration;

use compact_str::CompactString;
use cuminarch_types::{Attempts, ClassName, Priority, Revision, RuleNumber, ServiceName};

use crate::{ClassEntry, RuleEntry, Sheet, SheetError};

/// What applies to one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// Which rule of the sheet it is.
    pub number: RuleNumber,
    /// Class of the request.
    pub class: ClassName,
    /// Place of the class in the order of refusal.
    pub priority: Priority,
    /// Attempts granted over the whole chain.
    pub grant: Attempts,
    /// Time from the first node to the whole answer.
    pub deadline: Duration,
    /// Retries per hundred first attempts.
    pub retry_percent: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the class is refused after all unprotected ones.
    pub protected: bool,
}

#[derive(Clone, Debug)]
struct Matcher {
    services: Vec<ServiceName>,
    methods: Vec<CompactString>,
    path: PathPattern,
    rule: Rule,
}

#[derive(Clone, Debug)]
struct PathPattern {
    segments: Vec<CompactString>,
    is_prefix: bool,
}

/// All rules of one revision of the configuration.
#[derive(Clone, Debug)]
pub struct Policy {
    revision: Revision,
    matchers: Vec<Matcher>,
    fallback: Rule,
}

impl Policy {
    /// Checks and compiles a sheet.
    ///
    /// # Errors
    ///
    /// Fails on the first entry that contradicts the rest of the sheet.
    pub fn from_sheet(revision: Revision, sheet: &Sheet) -> Result<Self, SheetError> {
        let fallback = Self::class_rule(sheet, &sheet.default_class, "default_class")?;
        let mut matchers = Vec::with_capacity(sheet.rules.len());
        for (index, entry) in sheet.rules.iter().enumerate() {
            matchers.push(Self::matcher(sheet, index, entry)?);
        }
        Ok(Self { revision, matchers, fallback })
    }

    /// Rules for a node that has no configuration: one class, nothing may run
    /// twice but safe methods, and no attempt is repeated.
    #[must_use]
    pub fn safe_default() -> Self {
        let class = ClassEntry {
            name: ClassName::new("default").expect("a valid name"),
            grant_attempts: Attempts::new(64),
            deadline_ms: 10_000,
            retry_percent: 0,
            protected: false,
        };
        let mut fallback = Rule::of_class(&class, 0);
        fallback.idempotent = false;
        Self { revision: Revision::default(), matchers: Vec::new(), fallback }
    }

    /// The revision of the sheet.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The rule of a request; `target` may carry a query, which is ignored.
    #[must_use]
    pub fn rule(&self, service: &ServiceName, method: &str, target: &str) -> &Rule {
        let path = target.split('?').next().unwrap_or(target);
        self.matchers
            .iter()
            .find(|matcher| matcher.covers(service, method, path))
            .map_or(&self.fallback, |matcher| &matcher.rule)
    }

    fn class_rule(sheet: &Sheet, class: &ClassName, path: &str) -> Result<Rule, SheetError> {
        let found = sheet.classes.iter().enumerate().find(|(_, entry)| entry.name == *class);
        match found {
            Some((position, entry)) => Ok(Rule::of_class(entry, position)),
            None => Err(SheetError::Entry {
                path: path.to_owned(),
                reason: format!("class {class} is not defined"),
            }),
        }
    }

    fn matcher(sheet: &Sheet, index: usize, entry: &RuleEntry) -> Result<Matcher, SheetError> {
        let mut rule = Self::class_rule(sheet, &entry.class, &format!("rules[{index}].class"))?;
        rule.idempotent = entry.idempotent;
        rule.number = RuleNumber::new(u32::try_from(index + 1).unwrap_or(u32::MAX));
        Ok(Matcher {
            services: entry.services.clone(),
            methods: entry.methods.clone(),
            path: PathPattern::new(&entry.path),
            rule,
        })
    }
}

impl Rule {
    fn of_class(entry: &ClassEntry, position: usize) -> Self {
        Self {
            number: RuleNumber::default(),
            class: entry.name.clone(),
            priority: Priority::new(u8::try_from(position).unwrap_or(u8::MAX)),
            grant: entry.grant_attempts,
            deadline: Duration::from_millis(entry.deadline_ms),
            retry_percent: entry.retry_percent,
            idempotent: true,
            protected: entry.protected,
        }
    }
}

impl Matcher {
    fn covers(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        let service_fits = self.services.is_empty() || self.services.contains(service);
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        service_fits && method_fits && self.path.covers(path)
    }
}

impl PathPattern {
    fn new(text: &str) -> Self {
        let mut segments: Vec<CompactString> =
            text.trim_start_matches('/').split('/').map(CompactString::from).collect();
        let is_prefix = segments.last().is_some_and(|last| last == "**");
        if is_prefix {
            segments.pop();
        }
        Self { segments, is_prefix }
    }

    fn covers(&self, path: &str) -> bool {
        let mut parts = path.trim_start_matches('/').split('/');
        for segment in &self.segments {
            match parts.next() {
                Some(part) if segment == "*" || segment == part => {}
                _ => return false,
            }
        }
        self.is_prefix || parts.next().is_none()
    }
}
