use cuminarch_protocol::AnswerHead;

/// A complete answer, stored for resends of the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// Status and header fields.
    pub head: AnswerHead,
    /// The complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the approximate memory use of the answer in bytes.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        let headers: usize =
            self.head.headers.iter().map(|field| field.name.len() + field.value.len() + 48).sum();
        self.body.len() + headers
    }
}
