use std::fmt;

/// A numbered log event; the catalogue is `docs/events.md`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NodeEvent {
    /// The node serves calls.
    Started,
    /// The node accepts no new calls.
    Draining,
    /// The node has stopped.
    Stopped,
    /// A connection of a caller or peer broke or sent malformed data.
    ConnectionFault,
    /// The platform does not answer.
    PlatformUnavailable,
    /// The platform answers again.
    PlatformAvailable,
    /// The platform's store was restored from a backup.
    StoreRestored,
    /// A configuration came into force.
    ConfigInForce,
    /// The configuration has not been known to be the latest for too long.
    ConfigUnverified,
    /// The configuration is known to be the latest again.
    ConfigVerified,
    /// A configuration was refused.
    ConfigRefused,
    /// An entry of the configuration in force is not served.
    ConfigEntrySetAside,
    /// Two configurations have the same revision; the first one is kept.
    ConfigConflict,
    /// No configuration has been found yet; safe defaults are in force.
    SafeDefaults,
    /// A duty ended unexpectedly.
    DutyEnded,
    /// A ring between threads was full.
    RingFull,
    /// Calls were still in progress when the shutdown timed out.
    ShutdownTimeout,
    /// A member does not respond.
    MemberSuspected,
    /// A member was declared dead.
    MemberGivenUp,
    /// A zone cannot be reached.
    ZoneCut,
    /// A zone can be reached again.
    ZoneJoined,
    /// A newer process of the own endpoint exists.
    Superseded,
    /// The members are known, and an earlier process of the own endpoint is one of them.
    Rejoined,
    /// The registration of the own upstream changed.
    UpstreamChanged,
    /// The departure of the own upstream was acknowledged before it was stored.
    DepartureUnrecorded,
    /// Registrations were dropped that may have been sent before the process started.
    RegistrationsUndated,
    /// A registration was refused.
    RegistrationRefused,
    /// An object of the platform could not be read.
    ObjectUnreadable,
    /// A call to the platform failed.
    PlatformCallFailed,
    /// Settings were read again and have changed.
    SettingsReloaded,
    /// Mechanisms are switched off by the settings.
    MechanismsDisabled,
    /// The node itself sent a caller the final answer.
    CallRefused,
    /// An attempt at another node failed or was refused.
    AttemptFailed,
    /// The own upstream gave no usable answer.
    UpstreamFault,
    /// The node refused a call of another node.
    DoorRefused,
    /// An answer ended early while it was forwarded.
    AnswerBroken,
    /// The own upstream states another rate limit.
    RateLimitChanged,
    /// The upstream of another endpoint states other signals.
    EndpointSignals,
    /// A request had no valid key of a client account.
    CredentialRefused,
    /// An answer contains a malformed statement of its upstream.
    SignalUnreadable,
    /// The node holds other parts of a client account's allotment than before.
    AllotmentHeld,
    /// The holder of a part of an allotment did not answer.
    AllotmentHolderSilent,
    /// A configuration lowered the allotment of a client account.
    AllotmentLowered,
    /// A datagram about allotments could not be read.
    DatagramUnreadable,
    /// The process of the own upstream ended.
    UpstreamEnded,
    /// A request is refused because it crashed endpoints.
    RequestQuarantined,
    /// A request that was suspected to crash endpoints was answered.
    RequestCleared,
    /// Another node stated something new about requests that crash endpoints.
    SuspicionsReceived,
    /// The learned limit of the own upstream changed by more than a fifth.
    LearnedLimitChanged,
    /// The speed of another endpoint changed by more than a fifth.
    EndpointSpeedChanged,
}

impl NodeEvent {
    /// All events.
    pub const ALL: [Self; 50] = [
        Self::Started,
        Self::Draining,
        Self::Stopped,
        Self::ConnectionFault,
        Self::PlatformUnavailable,
        Self::PlatformAvailable,
        Self::ConfigInForce,
        Self::ConfigUnverified,
        Self::ConfigVerified,
        Self::ConfigRefused,
        Self::ConfigEntrySetAside,
        Self::DutyEnded,
        Self::RingFull,
        Self::ShutdownTimeout,
        Self::ConfigConflict,
        Self::SafeDefaults,
        Self::MemberSuspected,
        Self::MemberGivenUp,
        Self::ZoneCut,
        Self::ZoneJoined,
        Self::Superseded,
        Self::Rejoined,
        Self::UpstreamChanged,
        Self::DepartureUnrecorded,
        Self::RegistrationsUndated,
        Self::RegistrationRefused,
        Self::ObjectUnreadable,
        Self::PlatformCallFailed,
        Self::StoreRestored,
        Self::SettingsReloaded,
        Self::MechanismsDisabled,
        Self::CallRefused,
        Self::AttemptFailed,
        Self::UpstreamFault,
        Self::DoorRefused,
        Self::AnswerBroken,
        Self::RateLimitChanged,
        Self::SignalUnreadable,
        Self::EndpointSignals,
        Self::CredentialRefused,
        Self::AllotmentHeld,
        Self::AllotmentHolderSilent,
        Self::AllotmentLowered,
        Self::DatagramUnreadable,
        Self::UpstreamEnded,
        Self::RequestQuarantined,
        Self::RequestCleared,
        Self::SuspicionsReceived,
        Self::LearnedLimitChanged,
        Self::EndpointSpeedChanged,
    ];

    /// Returns the number of the event; numbers are never reused.
    #[must_use]
    pub const fn code(self) -> u16 {
        match self {
            Self::Started => 1001,
            Self::Draining => 1002,
            Self::Stopped => 1003,
            Self::ConnectionFault => 2001,
            Self::PlatformUnavailable => 3001,
            Self::PlatformAvailable => 3002,
            Self::ConfigInForce => 4001,
            Self::ConfigUnverified => 4005,
            Self::ConfigVerified => 4006,
            Self::ConfigRefused => 4002,
            Self::ConfigEntrySetAside => 4007,
            Self::DutyEnded => 5001,
            Self::RingFull => 5002,
            Self::ShutdownTimeout => 1004,
            Self::ConfigConflict => 4003,
            Self::SafeDefaults => 4004,
            Self::MemberSuspected => 6001,
            Self::MemberGivenUp => 6002,
            Self::ZoneCut => 6003,
            Self::ZoneJoined => 6004,
            Self::Superseded => 6005,
            Self::Rejoined => 6008,
            Self::UpstreamChanged => 6006,
            Self::DepartureUnrecorded => 6009,
            Self::RegistrationsUndated => 6010,
            Self::RegistrationRefused => 6007,
            Self::ObjectUnreadable => 3003,
            Self::PlatformCallFailed => 3004,
            Self::StoreRestored => 3005,
            Self::SettingsReloaded => 1005,
            Self::MechanismsDisabled => 1006,
            Self::CallRefused => 2101,
            Self::AttemptFailed => 2102,
            Self::UpstreamFault => 2103,
            Self::DoorRefused => 2104,
            Self::AnswerBroken => 2105,
            Self::RateLimitChanged => 2106,
            Self::SignalUnreadable => 2107,
            Self::EndpointSignals => 2108,
            Self::CredentialRefused => 2109,
            Self::AllotmentHeld => 2110,
            Self::AllotmentHolderSilent => 2111,
            Self::AllotmentLowered => 2112,
            Self::DatagramUnreadable => 2113,
            Self::UpstreamEnded => 2117,
            Self::RequestQuarantined => 2118,
            Self::RequestCleared => 2119,
            Self::SuspicionsReceived => 2120,
            Self::LearnedLimitChanged => 2115,
            Self::EndpointSpeedChanged => 2116,
        }
    }

    /// Returns the short name of the event.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
            Self::ConnectionFault => "connection-fault",
            Self::PlatformUnavailable => "platform-unavailable",
            Self::PlatformAvailable => "platform-available",
            Self::ConfigInForce => "config-in-force",
            Self::ConfigUnverified => "config-unverified",
            Self::ConfigVerified => "config-verified",
            Self::ConfigRefused => "config-refused",
            Self::ConfigEntrySetAside => "config-entry-set-aside",
            Self::DutyEnded => "duty-ended",
            Self::RingFull => "ring-full",
            Self::ShutdownTimeout => "shutdown-timeout",
            Self::ConfigConflict => "config-conflict",
            Self::SafeDefaults => "safe-defaults",
            Self::MemberSuspected => "member-suspected",
            Self::MemberGivenUp => "member-given-up",
            Self::ZoneCut => "zone-cut",
            Self::ZoneJoined => "zone-joined",
            Self::Superseded => "superseded",
            Self::Rejoined => "rejoined",
            Self::UpstreamChanged => "upstream-changed",
            Self::DepartureUnrecorded => "departure-unrecorded",
            Self::RegistrationsUndated => "registrations-undated",
            Self::RegistrationRefused => "registration-refused",
            Self::ObjectUnreadable => "object-unreadable",
            Self::PlatformCallFailed => "platform-call-failed",
            Self::StoreRestored => "store-restored",
            Self::SettingsReloaded => "settings-reloaded",
            Self::MechanismsDisabled => "mechanisms-disabled",
            Self::CallRefused => "call-refused",
            Self::AttemptFailed => "attempt-failed",
            Self::UpstreamFault => "upstream-fault",
            Self::DoorRefused => "door-refused",
            Self::AnswerBroken => "answer-broken",
            Self::RateLimitChanged => "rate-limit-changed",
            Self::SignalUnreadable => "signal-unreadable",
            Self::EndpointSignals => "endpoint-signals",
            Self::CredentialRefused => "credential-refused",
            Self::AllotmentHeld => "allotment-held",
            Self::AllotmentHolderSilent => "allotment-holder-silent",
            Self::AllotmentLowered => "allotment-lowered",
            Self::DatagramUnreadable => "datagram-unreadable",
            Self::UpstreamEnded => "upstream-ended",
            Self::RequestQuarantined => "request-quarantined",
            Self::RequestCleared => "request-cleared",
            Self::SuspicionsReceived => "suspicions-received",
            Self::LearnedLimitChanged => "learned-limit-changed",
            Self::EndpointSpeedChanged => "endpoint-speed-changed",
        }
    }
}

impl fmt::Display for NodeEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CU{:04} {}", self.code(), self.name())
    }
}
