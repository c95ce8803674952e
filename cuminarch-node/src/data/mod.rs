//! The data path: one thread that carries all calls of the node.
//!
//! Callers, the own upstream, peers' calls and calls to peers all live on one
//! thread with an event loop, so that a call never changes threads.

mod answer;
mod body;
mod caller_body;
mod connections;
mod detached;
mod driver;
mod front;
mod http_reply;
mod limits;
mod link_client;
mod link_hello;
mod link_pool;
mod link_server;
mod listener;
mod local;
mod passed_body;
mod runner;
mod tasks;
mod thread;
mod upload;

pub use driver::{ClaimRequest, DataCommand};
pub use listener::bind;
pub use thread::{DataListeners, DataThread};
