//! Carries out what the state machines ask for.

use std::time::Duration;

use cuminarch_platform::{Backoff, Clock, ObjectStore, PlatformError, Precondition};
use cuminarch_types::MonoTime;

use crate::{ApplyAction, ApplyEvent, ApplyOutcome, ApplyStateMachine, CliError};

/// Runs a change to its end.
pub fn run_apply(
    process: &mut ApplyStateMachine,
    store: &dyn ObjectStore,
    clock: &dyn Clock,
) -> ApplyOutcome {
    let mut action = process.handle(ApplyEvent::Started, clock.now());
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
            ApplyAction::Sleep(span) => {
                clock.sleep(span);
                ApplyEvent::Woken
            }
            ApplyAction::Finish(outcome) => return outcome,
        };
        action = process.handle(event, clock.now());
    }
}

/// Repeats a read until it succeeds or the time is up.
///
/// # Errors
///
/// Fails with the last error.
pub fn read_with_retries<T>(
    clock: &dyn Clock,
    until: MonoTime,
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
            )) if clock.now() < until => clock.sleep(backoff.next_delay()),
            result => return result,
        }
    }
}
