//! Metrics, health and state dump for operators.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use cuminarch_engine::EngineSummary;
use cuminarch_membership::FleetSummary;
use flume::Sender;
use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::control::FleetQuery;
use crate::data::DataCommand;
use crate::duty::{Duties, DutyState};
use crate::metrics::Metrics;
use crate::{NodeError, NodeSettings};

type Page = Response<std::io::Cursor<Vec<u8>>>;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// State of a node for operators. It contains no request, body or key.
#[derive(Serialize)]
struct Dump<'a> {
    settings: &'a NodeSettings,
    duties: BTreeMap<&'static str, DutyState>,
    engine: EngineSummary,
    fleet: Option<FleetSummary>,
}

/// Start parameters of the admin thread.
pub struct AdminThread {
    pub settings: NodeSettings,
    pub commands: Sender<DataCommand>,
    pub duties: Duties,
    pub metrics: Arc<Metrics>,
    pub queries: Sender<FleetQuery>,
}

/// A running admin thread.
pub struct AdminHandle {
    server: Arc<Server>,
    thread: JoinHandle<()>,
    pub address: SocketAddr,
}

impl AdminHandle {
    /// Stops the thread.
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
        let thread_server = Arc::clone(&server);
        let thread = self.duties.clone().spawn("admin", move || {
            while let Ok(request) = thread_server.recv() {
                self.answer(request);
            }
        })?;
        Ok(AdminHandle { server, thread, address })
    }

    fn answer(&self, request: Request) {
        let page = match (request.method(), request.url()) {
            (Method::Get, "/healthz") => self.health(),
            (Method::Get, "/dump") => self.dump(),
            (Method::Get, "/metrics") => self.metrics(),
            (Method::Get, _) => page(404, TEXT_TYPE, "no such page\n"),
            _ => page(405, TEXT_TYPE, "only GET\n"),
        };
        let _ = request.respond(page);
    }

    fn health(&self) -> Page {
        let failed: Vec<&str> = self
            .duties
            .states()
            .into_iter()
            .filter(|(_, state)| matches!(state, DutyState::Failed { .. }))
            .map(|(duty, _)| duty)
            .collect();
        match self.engine_summary() {
            _ if !failed.is_empty() => {
                page(503, TEXT_TYPE, format!("failed: {}\n", failed.join(", ")))
            }
            None => unresponsive_page(),
            Some(summary) if summary.draining => page(503, TEXT_TYPE, "draining\n"),
            Some(_) => page(200, TEXT_TYPE, "ok\n"),
        }
    }

    fn metrics(&self) -> Page {
        match self.engine_summary() {
            Some(summary) => {
                let fleet = self.fleet_summary();
                page(200, METRICS_TYPE, self.metrics.encode_text(&summary, fleet.as_ref()))
            }
            None => unresponsive_page(),
        }
    }

    fn dump(&self) -> Page {
        let Some(engine) = self.engine_summary() else { return unresponsive_page() };
        let dump = Dump {
            settings: &self.settings,
            duties: self.duties.states(),
            engine,
            fleet: self.fleet_summary(),
        };
        page(200, JSON_TYPE, serde_json::to_string_pretty(&dump).unwrap_or_default())
    }

    fn fleet_summary(&self) -> Option<FleetSummary> {
        let (sender, receiver) = flume::bounded(1);
        self.queries.send_timeout(sender, Self::SUMMARY_TIMEOUT).ok()?;
        receiver.recv_timeout(Self::SUMMARY_TIMEOUT).ok()
    }

    fn engine_summary(&self) -> Option<EngineSummary> {
        let (sender, receiver) = flume::bounded(1);
        let command = DataCommand::Summary(sender);
        self.commands.send_timeout(command, Self::SUMMARY_TIMEOUT).ok()?;
        receiver.recv_timeout(Self::SUMMARY_TIMEOUT).ok()
    }
}

fn unresponsive_page() -> Page {
    page(503, TEXT_TYPE, "the data thread does not answer\n")
}

fn page(status: u16, content_type: &str, text: impl Into<String>) -> Page {
    let page = Response::from_string(text).with_status_code(status);
    match Header::from_bytes("Content-Type", content_type) {
        Ok(header) => page.with_header(header),
        Err(()) => page,
    }
}
