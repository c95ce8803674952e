//! Data path: one thread that executes all calls of the node.
//!
//! Connections of callers, of the local upstream and of peers share one thread with an event
//! loop, so a call never moves between threads.

mod acceptor;
mod ahead_budget;
mod answer;
mod answer_pace;
mod body;
mod capacity_log;
mod command;
mod connection_state;
mod connections;
mod credentials;
mod datagrams;
mod delivery;
mod detached;
mod driver;
mod front;
mod front_reader;
mod front_writer;
mod handler;
mod http_reply;
mod limits;
mod link_client;
mod link_hello;
mod link_pool;
mod link_server;
mod listener;
mod local;
mod member_report;
mod recorded_departures;
mod registration;
mod runner;
mod signals;
mod stop;
mod tasks;
mod thread;
mod upload;
mod upstream_connection;
mod upstream_pool;

pub use command::DataCommand;
pub use driver::ClaimRequest;
pub use listener::{bind, bind_with_datagrams};
pub use member_report::MemberReport;
pub use thread::{DataListeners, DataThread};
