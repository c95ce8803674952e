//! Enumerates the kinds (equivalence classes) of requests that a set of rules distinguishes.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use cuminarch_types::ServiceName;

use crate::pattern::{PathPattern, Segment};
use crate::policy::Matcher;

/// Methods that the fallback treats as idempotent; enumerated even if no rule names them.
pub(crate) const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A request that represents all requests of its kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SampleRequest {
    pub service: ServiceName,
    pub method: CompactString,
    pub path: String,
}

/// The enumeration exceeded `RequestSpace::MAX_COMPARISONS`.
#[derive(Debug)]
pub(crate) struct TooManyComparisons;

/// All kinds of requests that the given rules distinguish.
pub(crate) struct RequestSpace<'a> {
    matchers: Vec<&'a Matcher>,
    visited: BTreeSet<(usize, Vec<usize>)>,
    comparisons: usize,
    other_segment: String,
    other_service: ServiceName,
    other_method: CompactString,
}

impl<'a> RequestSpace<'a> {
    /// Maximum number of comparisons of a rule with a kind of request.
    const MAX_COMPARISONS: usize = 2_000_000;

    pub(crate) fn new(matchers: Vec<&'a Matcher>) -> Self {
        let is_segment = |text: &str| {
            let mut segments = matchers.iter().flat_map(|matcher| &matcher.path.segments);
            segments.any(|segment| matches!(segment, Segment::Literal(literal) if literal == text))
        };
        let other_segment = unused_name("any", &is_segment);
        let is_service = |text: &str| {
            let mut services =
                matchers.iter().flat_map(|matcher| matcher.services.iter().flatten());
            services.any(|name| name.as_str() == text)
        };
        let other_service = ServiceName::new(unused_name("any", &is_service));
        let is_method = |text: &str| {
            let mut methods = matchers.iter().flat_map(|matcher| matcher.methods.iter().flatten());
            methods.any(|method| method == text)
        };
        let other_method = unused_name("ANY", &is_method).into();
        Self {
            visited: BTreeSet::new(),
            comparisons: 0,
            other_segment,
            other_service: other_service.expect("the unused name is a valid service name"),
            other_method,
            matchers,
        }
    }

    /// Calls `visit` with a sample of each kind of request and the indexes of the rules whose path
    /// pattern matches it, in order.
    pub(crate) fn visit(
        &mut self,
        visit: &mut dyn FnMut(&SampleRequest, &[usize]),
    ) -> Result<(), TooManyComparisons> {
        let all = (0..self.matchers.len()).collect();
        self.descend(0, all, String::new(), visit)
    }

    fn descend(
        &mut self,
        depth: usize,
        candidates: Vec<usize>,
        path: String,
        visit: &mut dyn FnMut(&SampleRequest, &[usize]),
    ) -> Result<(), TooManyComparisons> {
        if !self.visited.insert((depth, candidates.clone())) {
            return Ok(());
        }
        self.visit_path(depth, &candidates, &path, visit)?;
        let followers = self.next_segments(depth, &candidates);
        self.count_comparisons(followers.len() * candidates.len())?;
        for (segment, candidates) in followers {
            self.descend(depth + 1, candidates, format!("{path}/{segment}"), visit)?;
        }
        Ok(())
    }

    /// Counts comparisons. Fails above the maximum, to limit the time spent on rules that overlap
    /// in many ways.
    fn count_comparisons(&mut self, comparisons: usize) -> Result<(), TooManyComparisons> {
        self.comparisons = self.comparisons.saturating_add(comparisons);
        if self.comparisons > Self::MAX_COMPARISONS { Err(TooManyComparisons) } else { Ok(()) }
    }

    /// Returns the segments that may follow, each with the rules that still match. Paths are
    /// extended one segment beyond the longest pattern, where only patterns ending in `**` match.
    fn next_segments(
        &self,
        depth: usize,
        candidates: &[usize],
    ) -> BTreeMap<CompactString, Vec<usize>> {
        let pattern = |index: usize| &self.matchers[index].path;
        let mut followers = BTreeMap::new();
        if candidates.iter().all(|&index| pattern(index).segments.len() < depth) {
            return followers;
        }
        let literals =
            candidates.iter().filter_map(|&index| match pattern(index).segments.get(depth) {
                Some(Segment::Literal(literal)) => Some(literal.clone()),
                _ => None,
            });
        let segments: BTreeSet<CompactString> =
            literals.chain([self.other_segment.as_str().into()]).collect();
        for segment in segments {
            let still_matches = |&&index: &&usize| match pattern(index).segments.get(depth) {
                Some(expected) => expected.covers(&segment),
                None => pattern(index).accepts_any_rest_at(depth),
            };
            let remaining = candidates.iter().filter(still_matches).copied().collect();
            followers.insert(segment, remaining);
        }
        followers
    }

    fn visit_path(
        &mut self,
        depth: usize,
        candidates: &[usize],
        path: &str,
        visit: &mut dyn FnMut(&SampleRequest, &[usize]),
    ) -> Result<(), TooManyComparisons> {
        let is_match = |&&index: &&usize| {
            let pattern: &PathPattern = &self.matchers[index].path;
            pattern.segments.len() == depth || pattern.accepts_any_rest_at(depth)
        };
        let matched: Vec<usize> = candidates.iter().filter(is_match).copied().collect();
        let rules = || matched.iter().map(|&index| self.matchers[index]);
        let mut services: BTreeSet<ServiceName> =
            rules().flat_map(|rule| rule.services.iter().flatten().cloned()).collect();
        services.insert(self.other_service.clone());
        let mut methods: BTreeSet<CompactString> =
            rules().flat_map(|rule| rule.methods.iter().flatten().cloned()).collect();
        methods.extend(SAFE_METHODS.map(CompactString::const_new));
        methods.insert(self.other_method.clone());
        self.count_comparisons(services.len() * methods.len() * (matched.len() + 1))?;
        let path = if path.is_empty() { "/" } else { path };
        for service in &services {
            for method in &methods {
                let sample = SampleRequest {
                    service: service.clone(),
                    method: method.clone(),
                    path: path.to_owned(),
                };
                visit(&sample, &matched);
            }
        }
        Ok(())
    }
}

fn unused_name(stem: &str, is_used: &dyn Fn(&str) -> bool) -> String {
    let mut text = stem.to_owned();
    let mut number = 0_u32;
    while is_used(&text) {
        number += 1;
        text = format!("{stem}{number}");
    }
    text
}
