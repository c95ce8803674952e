use cuminarch_types::MonoTime;

/// Requests of an account over all nodes, as its holders report them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountUsage {
    /// Arriving requests relative to the allotted rate, in thousandths.
    pub usage_milli: u32,
    /// Time of the report.
    pub reported_at: MonoTime,
}
