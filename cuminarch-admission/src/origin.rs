use cuminarch_types::{ServiceName, ZoneName};

/// Where a call began.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Zone of its first node.
    pub zone: ZoneName,
    /// Service of the upstream beside that.
    pub service: ServiceName,
}
