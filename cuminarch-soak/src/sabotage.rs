use std::fmt;
use std::str::FromStr;

use eyre::{Report, eyre};

use crate::Promise;

/// A deliberate violation of one promise, to verify that the soak detects it: callers and
/// upstreams observe what daemons that break the promise would cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sabotage(pub Promise);

impl FromStr for Sabotage {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self, Report> {
        let found = Promise::ALL.into_iter().find(|promise| promise.name() == text);
        found.map(Self).ok_or_else(|| eyre!("unknown promise {text}"))
    }
}

impl fmt::Display for Sabotage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0.name())
    }
}
