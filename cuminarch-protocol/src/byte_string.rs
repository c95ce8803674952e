//! Serde representation of bytes as one CBOR byte string instead of a list of numbers.

use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserializer, Serializer};

/// Maximum memory allocated in advance for a length that the sender states.
const MAX_PREALLOCATED_BYTES: usize = 4 * 1024;

pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<u8>, A::Error> {
        let mut bytes =
            Vec::with_capacity(items.size_hint().unwrap_or(0).min(MAX_PREALLOCATED_BYTES));
        while let Some(byte) = items.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}
