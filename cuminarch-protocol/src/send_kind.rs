use serde::{Deserialize, Serialize};

/// What a send of a call is to the service that is called.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendKind {
    /// The first one.
    #[default]
    #[serde(rename = "f")]
    First,
    /// No earlier one has reached an upstream.
    #[serde(rename = "e")]
    Elsewhere,
    /// An upstream has seen an earlier one, or may have.
    #[serde(rename = "r")]
    Retry,
}

impl SendKind {
    // Serde passes a reference.
    #[allow(clippy::trivially_copy_pass_by_ref)]
    pub(crate) fn is_first(&self) -> bool {
        *self == Self::First
    }
}
