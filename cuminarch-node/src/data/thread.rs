use std::future::Future;
use std::net::TcpListener;
use std::thread::{self, JoinHandle};

use cuminarch_engine::Engine;
use cuminarch_types::ServiceName;
use flume::{Receiver, Sender};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

use super::driver::{ClaimRequest, DataCommand, Driver};
use super::front::{Side, serve_connection};
use super::link_client::LinkPool;
use super::link_server::serve_link;
use super::local::LocalPool;
use super::runner::DataContext;
use crate::NodeError;
use crate::clock::Clock;

/// Sockets that the data thread listens on.
pub struct DataListeners {
    pub callers: TcpListener,
    pub egress: TcpListener,
    pub links: TcpListener,
}

/// Everything the data thread starts with.
pub struct DataThread {
    pub engine: Engine,
    pub clock: Clock,
    pub listeners: DataListeners,
    pub upstream: std::net::SocketAddr,
    pub own_service: ServiceName,
    pub commands: Receiver<DataCommand>,
    pub claims: Sender<ClaimRequest>,
}

impl DataThread {
    /// Starts the thread; it ends when told to stop.
    pub fn spawn(self) -> Result<JoinHandle<()>, NodeError> {
        thread::Builder::new()
            .name("data".to_owned())
            .spawn(move || self.run())
            .map_err(|source| NodeError::Thread { duty: "data", source })
    }

    fn run(self) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        LocalSet::new().block_on(&runtime, self.serve());
    }

    async fn serve(self) {
        let driver = Driver::new(self.engine, self.clock, self.claims);
        let context = DataContext {
            driver: driver.clone(),
            upstream: LocalPool::new(self.upstream),
            links: LinkPool::default(),
            own_service: self.own_service,
        };
        let DataListeners { callers, egress, links } = self.listeners;
        let http = |side| {
            let context = context.clone();
            move |stream| serve_connection(context.clone(), stream, side)
        };
        spawn_local(accept(callers, http(Side::Caller)));
        spawn_local(accept(egress, http(Side::Upstream)));
        let linked = context.clone();
        spawn_local(accept(links, move |stream| serve_link(linked.clone(), stream)));
        spawn_local(driver.clone().run_timers());
        driver.run_commands(self.commands).await;
    }
}

async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(stream));
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
        }
    }
}
