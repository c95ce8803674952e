use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// First port handed out, above the well-known services.
const FIRST_PORT: u32 = 20_000;

/// Ports handed out; all lie below the range that Linux takes for outgoing
/// connections and for binds without a port.
const PORT_COUNT: u32 = 12_000;

/// Ports between the first ones of two processes with successive ids.
const PORTS_PER_PROCESS: u32 = 211;

static ALLOCATED_COUNT: AtomicU32 = AtomicU32::new(0);

/// A loopback address that nothing listens on and that this process has not handed
/// out before, for a part that has to know its address before it binds.
///
/// # Panics
///
/// When the ports of the process are used up.
pub fn free_address() -> SocketAddr {
    loop {
        let taken_count = ALLOCATED_COUNT.fetch_add(1, Ordering::Relaxed);
        assert!(taken_count < PORT_COUNT, "no port is left");
        let address = address_at(taken_count);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn address_at(taken_count: u32) -> SocketAddr {
    let first = process::id().wrapping_mul(PORTS_PER_PROCESS) % PORT_COUNT;
    let port = FIRST_PORT + (first + taken_count) % PORT_COUNT;
    SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).expect("below 32,000")))
}
