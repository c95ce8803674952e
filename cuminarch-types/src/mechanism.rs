//! Mechanisms that can be switched off.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A decision mechanism that can be switched off by name, to measure its benefit or
/// when it does harm. No guarantee depends on any of them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Divides scarce room among the client accounts of a class.
    AccountShares,
    /// Orders the requests waiting at a serving node by class.
    ClassOrder,
    /// Ejects endpoints that fail or are slow.
    Ejection,
    /// Chooses endpoints by when a request would finish there.
    ExpectedFinish,
    /// Avoids endpoints in proportion to the fraction of calls that they fail.
    FaultCost,
    /// Counts nested calls that got no answer as shortage of the service that they were sent to.
    NestedFailureShortage,
    /// Limits the concurrency of an endpoint to what was measured to gain throughput.
    LearnedLimit,
    /// Chooses endpoints by the occupancy that they report.
    OccupancyReports,
    /// Pauses retries to a service after one of its serving nodes denied a retry.
    RepeatPause,
    /// Retries calls that may have reached an upstream.
    Repeats,
    /// Tells refused callers to return only when there will be room for them.
    ReturnTimes,
    /// Refuses, at the entry node, requests that load a service with a shortage.
    Shedding,
    /// Keeps some slots of a serving node free.
    SlotReserve,
    /// Sends calls to other zones when a zone has no capacity.
    SpillOver,
    /// Bounds the requests in flight after the start of an entry node.
    StartRamp,
    /// Counts calls that the upstream turns away as shortage.
    TurnedAwayShortage,
    /// Refuses, at the serving node, callers' requests that would wait too long.
    WaitRefusal,
    /// Sends fewer calls to endpoints that are slow after their start.
    WarmUp,
    /// Prefers endpoints of the own zone.
    ZonePreference,
    /// Treats a zone as unreachable when some of its hosts are unreachable.
    ZoneSights,
}

impl Mechanism {
    /// All mechanisms in order of name.
    pub const ALL: [Self; 20] = [
        Self::AccountShares,
        Self::ClassOrder,
        Self::Ejection,
        Self::ExpectedFinish,
        Self::FaultCost,
        Self::NestedFailureShortage,
        Self::LearnedLimit,
        Self::OccupancyReports,
        Self::RepeatPause,
        Self::Repeats,
        Self::ReturnTimes,
        Self::Shedding,
        Self::SlotReserve,
        Self::SpillOver,
        Self::StartRamp,
        Self::TurnedAwayShortage,
        Self::WaitRefusal,
        Self::WarmUp,
        Self::ZonePreference,
        Self::ZoneSights,
    ];

    /// Returns the name used in settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AccountShares => "account-shares",
            Self::ClassOrder => "class-order",
            Self::Ejection => "ejection",
            Self::ExpectedFinish => "expected-finish",
            Self::FaultCost => "fault-cost",
            Self::NestedFailureShortage => "nested-failure-shortage",
            Self::LearnedLimit => "learned-limit",
            Self::OccupancyReports => "occupancy-reports",
            Self::RepeatPause => "repeat-pause",
            Self::Repeats => "repeats",
            Self::ReturnTimes => "return-times",
            Self::Shedding => "shedding",
            Self::SlotReserve => "slot-reserve",
            Self::SpillOver => "spill-over",
            Self::StartRamp => "start-ramp",
            Self::TurnedAwayShortage => "turned-away-shortage",
            Self::WaitRefusal => "wait-refusal",
            Self::WarmUp => "warm-up",
            Self::ZonePreference => "zone-preference",
            Self::ZoneSights => "zone-sights",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Mechanism {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Self::ALL.into_iter().find(|mechanism| mechanism.as_str() == text);
        found.ok_or_else(|| ParseError::new("Mechanism", text, "there is no such mechanism"))
    }
}

/// Mechanisms that are switched off.
///
/// ```
/// use cuminarch_types::{DisabledMechanisms, Mechanism};
///
/// let disabled = DisabledMechanisms::new([Mechanism::Ejection]);
/// assert!(disabled.contains(Mechanism::Ejection) && !disabled.contains(Mechanism::Shedding));
/// assert_eq!(disabled.to_string(), "ejection");
/// assert_eq!("ejection".parse::<DisabledMechanisms>()?, disabled);
/// # Ok::<(), cuminarch_types::ParseError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DisabledMechanisms(BTreeSet<Mechanism>);

impl DisabledMechanisms {
    /// Creates a set with these mechanisms switched off.
    #[must_use]
    pub fn new(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self(mechanisms.into_iter().collect())
    }

    /// Returns `true` if a mechanism is switched off.
    #[must_use]
    pub fn contains(&self, mechanism: Mechanism) -> bool {
        self.0.contains(&mechanism)
    }

    /// Returns `true` if no mechanism is switched off.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for DisabledMechanisms {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mechanism) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{mechanism}")?;
        }
        Ok(())
    }
}

impl FromStr for DisabledMechanisms {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}
