use std::fmt;

/// Version of the protocol on data and control links; a link between different versions is refused.
pub const PROTOCOL_VERSION: u16 = 3;

/// Maximum length of a frame in bytes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FrameLimit(usize);

impl FrameLimit {
    /// Limit on control links; a complete sheet of 1 MB fits.
    pub const CONTROL: Self = Self(2 * 1024 * 1024);
    /// Limit on data links; bodies are split into smaller chunks.
    pub const DATA: Self = Self(256 * 1024);

    /// Creates a limit in bytes.
    #[must_use]
    pub const fn new(len_bytes: usize) -> Self {
        Self(len_bytes)
    }

    /// Returns the limit in bytes.
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
