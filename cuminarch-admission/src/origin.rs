use cuminarch_types::{ServiceName, ZoneName};

/// Where a call started.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// Zone of the first node of the call.
    pub zone: ZoneName,
    /// Service of the upstream beside that node.
    pub service: ServiceName,
}
