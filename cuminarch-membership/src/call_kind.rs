use crate::PlatformCall;

/// Kind of a call to the platform; at most one of each is under way at a node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    Members,
    Config,
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
            | PlatformCall::WatchConfig(_) => Self::Config,
            PlatformCall::PutMembers(..) | PlatformCall::PutMember(..) => Self::PutMembers,
            PlatformCall::PutStatus(_) => Self::PutStatus,
        }
    }
}
