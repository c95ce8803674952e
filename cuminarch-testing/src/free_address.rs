use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process;
use std::sync::{Mutex, PoisonError};

use crate::port_block::PortBlock;

static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns a loopback address at which nothing listens and that no call of this function has returned
/// before, also in other processes that run at the same time, for a component that must know its
/// address before it binds.
///
/// # Panics
///
/// Panics if all ports are used up.
pub fn free_address() -> SocketAddr {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let port = blocks.last_mut().and_then(PortBlock::next);
        let Some(port) = port else {
            blocks.push(PortBlock::claim(process::id()).expect("all blocks of ports are claimed"));
            continue;
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        // A trial bind would occupy the port for longer than the call if another thread starts a
        // process meanwhile: that one has a copy of the socket until it executes its program.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}
