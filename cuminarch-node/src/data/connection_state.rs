//! State shared by the reader, the writer and the requests of an HTTP connection.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// Requests of a connection and the decision to end it.
///
/// Anyone may decide that the connection ends: the caller with `Connection: close`, the reader
/// after malformed input, the writer while the node stops. From then on no request is accepted;
/// those accepted before are answered in order, and the last answer closes the connection.
#[derive(Debug)]
pub struct ConnectionState {
    peer: IpAddr,
    unanswered: Cell<usize>,
    /// The same for all connections, so that a stop waits for them.
    unanswered_of_all: Rc<Cell<usize>>,
    answered: Cell<u64>,
    /// Time of the last written answer, or of the opening of the connection.
    idle_since: Cell<Instant>,
    is_closing: Cell<bool>,
    /// Whether part of an answer has been written whose end is not known to arrive.
    is_streaming: Cell<bool>,
    answer_written: Notify,
}

impl ConnectionState {
    /// Creates the state of a connection that was opened now.
    pub fn new(peer: IpAddr, unanswered_of_all: Rc<Cell<usize>>) -> Self {
        Self {
            peer,
            unanswered: Cell::new(0),
            unanswered_of_all,
            answered: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            is_closing: Cell::new(false),
            is_streaming: Cell::new(false),
            answer_written: Notify::new(),
        }
    }

    /// Returns the address of the caller.
    pub const fn peer(&self) -> IpAddr {
        self.peer
    }

    /// Returns the number of accepted requests whose answers have not been written yet.
    pub const fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Returns the time since the last answer, or since the opening of the connection.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.get().elapsed()
    }

    /// Decides that the connection ends after the requests accepted so far.
    pub fn begin_close(&self) {
        self.is_closing.set(true);
    }

    /// Returns `true` if no further request is accepted.
    pub const fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Returns `true` if the answer to be written next is the last one.
    pub const fn is_last_answer(&self) -> bool {
        self.is_closing.get() && self.unanswered.get() == 1
    }

    /// Records that a request was accepted, which is answered from then on.
    pub fn record_accepted(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
        self.unanswered_of_all.set(self.unanswered_of_all.get() + 1);
    }

    /// Records that an answer is being written before all of it has arrived.
    pub fn record_streaming(&self) {
        self.is_streaming.set(true);
    }

    /// Records that an answer was written.
    pub fn record_answered(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
        self.unanswered_of_all.set(self.unanswered_of_all.get() - 1);
        self.answered.set(self.answered.get() + 1);
        self.idle_since.set(Instant::now());
        self.is_streaming.set(false);
        self.answer_written.notify_waiters();
    }

    /// Records that the requests without an answer will never get one.
    pub fn abandon_unanswered(&self) {
        let abandoned = self.unanswered.take();
        self.unanswered_of_all.set(self.unanswered_of_all.get() - abandoned);
    }

    /// Waits until all requests before request `number` are answered.
    pub async fn wait_for_earlier_answers(&self, number: u64) {
        while self.answered.get() < number {
            self.answer_written.notified().await;
        }
    }

    /// Waits until no answer is partly written. If such an answer breaks off, the connection must
    /// be reset, and requests passed on behind it would be lost.
    pub async fn wait_for_streamed_answer(&self) {
        while self.is_streaming.get() {
            self.answer_written.notified().await;
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.abandon_unanswered();
    }
}
