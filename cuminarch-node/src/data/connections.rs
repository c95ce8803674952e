//! Connections that the data thread serves, counted and told to end.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// Connections of one listener.
#[derive(Clone)]
pub struct Connections {
    stop: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
    max_open: usize,
}

/// One connection; counted as long as it exists.
pub struct Connection {
    stop: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
}

impl Connections {
    /// None yet, and never more than `max_open`.
    pub fn new(max_open: usize) -> Self {
        Self { stop: watch::Sender::new(false), open: Rc::new(Cell::new(0)), max_open }
    }

    /// Counts a connection; none if there are too many.
    pub fn add(&self) -> Option<Connection> {
        if self.open.get() >= self.max_open {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Connection { stop: self.stop.subscribe(), open: Rc::clone(&self.open) })
    }

    /// Tells all connections to end once they are idle.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until no connection is left.
    pub async fn closed(&self) {
        self.stop.closed().await;
    }

    /// Waits until connections are told to end.
    pub async fn wait_for_stop(&self) {
        let mut stop = self.stop.subscribe();
        let _ = stop.wait_for(|is_stopping| *is_stopping).await;
    }
}

impl Connection {
    /// Waits until the connection is told to end.
    pub async fn wait_for_stop(&mut self) {
        let _ = self.stop.wait_for(|is_stopping| *is_stopping).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
