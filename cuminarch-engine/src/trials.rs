use std::collections::VecDeque;
use std::time::Duration;

use cuminarch_types::{CallId, MonoTime};

/// Suspected requests at the local upstream: one runs at a time, the others wait.
#[derive(Debug, Default)]
pub struct Trials {
    current: Option<(CallId, MonoTime)>,
    /// Waiting calls, with the time until which each waits.
    waiting: VecDeque<(CallId, MonoTime)>,
    /// Whether waiting calls may be able to continue.
    is_changed: bool,
}

impl Trials {
    /// Calls that wait at most; further ones run without their turn.
    const MAX_WAITING: usize = 256;
    /// Time after which the next request starts beside one that still runs.
    pub const MAX_TURN: Duration = Duration::from_millis(500);

    /// Returns `true` if it is the turn of a call.
    pub fn begin(&mut self, call: CallId, now: MonoTime) -> bool {
        let is_taken = self
            .current
            .is_some_and(|(current, since)| current != call && now.since(since) < Self::MAX_TURN);
        if !is_taken {
            self.current = Some((call, now));
        }
        !is_taken
    }

    /// Lets a call wait for its turn. Returns `false` if too many wait.
    pub fn wait(&mut self, call: CallId, until: MonoTime) -> bool {
        let has_room = self.waiting.len() < Self::MAX_WAITING;
        if has_room {
            self.waiting.push_back((call, until));
        }
        has_room
    }

    /// Records that a call was answered or has ended.
    pub fn end(&mut self, call: CallId) {
        if self.current.is_some_and(|(current, _)| current == call) {
            self.current = None;
        }
        self.is_changed = true;
    }

    /// Records that waiting calls may be able to continue.
    pub const fn set_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns the waiting calls if they may be able to continue.
    pub fn take_waiting(&mut self) -> VecDeque<(CallId, MonoTime)> {
        if std::mem::take(&mut self.is_changed) {
            std::mem::take(&mut self.waiting)
        } else {
            VecDeque::new()
        }
    }
}
