use serde::{Deserialize, Serialize};

/// Kind of a send of a call, as seen by the called service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SendKind {
    /// The first send.
    #[default]
    #[serde(rename = "f")]
    First,
    /// A further send; no earlier one reached an upstream.
    #[serde(rename = "e")]
    Elsewhere,
    /// A further send; an earlier one reached an upstream, or may have.
    #[serde(rename = "r")]
    Retry,
}

impl SendKind {
    // `skip_serializing_if` passes a reference.
    #[allow(clippy::trivially_copy_pass_by_ref)]
    pub(crate) fn is_first(&self) -> bool {
        *self == Self::First
    }
}
