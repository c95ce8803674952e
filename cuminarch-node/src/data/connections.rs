//! Counts the connections of the data thread and signals them to stop.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// Connections of one or more listeners.
#[derive(Clone)]
pub struct Connections {
    stop: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
    unanswered: Rc<Cell<usize>>,
    unsent: Rc<Cell<usize>>,
    max_open: usize,
}

/// Tells its holder of [`Connections::stop`]; [`Connections::is_closed`] is false until it is dropped.
pub struct StopSignal(watch::Receiver<bool>);

/// A connection that is counted until it is dropped.
pub struct Connection {
    stop: StopSignal,
    open: Rc<Cell<usize>>,
    unanswered: Rc<Cell<usize>>,
    unsent: Rc<Cell<usize>>,
}

/// Counts closing connections whose peers have not taken all bytes yet.
#[derive(Debug)]
pub struct UnsentCounter(Rc<Cell<usize>>);

/// Counts one connection until it is dropped.
#[derive(Debug)]
pub struct UnsentGuard(Rc<Cell<usize>>);

impl Connections {
    /// Creates an empty set that accepts at most `max_open` connections.
    pub fn new(max_open: usize) -> Self {
        let stop = watch::Sender::new(false);
        Self {
            stop,
            open: Rc::default(),
            unanswered: Rc::default(),
            unsent: Rc::default(),
            max_open,
        }
    }

    /// Adds a connection. Returns `None` at the limit.
    pub fn add(&self) -> Option<Connection> {
        if self.open.get() >= self.max_open {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Connection {
            stop: self.stop_signal(),
            open: Rc::clone(&self.open),
            unanswered: Rc::clone(&self.unanswered),
            unsent: Rc::clone(&self.unsent),
        })
    }

    /// Returns the number of requests on all connections whose answers have not been written yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Returns the number of closing connections whose peers have not taken all bytes yet.
    pub fn unsent(&self) -> usize {
        self.unsent.get()
    }

    /// Signals all connections to close once they are idle.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Returns a signal that is triggered by [`Connections::stop`].
    pub fn stop_signal(&self) -> StopSignal {
        StopSignal(self.stop.subscribe())
    }

    /// Returns `true` once all connections are closed and all signals dropped.
    pub fn is_closed(&self) -> bool {
        self.stop.is_closed()
    }
}

impl StopSignal {
    /// Waits until [`Connections::stop`] is called.
    pub async fn wait(&mut self) {
        let _ = self.0.wait_for(|is_stopping| *is_stopping).await;
    }
}

impl Connection {
    /// Returns the counter of unanswered requests of all connections.
    pub fn unanswered(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.unanswered)
    }

    /// Returns the counter of closing connections whose peers have not taken all bytes yet.
    pub fn unsent(&self) -> UnsentCounter {
        UnsentCounter(Rc::clone(&self.unsent))
    }

    /// Waits until [`Connections::stop`] is called.
    pub async fn wait_for_stop(&mut self) {
        self.stop.wait().await;
    }
}

impl UnsentCounter {
    /// Counts a connection until the guard is dropped.
    pub fn count_one(&self) -> UnsentGuard {
        self.0.set(self.0.get() + 1);
        UnsentGuard(Rc::clone(&self.0))
    }
}

impl Drop for UnsentGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
