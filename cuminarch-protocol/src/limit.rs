use std::fmt;

/// Version of the protocol on data and control links; links between versions are refused.
pub const PROTOCOL_VERSION: u16 = 3;

/// Largest length of a frame in bytes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FrameLimit(usize);

impl FrameLimit {
    /// Limit on control links; leaves room for a whole sheet of one megabyte.
    pub const CONTROL: Self = Self(2 * 1024 * 1024);
    /// Limit on data links; bodies are cut into smaller chunks.
    pub const DATA: Self = Self(256 * 1024);

    /// A limit of so many bytes.
    #[must_use]
    pub const fn new(len_bytes: usize) -> Self {
        Self(len_bytes)
    }

    /// The limit in bytes.
    #[must_use]
    pub const fn as_bytes(self) -> usize {
        self.0
    }
}

impl fmt::Display for FrameLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.0)
    }
}
