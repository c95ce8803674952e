use std::future::Future;
use std::time::{Duration, Instant};

/// Limits how long the parts of an answer that has begun are awaited.
///
/// An answer that falls silent ends at the deadline of its call. One that still flows then may go
/// on, as long as it does not pause for much longer than before. Time in which the reader takes
/// nothing does not count.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPace {
    /// Deadline of the call.
    deadline: Instant,
    /// Time at which even an answer that flows is broken off; `None` if it may go on forever.
    end_at: Option<Instant>,
    longest_pause: Duration,
    /// When the last part arrived or the reader took it.
    active_at: Instant,
}

impl AnswerPace {
    /// Duration of an answer as a multiple of its time limit from which it counts as endless.
    /// Without a limit, an endless answer would hold its connections and a slot forever.
    const MAX_DURATION_RATIO: u32 = 2;
    /// Pause of an answer that is always allowed after the deadline; the platform expects the final
    /// answer half a second after it.
    const MIN_ALLOWED_PAUSE: Duration = Duration::from_millis(400);
    /// Longest pause of an answer that flows after the deadline.
    const MAX_ALLOWED_PAUSE: Duration = Duration::from_millis(1_500);
    /// Pause of the reader from which its time does not count.
    const MIN_READER_PAUSE: Duration = Duration::from_millis(100);

    /// Creates the pace of an answer to a call with this much time left.
    pub fn new(remaining: Duration, now: Instant) -> Self {
        let deadline = now.checked_add(remaining).unwrap_or(now);
        Self { deadline, end_at: None, longest_pause: Duration::ZERO, active_at: now }
    }

    /// Breaks off an answer that takes much longer than the time limit, even while it flows.
    #[must_use]
    pub fn with_end(mut self, remaining: Duration, now: Instant) -> Self {
        self.end_at = now.checked_add(remaining * Self::MAX_DURATION_RATIO);
        self
    }

    /// Records that the reader has taken all parts so far.
    pub fn record_reader(&mut self, now: Instant) {
        let pause = now.duration_since(self.active_at);
        if pause >= Self::MIN_READER_PAUSE {
            self.end_at = self.end_at.and_then(|end_at| end_at.checked_add(pause));
        }
        self.active_at = now;
    }

    /// Returns `true` if an answer that flows has taken too long.
    pub fn is_over(&self, now: Instant) -> bool {
        self.end_at.is_some_and(|end_at| end_at <= now)
    }

    /// Waits for the next part. Returns `None` if it does not arrive in time.
    pub async fn wait<T>(&mut self, part: impl Future<Output = T>) -> Option<T> {
        let since = Instant::now();
        let part = tokio::time::timeout_at(self.silent_at(since).into(), part).await.ok();
        let now = Instant::now();
        self.longest_pause = self.longest_pause.max(now.duration_since(since));
        self.active_at = now;
        part
    }

    /// Returns the time at which an answer counts as silent if no part has arrived since `since`.
    fn silent_at(&self, since: Instant) -> Instant {
        let allowed_pause = self.longest_pause + self.longest_pause / 4;
        let allowed_pause = allowed_pause.clamp(Self::MIN_ALLOWED_PAUSE, Self::MAX_ALLOWED_PAUSE);
        let silent_at = self.deadline.max(since + allowed_pause);
        self.end_at.map_or(silent_at, |end_at| end_at.min(silent_at))
    }
}
