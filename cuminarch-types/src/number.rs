//! Common code of the types that wrap an unsigned number.

/// Defines a type that wraps an unsigned number, with formatting and parsing.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, serde::Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($repr);

        impl $name {
            /// Creates a value from a number.
            #[must_use]
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $repr {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| $crate::ParseError::new(stringify!($name), text, "it is not a number"))
            }
        }
    };
}

pub(crate) use number_type;
