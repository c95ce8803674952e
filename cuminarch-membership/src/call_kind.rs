use crate::PlatformCall;

/// Kind of a call to the platform; a node has at most one call of each kind in flight.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    Members,
    Config,
    VerifyConfig,
    PutMembers,
    PutStatus,
}

impl CallKind {
    pub const fn of(call: &PlatformCall) -> Self {
        match call {
            PlatformCall::ListMembers
            | PlatformCall::ListMembersLagging
            | PlatformCall::WatchMembers(_) => Self::Members,
            PlatformCall::ListConfig
            | PlatformCall::ListConfigLagging
            | PlatformCall::WatchConfig(_)
            | PlatformCall::WatchConfigFor(..) => Self::Config,
            PlatformCall::VerifyConfig => Self::VerifyConfig,
            PlatformCall::PutMembers(..) | PlatformCall::PutMember(..) => Self::PutMembers,
            PlatformCall::PutStatus(_) => Self::PutStatus,
        }
    }
}
