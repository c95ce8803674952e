/// Messages and bytes that a node sent and received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrafficCounters {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes sent, including WebSocket frame headers.
    pub sent_bytes: u64,
    /// Bytes received, including WebSocket frame headers.
    pub received_bytes: u64,
    /// Links opened.
    pub links_opened: u64,
}

impl TrafficCounters {
    /// Returns the difference to the earlier counts.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent - earlier.sent,
            received: self.received - earlier.received,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
            received_bytes: self.received_bytes - earlier.received_bytes,
            links_opened: self.links_opened - earlier.links_opened,
        }
    }

    /// Returns the bytes in both directions.
    #[must_use]
    pub const fn total_bytes(&self) -> u64 {
        self.sent_bytes + self.received_bytes
    }
}
