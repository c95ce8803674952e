use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender, TrySendError};

/// Ticks of a subscription; ticks that are not received in time are merged.
pub type Subscription = Receiver<Instant>;

struct Subscriber {
    period: Duration,
    due_at: Instant,
    sender: Sender<Instant>,
}

/// Handle of the thread that wakes the other duties periodically.
#[derive(Clone, Debug)]
pub struct TimerService {
    requests: Sender<(Duration, Sender<Instant>)>,
}

impl TimerService {
    const MAX_PENDING_SUBSCRIPTIONS: usize = 64;

    /// Starts the thread; it ends when all handles and subscriptions are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        let (timer, work) = Self::prepare();
        thread::Builder::new().name("timer".to_owned()).spawn(work)?;
        Ok(timer)
    }

    /// Returns a handle, and the function that its thread runs.
    pub(crate) fn prepare() -> (Self, impl FnOnce() + Send + 'static) {
        let (requests, receiver) = flume::bounded(Self::MAX_PENDING_SUBSCRIPTIONS);
        (Self { requests }, move || run(&receiver))
    }

    /// Subscribes to a tick every `period`.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> Subscription {
        let (sender, receiver) = flume::bounded(1);
        let _ = self.requests.send((period, sender));
        receiver
    }
}

fn run(requests: &Receiver<(Duration, Sender<Instant>)>) {
    let mut subscribers: Vec<Subscriber> = Vec::new();
    loop {
        let due_at = subscribers.iter().map(|subscriber| subscriber.due_at).min();
        let request = match due_at {
            Some(due_at) => requests
                .recv_deadline(due_at)
                .map_err(|error| matches!(error, flume::RecvTimeoutError::Disconnected)),
            None => requests.recv().map_err(|_| true),
        };
        match request {
            Ok((period, sender)) => {
                let due_at = Instant::now() + period;
                subscribers.push(Subscriber { period, due_at, sender });
            }
            Err(is_closed) => {
                if is_closed && subscribers.is_empty() {
                    return;
                }
                if is_closed && let Some(due_at) = due_at {
                    thread::sleep(due_at.saturating_duration_since(Instant::now()));
                }
                let now = Instant::now();
                subscribers.retain_mut(|subscriber| tick(subscriber, now));
            }
        }
    }
}

/// Sends a tick if it is due. Returns `true` while the subscription exists.
fn tick(subscriber: &mut Subscriber, now: Instant) -> bool {
    if subscriber.due_at > now {
        return !subscriber.sender.is_disconnected();
    }
    subscriber.due_at = now + subscriber.period;
    !matches!(subscriber.sender.try_send(now), Err(TrySendError::Disconnected(_)))
}
