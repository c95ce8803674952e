use std::net::{Ipv4Addr, TcpListener};

/// Consecutive ports that only this process uses until it ends.
#[derive(Debug)]
pub struct PortBlock {
    /// Occupies the first port of the block, which tells other processes that it is claimed.
    _claim: TcpListener,
    next_port: u16,
    end_port: u16,
}

impl PortBlock {
    /// Lowest port, above the well-known services.
    const FIRST_PORT: u16 = 20_000;
    /// Number of blocks; all ports are below the range that Linux uses for outgoing connections and
    /// for binds without a port.
    const BLOCKS: u16 = 240;
    const PORTS_PER_BLOCK: u16 = 50;

    /// Claims a block that no process has claimed. The seed chooses the one that is tried first.
    pub fn claim(seed: u32) -> Option<Self> {
        let first = u16::try_from(seed % u32::from(Self::BLOCKS)).ok()?;
        (0..Self::BLOCKS)
            .map(|index| Self::FIRST_PORT + (first + index) % Self::BLOCKS * Self::PORTS_PER_BLOCK)
            .find_map(Self::claim_at)
    }

    fn claim_at(port: u16) -> Option<Self> {
        let claim = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()?;
        Some(Self { _claim: claim, next_port: port + 1, end_port: port + Self::PORTS_PER_BLOCK })
    }
}

impl Iterator for PortBlock {
    type Item = u16;

    fn next(&mut self) -> Option<u16> {
        let port = self.next_port;
        (port < self.end_port).then(|| self.next_port += 1)?;
        Some(port)
    }
}
