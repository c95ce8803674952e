use bytes::Bytes;
use cuminarch_protocol::HeaderField;

/// A short answer that the node itself creates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalAnswer {
    /// Status code.
    pub status: u16,
    /// Fields; those that frame the body are added when the answer is written.
    pub fields: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
    /// Whether the connection is closed after the answer.
    pub closes: bool,
}

impl LocalAnswer {
    /// Creates an answer without a body.
    #[must_use]
    pub const fn new(status: u16) -> Self {
        Self { status, fields: Vec::new(), body: Bytes::new(), closes: false }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a field.
    #[must_use]
    pub fn with_field(mut self, name: &'static str, value: impl AsRef<[u8]>) -> Self {
        self.fields.push(HeaderField::new(name, value.as_ref()));
        self
    }

    /// Adds fields.
    #[must_use]
    pub fn with_fields(mut self, fields: &[HeaderField]) -> Self {
        self.fields.extend_from_slice(fields);
        self
    }

    /// Closes the connection after the answer.
    #[must_use]
    pub const fn with_close(mut self) -> Self {
        self.closes = true;
        self
    }
}
