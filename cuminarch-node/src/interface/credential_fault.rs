use std::fmt;

/// Why a request has no valid key of a client account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CredentialFault {
    /// There is no key.
    Missing,
    /// The field with the key is malformed.
    Malformed,
    /// There is more than one field with a key.
    Repeated,
    /// No account holds the key.
    Unknown,
    /// The account lost the key while the request waited.
    Withdrawn,
    /// The entry of the account that holds the key cannot be served.
    AccountSetAside,
}

impl CredentialFault {
    /// Every fault.
    pub const ALL: [Self; 6] = [
        Self::Missing,
        Self::Malformed,
        Self::Repeated,
        Self::Unknown,
        Self::Withdrawn,
        Self::AccountSetAside,
    ];

    /// Returns the text for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Repeated => "repeated",
            Self::Unknown => "unknown",
            Self::Withdrawn => "withdrawn",
            Self::AccountSetAside => "account-set-aside",
        }
    }
}

impl fmt::Display for CredentialFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
