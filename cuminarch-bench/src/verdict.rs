use std::fmt;

use crate::KnownRed;

/// The limit of a figure, from the performance targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure must be at least this.
    AtLeast(f64),
    /// The figure must be at most this.
    AtMost(f64),
}

impl Bound {
    /// Returns `true` if the figure is within the bound; NaN never is.
    #[must_use]
    pub fn contains(self, figure: f64) -> bool {
        match self {
            Self::AtLeast(limit) => figure >= limit,
            Self::AtMost(limit) => figure <= limit,
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtLeast(limit) => write!(formatter, ">= {limit}"),
            Self::AtMost(limit) => write!(formatter, "<= {limit}"),
        }
    }
}

/// One bounded figure of a benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// The name, such as `decisions/verband/surge-3x/goodput`.
    pub name: String,
    /// The measured value.
    pub figure: f64,
    /// The limit of the value.
    pub bound: Bound,
}

impl Case {
    /// Creates a case from a measured value and its limit.
    #[must_use]
    pub fn new(name: impl Into<String>, figure: f64, bound: Bound) -> Self {
        Self { name: name.into(), figure, bound }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {:.4} (bound {})", self.name, self.figure, self.bound)
    }
}

/// The bounded figures of a benchmark run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    cases: Vec<Case>,
}

impl Verdict {
    /// Creates a verdict without figures.
    #[must_use]
    pub const fn new() -> Self {
        Self { cases: Vec::new() }
    }

    /// Adds a figure.
    pub fn record(&mut self, case: Case) {
        self.cases.push(case);
    }

    /// Returns all figures.
    #[must_use]
    pub fn cases(&self) -> &[Case] {
        &self.cases
    }

    /// Returns the figures out of bounds that `known_red` does not list.
    #[must_use]
    pub fn new_failures(&self, known_red: &KnownRed) -> Vec<&Case> {
        self.out_of_bounds().filter(|case| !known_red.contains(&case.name)).collect()
    }

    /// Returns the figures out of bounds that `known_red` lists.
    #[must_use]
    pub fn known_failures(&self, known_red: &KnownRed) -> Vec<&Case> {
        self.out_of_bounds().filter(|case| known_red.contains(&case.name)).collect()
    }

    fn out_of_bounds(&self) -> impl Iterator<Item = &Case> {
        self.cases.iter().filter(|case| !case.bound.contains(case.figure))
    }
}
