use cuminarch_types::{Attempts, ResendNumber};

/// Returns the attempts granted to the `send`-th send of one request by its client.
///
/// Each send gets half of the previous one, so that all sends together stay within `total` although
/// different nodes may receive them without coordination.
#[must_use]
pub fn grant_for_send(total: Attempts, send: ResendNumber) -> Attempts {
    let shifted = total.get().checked_shr(send.get()).unwrap_or(0);
    Attempts::new(shifted)
}
