/// Bounds on the head of a message, and how strictly it is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Longest head in bytes.
    pub max_len_bytes: usize,
    /// Whether a length beside chunks is malformed, and not just ignored.
    pub rejects_length_with_chunked: bool,
}

impl HeadLimits {
    /// Longest head in bytes if nothing else is said; common servers take as much.
    pub const DEFAULT_MAX_LEN_BYTES: usize = 64 * 1024;
    /// Most fields of a head; common servers take as many.
    pub const MAX_FIELDS: usize = 128;

    /// The default bounds.
    #[must_use]
    pub const fn new() -> Self {
        Self { max_len_bytes: Self::DEFAULT_MAX_LEN_BYTES, rejects_length_with_chunked: false }
    }

    /// Sets the longest head in bytes.
    #[must_use]
    pub const fn with_max_len_bytes(mut self, max_len_bytes: usize) -> Self {
        self.max_len_bytes = max_len_bytes;
        self
    }

    /// Sets whether a length beside chunks is malformed.
    #[must_use]
    pub const fn with_rejects_length_with_chunked(mut self, refuses: bool) -> Self {
        self.rejects_length_with_chunked = refuses;
        self
    }
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self::new()
    }
}
