use std::io;

use thiserror::Error;

/// Error that prevents a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are invalid.
    #[error("settings: {reason}")]
    Settings {
        /// Description of the errors, with their lines if known.
        reason: String,
    },
    /// Listening on an address failed.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Purpose of the address.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Starting a thread failed.
    #[error("cannot start the {duty} thread: {source}")]
    Thread {
        /// Duty of the thread.
        duty: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}
