use cuminarch_protocol::UpstreamRecord;

/// A registration of the own upstream that waits until it is known what earlier processes of the node
/// have acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingUpstream {
    /// The record that it would lead to.
    pub record: UpstreamRecord,
    /// Its number among the registrations of this lifetime.
    pub sequence: Option<u64>,
}
