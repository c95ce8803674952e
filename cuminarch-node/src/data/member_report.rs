use cuminarch_protocol::{Member, UpstreamRecord};

/// What the data thread reports to the control thread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberReport {
    /// The local upstream changed.
    Upstream(UpstreamRecord),
    /// The local upstream would have this record if no earlier process of the node knows better.
    UpstreamPending(UpstreamRecord),
    /// A node refused a call that was meant for another endpoint and stated this about itself.
    Misdirected(Box<Member>),
}
