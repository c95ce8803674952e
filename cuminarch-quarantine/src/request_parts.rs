use cuminarch_types::{RequestDigest, RequestIdentity, RequestVariant, ServiceName};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3;

/// Parts of a request from which its identity is computed.
///
/// The digest is resistant to collisions, so that no client account can construct a request that
/// is taken for one of another account.
#[derive(Clone, Debug)]
pub struct RequestParts<'a> {
    service: &'a ServiceName,
    method: &'a str,
    target: &'a str,
    host: &'a [u8],
    account: Option<&'a [u8]>,
    body: &'a [u8],
    body_len_bytes: Option<u64>,
    fields: Vec<(&'a str, &'a [u8])>,
}

impl<'a> RequestParts<'a> {
    /// Length of the beginning of a body that is included. All nodes on the path of a request have
    /// that much of it before the request runs.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;

    /// Creates the parts of a request to a service, without host, account, body and fields.
    #[must_use]
    pub const fn new(service: &'a ServiceName, method: &'a str, target: &'a str) -> Self {
        Self {
            service,
            method,
            target,
            host: b"",
            account: None,
            body: b"",
            body_len_bytes: None,
            fields: Vec::new(),
        }
    }

    /// Sets the host that the request names.
    #[must_use]
    pub const fn with_host(mut self, host: &'a [u8]) -> Self {
        self.host = host;
        self
    }

    /// Sets the client account that sent the request.
    #[must_use]
    pub const fn with_account(mut self, account: Option<&'a [u8]>) -> Self {
        self.account = account;
        self
    }

    /// Sets the body, or its beginning, and the stated length of the whole body in bytes.
    #[must_use]
    pub fn with_body(mut self, body: &'a [u8], len_bytes: Option<u64>) -> Self {
        self.body = &body[..body.len().min(Self::MAX_BODY_BYTES)];
        self.body_len_bytes = len_bytes;
        self
    }

    /// Adds a header field that is the same in each attempt of the request.
    #[must_use]
    pub fn with_field(mut self, name: &'a str, value: &'a [u8]) -> Self {
        self.fields.push((name, value));
        self
    }

    /// Returns the identity of the request.
    #[must_use]
    pub fn identity(&self) -> RequestIdentity {
        RequestIdentity { request: self.request(), variant: self.variant() }
    }

    fn request(&self) -> RequestDigest {
        let mut hasher = Sha256::new();
        let texts = [self.service.as_str(), self.method, self.target];
        texts.iter().for_each(|text| update(&mut hasher, text.as_bytes()));
        update(&mut hasher, self.host);
        hasher.update([u8::from(self.account.is_some())]);
        update(&mut hasher, self.account.unwrap_or_default());
        update(&mut hasher, self.body);
        hasher.update(self.body_len_bytes.unwrap_or_default().to_le_bytes());
        let digest = hasher.finalize();
        RequestDigest::new(u128::from_le_bytes(std::array::from_fn(|index| digest[index])))
    }

    /// A caller who wants the variant of another one can send its header fields, so that collisions
    /// matter less than the time of each call.
    fn variant(&self) -> RequestVariant {
        let mut hasher = Xxh3::new();
        for part in self.fields.iter().flat_map(|(name, value)| [name.as_bytes(), value]) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        RequestVariant::new(hasher.digest())
    }
}

/// Adds a part with its length, so that different parts never result in the same bytes.
fn update(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}
