use std::io;

use thiserror::Error;

/// A node that cannot start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are not usable.
    #[error("settings: {reason}")]
    Settings {
        /// What is wrong, with its place if known.
        reason: String,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start the {duty} thread: {source}")]
    Thread {
        /// Its duty.
        duty: &'static str,
        /// What the system said.
        source: io::Error,
    },
}
