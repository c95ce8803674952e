use std::fmt;

/// What has to hold under any faults.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Promise {
    /// A request that is not idempotent runs once at most.
    AtMostOnce,
    /// A request that was told not to have run did not run.
    TrueRefusals,
    /// A caller gets its own answer, whole or recognizably broken.
    WholeAnswers,
    /// A request causes no more attempts than it was granted.
    BoundedAttempts,
    /// No daemon puts an earlier configuration into force.
    ConfigurationNeverBack,
    /// A terminated daemon ends by itself, without an error.
    GracefulStops,
    /// Requests complete again soon after the last fault is over.
    Recovery,
}

impl Promise {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::AtMostOnce,
        Self::TrueRefusals,
        Self::WholeAnswers,
        Self::BoundedAttempts,
        Self::ConfigurationNeverBack,
        Self::GracefulStops,
        Self::Recovery,
    ];

    /// Its name on the command line and in reports.
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
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A promise that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.promise, self.details)
    }
}
