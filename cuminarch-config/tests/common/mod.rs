//! Random sheets and a naive reference implementation of rule matching.

use cuminarch_config::{ClassEntry, RuleEntry, Sheet};
use cuminarch_types::{Attempts, ClassName, ServiceName};
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use proptest::test_runner::RngSeed;

pub const SERVICES: [&str; 3] = ["katalog", "kasse", "benk"];
/// No rule names the last two; HEAD is safe and DELETE is not.
pub const METHODS: [&str; 5] = ["GET", "POST", "PUT", "HEAD", "DELETE"];
pub const SEGMENTS: [&str; 3] = ["a", "b", "c"];

/// Attributes of the rule that applies to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MatchedRule {
    pub class: String,
    pub idempotent: bool,
    pub protected: bool,
}

pub fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

fn class(name: &str, protected: bool) -> ClassEntry {
    ClassEntry {
        name: ClassName::new(name).unwrap(),
        grant_attempts: Attempts::new(32),
        deadline_ms: 1_000,
        retry_percent: 10,
        protected,
    }
}

fn pattern() -> impl Strategy<Value = String> {
    let segment = select(vec!["a", "b", "*"]);
    (proptest::collection::vec(segment, 0..4), any::<bool>()).prop_map(
        |(mut segments, is_prefix)| {
            if is_prefix {
                segments.push("**");
            }
            format!("/{}", segments.join("/"))
        },
    )
}

fn rule() -> impl Strategy<Value = RuleEntry> {
    let services = proptest::option::of(subsequence(SERVICES[..2].to_vec(), 0..=2));
    let methods = proptest::option::of(subsequence(METHODS[..3].to_vec(), 0..=2));
    (select(vec!["low", "high"]), services, methods, pattern(), any::<bool>()).prop_map(
        |(class, services, methods, path, idempotent)| RuleEntry {
            class: ClassName::new(class).unwrap(),
            services: services.map(|names| {
                names.into_iter().map(|name| ServiceName::new(name).unwrap()).collect()
            }),
            methods: methods.map(|names| names.into_iter().map(Into::into).collect()),
            path: path.into(),
            idempotent,
        },
    )
}

pub fn sheet() -> impl Strategy<Value = Sheet> {
    proptest::collection::vec(rule(), 0..7).prop_map(|rules| Sheet {
        routes: Vec::new(),
        caller_limits: None,
        accounts: None,
        services: Vec::new(),
        classes: vec![class("low", false), class("high", true)],
        rules,
        default_class: ClassName::new("low").unwrap(),
        set_aside: Vec::new(),
    })
}

/// Returns all paths of up to four segments.
pub fn paths() -> Vec<String> {
    let mut paths = vec![String::new()];
    let mut longest = paths.clone();
    for _ in 0..4 {
        longest = longest
            .iter()
            .flat_map(|path| SEGMENTS.map(|segment| format!("{path}/{segment}")))
            .collect();
        paths.extend(longest.iter().cloned());
    }
    paths[0].push('/');
    paths
}

fn covers(pattern: &[&str], path: &[&str]) -> bool {
    match (pattern.split_first(), path.split_first()) {
        (Some((&"**", _)), _) | (None, None) => true,
        (Some((expected, pattern)), Some((part, path))) => {
            (*expected == "*" || expected == part) && covers(pattern, path)
        }
        _ => false,
    }
}

fn split(path: &str) -> Vec<&str> {
    path.split('/').filter(|part| !part.is_empty()).collect()
}

/// Returns the index of the first rule that covers a request, by linear search.
pub fn naive_first_match(sheet: &Sheet, service: &str, method: &str, path: &str) -> Option<usize> {
    sheet.rules.iter().position(|rule| {
        let covers_service = rule
            .services
            .as_ref()
            .is_none_or(|services| services.iter().any(|name| name.as_str() == service));
        let covers_method =
            rule.methods.as_ref().is_none_or(|methods| methods.iter().any(|name| name == method));
        covers_service && covers_method && covers(&split(&rule.path), &split(path))
    })
}

/// Returns the attributes of the rule that applies to a request, by linear search.
pub fn naive_rule(sheet: &Sheet, service: &str, method: &str, path: &str) -> MatchedRule {
    let rule = naive_first_match(sheet, service, method, path).map(|index| &sheet.rules[index]);
    let class = rule.map_or(&sheet.default_class, |rule| &rule.class);
    MatchedRule {
        class: class.to_string(),
        idempotent: rule.map_or(["GET", "HEAD"].contains(&method), |rule| rule.idempotent),
        protected: class.as_str() == "high",
    }
}
