//! Names chosen by operators and callers.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

fn check_name(type_name: &'static str, text: &str) -> Result<(), ParseError> {
    if text.is_empty() {
        return Err(ParseError::new(type_name, text, "it is empty"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(ParseError::new(type_name, text, "it is longer than 64 bytes"));
    }
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !text.bytes().all(is_allowed) {
        return Err(ParseError::new(
            type_name,
            text,
            "only ASCII letters, digits, '-', '_' and '.' are allowed",
        ));
    }
    Ok(())
}

/// Maximum length of the name of an account in bytes.
const MAX_ACCOUNT_NAME_BYTES: usize = 256;

fn check_account_name(type_name: &'static str, text: &str) -> Result<(), ParseError> {
    if text.is_empty() {
        return Err(ParseError::new(type_name, text, "it is empty"));
    }
    if text.len() > MAX_ACCOUNT_NAME_BYTES {
        return Err(ParseError::new(type_name, text, "it is longer than 256 bytes"));
    }
    if text.trim() != text || text.chars().any(char::is_control) {
        let reason = "it begins or ends with a blank or has control characters";
        return Err(ParseError::new(type_name, text, reason));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        name_type!(
            $(#[$doc])*
            ///
            /// At most 64 bytes of ASCII letters, digits, `-`, `_` and `.`.
            $name, check_name
        );
    };
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Creates a name from text.
            ///
            /// # Errors
            ///
            /// Returns an error if the text is empty, too long or has other characters.
            pub fn new(text: impl AsRef<str>) -> Result<Self, ParseError> {
                let text = text.as_ref();
                $check(stringify!($name), text)?;
                Ok(Self(CompactString::from(text)))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                Self::new(text)
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = ParseError;

            fn try_from(text: CompactString) -> Result<Self, ParseError> {
                $check(stringify!($name), &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// Name of a client account, on whose behalf requests are sent. Upstreams get it as it is.
    ///
    /// At most 256 bytes of UTF-8 without control characters and outer blanks.
    AccountName, check_account_name
);
name_type!(
    /// Identifies a change of the configuration; chosen by its submitter.
    ChangeId
);
name_type!(
    /// Name of a class of requests with a common priority, grant and deadline.
    ClassName
);
name_type!(
    /// Idempotency key chosen by a caller.
    ClientKey
);
name_type!(
    /// Identifies an endpoint: an upstream process and the node beside it.
    EndpointId
);
name_type!(
    /// Identifies an incarnation of an upstream process; chosen by the upstream.
    InstanceId
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of a route, which directs requests of one kind to a service.
    RouteName
);
name_type!(
    /// Name of a service, whose endpoints are interchangeable.
    ServiceName
);
name_type!(
    /// Name of an availability zone.
    ZoneName
);
