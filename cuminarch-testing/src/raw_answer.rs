/// An answer as it came over the socket.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// HTTP status code.
    pub status: u16,
    /// The status line and the header fields, in order.
    pub head: Vec<String>,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub is_complete: bool,
}

impl RawAnswer {
    /// The first header field of this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().skip(1).find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// What a node said of the request, or `none`.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.header("cuminarch-outcome").unwrap_or("none")
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
