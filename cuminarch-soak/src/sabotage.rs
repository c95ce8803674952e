use std::fmt;
use std::str::FromStr;

use eyre::{Report, eyre};

use crate::Promise;

/// A deliberate breach of one promise, to show that the soak notices it: the run
/// behaves, for callers and upstreams, as one of daemons that break the promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sabotage(pub Promise);

impl FromStr for Sabotage {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self, Report> {
        let found = Promise::ALL.into_iter().find(|promise| promise.name() == text);
        found.map(Self).ok_or_else(|| eyre!("no promise is called {text}"))
    }
}

impl fmt::Display for Sabotage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0.name())
    }
}
