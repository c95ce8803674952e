use cuminarch_membership::PendingUpstream;
use cuminarch_protocol::{Member, UpstreamRecord};

/// What the data thread reports to the control thread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberReport {
    /// The local upstream changed.
    Upstream(UpstreamRecord),
    /// A registration of the local upstream waits for what earlier processes have acknowledged.
    UpstreamPending(PendingUpstream),
    /// A node refused a call that was meant for another endpoint and stated this about itself.
    Misdirected(Box<Member>),
}
