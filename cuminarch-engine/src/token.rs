/// Token of a call that counts against an allotment. Every attempt takes one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenState {
    /// None has been requested.
    NotRequested,
    /// The holder of the allotment was asked for one.
    Waiting,
    /// Held for the next attempt.
    Held,
    /// Spent on the latest attempt, which is in flight or may have run.
    Spent,
    /// Not held: it was refused, or the latest attempt did not run.
    Returned,
}
