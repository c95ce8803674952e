//! Executes the actions of [`ApplyStateMachine`] and retries reads.

use std::time::Duration;

use cuminarch_platform::{Backoff, Clock, ObjectStore, PlatformError, Precondition};
use cuminarch_types::MonoTime;

use crate::{ApplyAction, ApplyEvent, ApplyOutcome, ApplyStateMachine, CliError};

/// Runs a change until it has an outcome.
pub fn run_apply(
    state_machine: &mut ApplyStateMachine,
    store: &dyn ObjectStore,
    clock: &dyn Clock,
) -> ApplyOutcome {
    let mut action = state_machine.handle(ApplyEvent::Started, clock.now());
    loop {
        let event = match action {
            ApplyAction::Get(path) => ApplyEvent::Got(store.get(&path)),
            ApplyAction::List(prefix) => ApplyEvent::Listed(store.list(&prefix)),
            ApplyAction::Put { path, value, expect } => {
                ApplyEvent::Put(store.put(&path, &value, expect))
            }
            ApplyAction::Delete { path, version } => {
                ApplyEvent::Deleted(store.delete(&path, Precondition::Version(version)))
            }
            ApplyAction::Sleep(delay) => {
                clock.sleep(delay);
                ApplyEvent::Woken
            }
            ApplyAction::Finish(outcome) => return outcome,
        };
        action = state_machine.handle(event, clock.now());
    }
}

/// Reads with retries until `deadline`, while the platform is unavailable or limits the rate.
///
/// # Errors
///
/// Returns the last error.
pub fn read_with_retries<T>(
    clock: &dyn Clock,
    deadline: MonoTime,
    seed: u64,
    read: impl Fn() -> Result<T, CliError>,
) -> Result<T, CliError> {
    const INITIAL_DELAY: Duration = Duration::from_millis(100);
    const MAX_DELAY: Duration = Duration::from_secs(2);
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY, seed);
    loop {
        match read() {
            Err(CliError::Platform(
                PlatformError::Unavailable { .. } | PlatformError::RateLimited,
            )) if clock.now() < deadline => clock.sleep(backoff.next_delay()),
            result => return result,
        }
    }
}
