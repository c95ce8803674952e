//! Metrics, health and state dump for operators.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cuminarch_engine::EngineSummary;
use flume::Sender;
use serde::Serialize;
use tiny_http::{Request, Response, Server};

use crate::data::DataCommand;
use crate::{NodeError, NodeSettings};

/// State of a node for operators.
#[derive(Serialize)]
struct Dump<'a> {
    settings: &'a NodeSettings,
    engine: EngineSummary,
}

/// Everything the admin thread starts with.
pub struct AdminThread {
    pub settings: NodeSettings,
    pub commands: Sender<DataCommand>,
}

/// A running admin thread.
pub struct AdminHandle {
    server: Arc<Server>,
    thread: JoinHandle<()>,
    pub address: SocketAddr,
}

impl AdminHandle {
    /// Ends the thread.
    pub fn stop(self) {
        self.server.unblock();
        let _ = self.thread.join();
    }
}

impl AdminThread {
    const SUMMARY_TIMEOUT: Duration = Duration::from_secs(1);

    /// Starts the thread.
    pub fn spawn(self, listener: TcpListener) -> Result<AdminHandle, NodeError> {
        let thread_error = |source| NodeError::Thread { duty: "admin", source };
        listener.set_nonblocking(false).map_err(thread_error)?;
        let address = listener.local_addr().map_err(thread_error)?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| thread_error(std::io::Error::other(error)))?;
        let server = Arc::new(server);
        let served = Arc::clone(&server);
        let thread = thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                while let Ok(request) = served.recv() {
                    self.answer(request);
                }
            })
            .map_err(thread_error)?;
        Ok(AdminHandle { server, thread, address })
    }

    fn answer(&self, request: Request) {
        let response = match request.url() {
            "/healthz" => Response::from_string("ok\n"),
            "/dump" => self.dump(),
            _ => Response::from_string("no such page\n").with_status_code(404),
        };
        let _ = request.respond(response);
    }

    fn dump(&self) -> Response<std::io::Cursor<Vec<u8>>> {
        let (sender, receiver) = flume::bounded(1);
        let asked = self.commands.send_timeout(DataCommand::Summary(sender), Self::SUMMARY_TIMEOUT);
        let summary = asked.ok().and_then(|()| receiver.recv_timeout(Self::SUMMARY_TIMEOUT).ok());
        let Some(engine) = summary else {
            return Response::from_string("the data thread does not answer\n")
                .with_status_code(503);
        };
        let dump = Dump { settings: &self.settings, engine };
        Response::from_data(serde_json::to_vec_pretty(&dump).unwrap_or_default())
    }
}
