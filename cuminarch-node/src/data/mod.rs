//! The data path: one thread that carries all calls of the node.
//!
//! Callers, the own upstream, peers' calls and calls to peers all live on one
//! thread with an event loop, so that a call never changes threads.

mod body;
mod driver;
mod front;
mod link_client;
mod link_server;
mod listener;
mod local;
mod runner;
mod thread;

pub use driver::{ClaimRequest, DataCommand};
pub use listener::bind;
pub use thread::{DataListeners, DataThread};
