//! Datagrams between nodes about requests that crash the endpoints that run them.
//!
//! A datagram may be lost, repeated or late: counts only rise, and the higher one wins. The content
//! is encoded as arrays without field names.

use cuminarch_types::{EndpointId, Incarnation, RequestDigest, RequestVariant};
use serde::{Deserialize, Serialize};

use crate::ProtocolError;
use crate::codec::{decode, encode_tagged, split_tag};
use crate::limit::FrameLimit;

const TAG_ENTRIES: u8 = 3;
const TAG_SUMMARY: u8 = 4;

/// What an entry about a request says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum SuspicionScope {
    /// The request was running when endpoints ended, perhaps beside the one to blame.
    Suspected,
    /// The request with these header fields crashed endpoints.
    Variant(RequestVariant),
    /// The request crashed endpoints, with any header fields.
    AnyVariant,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "SuspicionFields", into = "SuspicionFields")]
pub struct Suspicion {
    /// The request.
    pub request: RequestDigest,
    /// What the entry says.
    pub scope: SuspicionScope,
    /// Number of endpoints that ended.
    pub crashes: u32,
    /// Value of `crashes` when the request was last answered by an endpoint.
    pub cleared: u32,
    /// Time since the last of them ended, in milliseconds.
    pub age_ms: u64,
}

type SuspicionFields = (RequestDigest, SuspicionScope, u32, u32, u64);

impl From<SuspicionFields> for Suspicion {
    fn from((request, scope, crashes, cleared, age_ms): SuspicionFields) -> Self {
        Self { request, scope, crashes, cleared, age_ms }
    }
}

impl From<Suspicion> for SuspicionFields {
    fn from(entry: Suspicion) -> Self {
        (entry.request, entry.scope, entry.crashes, entry.cleared, entry.age_ms)
    }
}

/// Content of a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SuspicionMessage {
    /// Entries of the sender.
    Entries(Vec<Suspicion>),
    /// Asks for the entries of the receiver if its digest differs.
    Summary {
        /// Digest of all entries of the sender.
        digest: u64,
        /// Whether it answers a summary, and the receiver sends none back.
        is_reply: bool,
    },
}

/// A datagram with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspicionDatagram {
    /// The sender.
    pub from: EndpointId,
    /// Process of the sender.
    pub incarnation: Incarnation,
    /// The content.
    pub message: SuspicionMessage,
}

impl SuspicionDatagram {
    /// Most entries in one datagram; they fit the smallest MTU of IPv6.
    pub const MAX_ENTRIES: usize = 24;

    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, ProtocolError> {
        let sender = (&self.from, self.incarnation);
        match &self.message {
            SuspicionMessage::Entries(entries) => encode_tagged(TAG_ENTRIES, &(sender, entries)),
            SuspicionMessage::Summary { digest, is_reply } => {
                encode_tagged(TAG_SUMMARY, &(sender, (digest, is_reply)))
            }
        }
    }

    /// Returns `true` if the datagram is about requests that crash endpoints.
    #[must_use]
    pub fn has_tag_of(bytes: &[u8]) -> bool {
        matches!(bytes.first(), Some(&TAG_ENTRIES | &TAG_SUMMARY))
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is empty, too long, of an unknown kind or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProtocolError> {
        let (tag, content) = split_tag(bytes, FrameLimit::CONTROL)?;
        let ((from, incarnation), message) = match tag {
            TAG_ENTRIES => {
                let (sender, entries) = decode(content)?;
                (sender, SuspicionMessage::Entries(entries))
            }
            TAG_SUMMARY => {
                let (sender, (digest, is_reply)) = decode(content)?;
                (sender, SuspicionMessage::Summary { digest, is_reply })
            }
            _ => return Err(ProtocolError::UnknownTag { tag }),
        };
        Ok(Self { from, incarnation, message })
    }
}
