//! Header fields of the callers' interface, and the rules of an HTTP intermediary.

use std::time::Duration;

use cuminarch_engine::RequestKey;
use cuminarch_once::BoundKey;
use cuminarch_protocol::HeaderField;
use cuminarch_types::{CallId, RequestId, ResendNumber, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Service that a call is for.
pub const SERVICE: &str = "cuminarch-service";
/// Id of the member's request; an upstream repeats it on the calls it makes.
pub const REQUEST: &str = "cuminarch-request";
/// Time left in milliseconds.
pub const REMAINING_MS: &str = "cuminarch-remaining-ms";
/// Which send of the request by its client this is.
pub const SEND: &str = "cuminarch-send";
/// Idempotency key.
pub const KEY: &str = "idempotency-key";
/// What is known of the execution of the request.
pub const OUTCOME: &str = "cuminarch-outcome";
/// Why there is no answer of the upstream.
pub const REASON: &str = "cuminarch-reason";
/// Process that the request's key is bound to.
pub const BOUND_KEY: &str = "cuminarch-bound-key";

/// What the node adds to the `Via` field of requests.
pub const VIA_VALUE: &str = "1.1 cuminarch";

const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What a caller says about a request, besides the request itself.
#[derive(Debug)]
pub struct CallerHeaders {
    pub service: Option<ServiceName>,
    pub root: Option<RequestId>,
    pub parent: Option<CallId>,
    pub remaining: Option<Duration>,
    pub resend: Option<ResendNumber>,
    pub key: Option<RequestKey>,
}

impl CallerHeaders {
    /// Reads the fields; on failure names the field that is malformed.
    pub fn parse(headers: &HeaderMap) -> Result<Self, &'static str> {
        let (root, parent) = match text(headers, REQUEST)? {
            Some(value) => parse_request(value)?,
            None => (None, None),
        };
        let remaining_ms = parsed::<u64>(headers, REMAINING_MS)?;
        let key = match text(headers, KEY)? {
            Some(value) => Some(parse_key(value)?),
            None => None,
        };
        Ok(Self {
            service: parsed(headers, SERVICE)?,
            root,
            parent,
            remaining: remaining_ms.map(Duration::from_millis),
            resend: parsed(headers, SEND)?,
            key,
        })
    }
}

/// Text of the request field that an upstream gets with a call.
pub fn request_value(root: RequestId, call: CallId) -> String {
    format!("{root}-{call}")
}

fn parse_request(value: &str) -> Result<(Option<RequestId>, Option<CallId>), &'static str> {
    let (root, parent) = match value.split_once('-') {
        Some((root, parent)) => (root, Some(parent.parse().map_err(|_| REQUEST)?)),
        None => (value, None),
    };
    Ok((Some(root.parse().map_err(|_| REQUEST)?), parent))
}

/// Reads an idempotency key.
pub fn parse_key(value: &str) -> Result<RequestKey, &'static str> {
    if BoundKey::is_bound(value) {
        return value.parse().map(RequestKey::Bound).map_err(|_| KEY);
    }
    value.trim_matches('"').parse().map(RequestKey::Client).map_err(|_| KEY)
}

/// Writes an idempotency key.
pub fn key_text(key: &RequestKey) -> String {
    match key {
        RequestKey::Bound(key) => key.to_string(),
        RequestKey::Client(key) => key.to_string(),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, &'static str> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| name)
}

fn parsed<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, &'static str> {
    let Some(value) = text(headers, name)? else { return Ok(None) };
    value.parse().map(Some).map_err(|_| name)
}

/// Fields to pass on: all but hop-by-hop ones, those that `Connection` names,
/// and those of the callers' interface.
pub fn end_to_end(headers: &HeaderMap) -> Vec<HeaderField> {
    let named = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|option| option == name.as_str()))
        .filter(|(name, _)| !name.as_str().starts_with("cuminarch-"))
        .filter(|(name, _)| name.as_str() != "content-length")
        .map(|(name, value)| HeaderField::new(name.as_str(), value.as_bytes()))
        .collect()
}

/// Length of a body that is not sent in chunks.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(http::header::TRANSFER_ENCODING) {
        return None;
    }
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// Turns fields of the inner protocol into HTTP ones; malformed ones are dropped.
pub fn to_header_map(fields: &[HeaderField]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

#[cfg(test)]
mod tests;
