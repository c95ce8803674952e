use std::fmt;

/// A guarantee that must hold under any faults.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A request answered with `not-run` did not run.
    TrueRefusals,
    /// A caller gets its own answer, complete or detectably truncated.
    WholeAnswers,
    /// A request causes no more attempts than granted.
    BoundedAttempts,
    /// No daemon reverts to an earlier configuration.
    ConfigurationNeverBack,
    /// A terminated daemon exits by itself, without an error.
    GracefulStops,
    /// Requests complete again soon after the end of the last fault.
    Recovery,
    /// No request runs without a valid key of a client account.
    ValidKeys,
    /// No upstream receives a key.
    HiddenKeys,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 9] = [
        Self::AtMostOnce,
        Self::TrueRefusals,
        Self::WholeAnswers,
        Self::BoundedAttempts,
        Self::ConfigurationNeverBack,
        Self::GracefulStops,
        Self::Recovery,
        Self::ValidKeys,
        Self::HiddenKeys,
    ];

    /// Returns the name used on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at-most-once",
            Self::TrueRefusals => "true-refusals",
            Self::WholeAnswers => "whole-answers",
            Self::BoundedAttempts => "bounded-attempts",
            Self::ConfigurationNeverBack => "configuration-never-back",
            Self::GracefulStops => "graceful-stops",
            Self::Recovery => "recovery",
            Self::ValidKeys => "valid-keys",
            Self::HiddenKeys => "hidden-keys",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// An observed violation of a promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was observed.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.promise, self.details)
    }
}
