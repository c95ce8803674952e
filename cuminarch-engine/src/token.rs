/// Token of a call that counts against an allotment. Every attempt that may run takes one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenState {
    /// None has been requested.
    NotRequested,
    /// The holder of the allotment was asked for one.
    Waiting,
    /// Held for the next attempt.
    Held,
    /// Spent on the latest attempt, or refused.
    Settled,
}
