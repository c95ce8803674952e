//! Finds the rules that may cover a request without trying all of them.

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

/// Indexes of rules by the first segment of their path, each list in order and
/// with the rules that allow any first segment.
#[derive(Clone, Debug, Default)]
struct PathIndex {
    by_segment: BTreeMap<CompactString, Vec<usize>>,
    any_segment: Vec<usize>,
}

impl RuleIndex {
    pub(crate) fn new(matchers: &[Matcher]) -> Self {
        let named = matchers.iter().flat_map(|matcher| &matcher.services);
        let of_service = named
            .map(|service| {
                let fits = |matcher: &Matcher| matcher.covers_service(service);
                (service.clone(), PathIndex::new(matchers, fits))
            })
            .collect();
        let of_any_service = PathIndex::new(matchers, |matcher| matcher.services.is_empty());
        Self { by_service: of_service, any_service: of_any_service }
    }

    /// The rules that may cover a request, in order.
    pub(crate) fn candidates(&self, service: &ServiceName, path: &str) -> &[usize] {
        self.by_service.get(service).unwrap_or(&self.any_service).candidates(path)
    }
}

impl PathIndex {
    fn new(matchers: &[Matcher], fits: impl Fn(&Matcher) -> bool) -> Self {
        let mut index = Self::default();
        for (place, matcher) in matchers.iter().enumerate().filter(|(_, matcher)| fits(matcher)) {
            if let Some(Segment::Literal(literal)) = matcher.path.segments.first() {
                let any = &index.any_segment;
                index.by_segment.entry(literal.clone()).or_insert_with(|| any.clone()).push(place);
            } else {
                index.any_segment.push(place);
                index.by_segment.values_mut().for_each(|places| places.push(place));
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
