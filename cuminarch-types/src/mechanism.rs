//! Mechanisms that can be switched off.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A mechanism of the decisions that can be switched off by its name: to measure what it
/// is worth, and on a day on which it does harm. None of them guards a promise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Order by class among the requests that wait at a door.
    ClassOrder,
    /// Ejection of endpoints that fail or are slow.
    Ejection,
    /// Avoiding endpoints by the part of the calls that they fail.
    FaultCost,
    /// Choice by the occupancy that endpoints report.
    OccupancyReports,
    /// Pause of repeats to a service of which a door has denied one.
    RepeatPause,
    /// Repeats of calls that an upstream may have seen.
    Repeats,
    /// Refusal at the entry of requests that load a short service.
    Shedding,
    /// Slots that a door leaves free.
    SlotReserve,
    /// Calls that leave a zone which has no room.
    SpillOver,
    /// Counting as short what the upstream turns away.
    TurnedAwayShortage,
    /// Refusal at the door of callers' requests that would wait too long.
    WaitRefusal,
    /// Fewer calls to endpoints that are slow after their start.
    WarmUp,
    /// Preference for endpoints of the own zone.
    ZonePreference,
    /// Taking a zone for cut off when some of its hosts are out of reach.
    ZoneSights,
}

impl Mechanism {
    /// Every mechanism, in the order of names.
    pub const ALL: [Self; 14] = [
        Self::ClassOrder,
        Self::Ejection,
        Self::FaultCost,
        Self::OccupancyReports,
        Self::RepeatPause,
        Self::Repeats,
        Self::Shedding,
        Self::SlotReserve,
        Self::SpillOver,
        Self::TurnedAwayShortage,
        Self::WaitRefusal,
        Self::WarmUp,
        Self::ZonePreference,
        Self::ZoneSights,
    ];

    /// Its name in settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ClassOrder => "class-order",
            Self::Ejection => "ejection",
            Self::FaultCost => "fault-cost",
            Self::OccupancyReports => "occupancy-reports",
            Self::RepeatPause => "repeat-pause",
            Self::Repeats => "repeats",
            Self::Shedding => "shedding",
            Self::SlotReserve => "slot-reserve",
            Self::SpillOver => "spill-over",
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
/// use cuminarch_types::{Disabled, Mechanism};
///
/// let disabled = Disabled::new([Mechanism::Ejection]);
/// assert!(disabled.has(Mechanism::Ejection) && !disabled.has(Mechanism::Shedding));
/// assert_eq!(disabled.to_string(), "ejection");
/// assert_eq!("ejection".parse::<Disabled>()?, disabled);
/// # Ok::<(), cuminarch_types::ParseError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DisabledMechanisms(BTreeSet<Mechanism>);

impl DisabledMechanisms {
    /// Switches these off.
    #[must_use]
    pub fn new(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self(mechanisms.into_iter().collect())
    }

    /// Whether a mechanism is switched off.
    #[must_use]
    pub fn contains(&self, mechanism: Mechanism) -> bool {
        self.0.contains(&mechanism)
    }

    /// Whether none is.
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
