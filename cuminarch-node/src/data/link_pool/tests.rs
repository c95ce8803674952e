use std::net::TcpListener;
use std::thread;

use tokio::runtime::{Builder, LocalOptions};
use tokio_tungstenite::tungstenite::accept;

use super::*;

/// Guards against links to nodes that have gone, which would hold a descriptor each for as long as
/// the node runs.
#[test]
fn idle_links_to_a_node_that_has_gone_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let peer = thread::spawn(move || accept(listener.accept().unwrap().0).unwrap());
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.unwrap().block_on(async {
        let pool = LinkPool::new(LinkHello::new("tests".into()));
        pool.take(address, true, None).await.unwrap().release();
        let sweep = |sweeps: u32| {
            tokio::time::timeout(LinkPool::SWEEP_INTERVAL * sweeps, pool.clone().close_unusable())
        };
        assert!(sweep(2).await.is_err());
        assert_eq!(pool.peers.borrow().len(), 1);
        drop(peer.join().unwrap());
        assert!(sweep(2).await.is_err());
        assert!(pool.peers.borrow().is_empty());
    });
}
