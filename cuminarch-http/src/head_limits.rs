/// Limits on the head of a message, and strictness of its parsing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Maximum length of a head in bytes.
    pub max_len_bytes: usize,
    /// Whether `content-length` in a chunked message is an error; otherwise it is ignored.
    pub rejects_length_with_chunked: bool,
}

impl HeadLimits {
    /// Default maximum length of a head in bytes; common servers accept as much.
    pub const DEFAULT_MAX_LEN_BYTES: usize = 64 * 1024;
    /// Maximum number of fields of a head; common servers accept as many.
    pub const MAX_FIELDS: usize = 128;

    /// Creates the default limits.
    #[must_use]
    pub const fn new() -> Self {
        Self { max_len_bytes: Self::DEFAULT_MAX_LEN_BYTES, rejects_length_with_chunked: false }
    }

    /// Sets the maximum length of a head in bytes.
    #[must_use]
    pub const fn with_max_len_bytes(mut self, max_len_bytes: usize) -> Self {
        self.max_len_bytes = max_len_bytes;
        self
    }

    /// Sets whether `content-length` in a chunked message is an error.
    #[must_use]
    pub const fn with_rejects_length_with_chunked(mut self, rejects: bool) -> Self {
        self.rejects_length_with_chunked = rejects;
        self
    }
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self::new()
    }
}
