use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port used, above the well-known services.
const FIRST_PORT: u32 = 20_000;

/// Number of ports used; all are below the range that Linux uses for outgoing
/// connections and for binds without a port.
const PORT_COUNT: u32 = 12_000;

/// Distance between the first ports of two processes with successive ids.
const PORTS_PER_PROCESS: u32 = 211;

static ALLOCATED_COUNT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is not in use and that this process has not returned
/// before, for a component that must know its address before it binds.
///
/// # Panics
///
/// Panics if all ports of the process are used up.
pub fn free_address() -> SocketAddr {
    loop {
        let index = ALLOCATED_COUNT.fetch_add(1, Ordering::Relaxed);
        assert!(index < PORT_COUNT, "all {PORT_COUNT} ports are used up");
        let address = address_at(index);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn address_at(index: u32) -> SocketAddr {
    let first_index = process::id().wrapping_mul(PORTS_PER_PROCESS) % PORT_COUNT;
    let port = FIRST_PORT + (first_index + index) % PORT_COUNT;
    SocketAddr::from((
        Ipv4Addr::LOCALHOST,
        u16::try_from(port).expect("all ports are below 32,000"),
    ))
}
