use crate::ParseError;
use crate::number::number_type;

number_type!(
    /// Digest that tells one lifetime of an upstream from its others.
    LifetimeDigest,
    u64
);
