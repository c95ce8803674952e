//! Index of rules by service and first path segment, to avoid trying every rule on a request.

use std::collections::BTreeMap;

use compact_str::CompactString;
use cuminarch_types::ServiceName;

use crate::pattern::{Segment, first_segment};
use crate::policy::Matcher;

/// Indexes of rules by service and by the first segment of their path.
#[derive(Clone, Debug, Default)]
pub(crate) struct RuleIndex {
    by_service: BTreeMap<ServiceName, PathIndex>,
    any_service: PathIndex,
}

/// Indexes of rules by the first segment of their path. Each list is in the order of the sheet
/// and includes the rules that allow any first segment.
#[derive(Clone, Debug, Default)]
struct PathIndex {
    by_segment: BTreeMap<CompactString, Vec<usize>>,
    any_segment: Vec<usize>,
}

impl RuleIndex {
    pub(crate) fn new(matchers: &[Matcher]) -> Self {
        let named_services = matchers.iter().flat_map(|matcher| matcher.services.iter().flatten());
        let by_service = named_services
            .map(|service| {
                let is_covered = |matcher: &Matcher| matcher.covers_service(service);
                (service.clone(), PathIndex::new(matchers, is_covered))
            })
            .collect();
        let any_service = PathIndex::new(matchers, |matcher| matcher.services.is_none());
        Self { by_service, any_service }
    }

    /// Returns the indexes of the rules that may cover a request, in the order of the sheet.
    pub(crate) fn candidates(&self, service: &ServiceName, path: &str) -> &[usize] {
        self.by_service.get(service).unwrap_or(&self.any_service).candidates(path)
    }
}

impl PathIndex {
    fn new(matchers: &[Matcher], is_included: impl Fn(&Matcher) -> bool) -> Self {
        let mut index = Self::default();
        for (rule, matcher) in
            matchers.iter().enumerate().filter(|(_, matcher)| is_included(matcher))
        {
            if let Some(Segment::Literal(literal)) = matcher.path.segments.first() {
                let any = &index.any_segment;
                index.by_segment.entry(literal.clone()).or_insert_with(|| any.clone()).push(rule);
            } else {
                index.any_segment.push(rule);
                index.by_segment.values_mut().for_each(|rules| rules.push(rule));
            }
        }
        index
    }

    fn candidates(&self, path: &str) -> &[usize] {
        let first = first_segment(path);
        let first = std::str::from_utf8(&first).unwrap_or_default();
        self.by_segment.get(first).unwrap_or(&self.any_segment)
    }
}
