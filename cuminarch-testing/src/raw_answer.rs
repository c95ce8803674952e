/// An answer as received from the socket.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Status line and header fields, in order.
    pub head: Vec<String>,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl RawAnswer {
    /// Returns the first header field of this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().skip(1).find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// Returns the outcome of the request as reported by the node, or `none`.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.header("cuminarch-outcome").unwrap_or("none")
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
