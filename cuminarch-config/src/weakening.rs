use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use cuminarch_types::{ClassName, ServiceName};
use serde::Serialize;

use crate::Policy;
use crate::space::{RequestSpace, SampleRequest};

/// Kind of a weakening.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WeakeningKind {
    /// Non-idempotent requests become idempotent and may run more than once.
    BecomesIdempotent,
    /// Protected requests are no longer refused last.
    LosesProtection,
    /// The rules overlap in too many ways to be compared.
    NotComparable,
}

/// Requests that a change of the configuration makes less safe, shown by an example. In the
/// example, `any` represents every name that no rule mentions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Weakening {
    /// What the change weakens.
    pub kind: WeakeningKind,
    /// Service of the example.
    pub service: ServiceName,
    /// Method of the example.
    pub method: CompactString,
    /// Path of the example.
    pub path: String,
    /// Class before the change.
    pub old_class: ClassName,
    /// Class after the change.
    pub new_class: ClassName,
}

impl Weakening {
    /// Returns the requests that `new` makes less safe than `old`, with one example for each pair
    /// of rules. Compares all kinds of requests that the rules of both policies distinguish.
    #[must_use]
    pub fn between(old: &Policy, new: &Policy) -> Vec<Self> {
        let mut found = Vec::new();
        let mut seen = BTreeSet::new();
        let split = old.matchers().len();
        let all = old.matchers().iter().chain(new.matchers()).collect();
        let result = RequestSpace::new(all).visit(&mut |sample, matched| {
            let (old_matched, new_matched) =
                matched.split_at(matched.partition_point(|i| *i < split));
            let old_rule = old.first_match(old_matched, &sample.service, &sample.method);
            let new_matched: Vec<usize> = new_matched.iter().map(|index| index - split).collect();
            let new_rule = new.first_match(&new_matched, &sample.service, &sample.method);
            let (old_index, old_rule) = old_rule;
            let (new_index, new_rule) = new_rule;
            let becomes_idempotent = !old_rule.idempotent && new_rule.idempotent;
            let loses_protection = old_rule.protected && !new_rule.protected;
            let kinds = [
                (becomes_idempotent, WeakeningKind::BecomesIdempotent),
                (loses_protection, WeakeningKind::LosesProtection),
            ];
            for (_, kind) in kinds.into_iter().filter(|(is_weaker, _)| *is_weaker) {
                if seen.insert((kind, old_index, new_index)) {
                    found.push(Self::new(kind, sample, &old_rule.class, &new_rule.class));
                }
            }
        });
        if result.is_err() {
            found.push(Self::not_comparable(old, new));
        }
        found
    }

    fn new(kind: WeakeningKind, sample: &SampleRequest, old: &ClassName, new: &ClassName) -> Self {
        Self {
            kind,
            service: sample.service.clone(),
            method: sample.method.clone(),
            path: sample.path.clone(),
            old_class: old.clone(),
            new_class: new.clone(),
        }
    }

    fn not_comparable(old: &Policy, new: &Policy) -> Self {
        let any = |text| ServiceName::new(text).expect("`any` is a valid service name");
        let sample =
            SampleRequest { service: any("any"), method: "ANY".into(), path: "/".to_owned() };
        let old = old.rule(&sample.service, &sample.method, &sample.path);
        let new = new.rule(&sample.service, &sample.method, &sample.path);
        Self::new(WeakeningKind::NotComparable, &sample, &old.class, &new.class)
    }
}

impl fmt::Display for Weakening {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, method, path, old_class, new_class, .. } = self;
        let effect = match self.kind {
            WeakeningKind::BecomesIdempotent => "may run more than once from now on",
            WeakeningKind::LosesProtection => "loses its protection",
            WeakeningKind::NotComparable => "cannot be compared: the patterns overlap too much",
        };
        write!(formatter, "{method} {path} of {service} ({old_class} -> {new_class}) {effect}")
    }
}
