//! Header fields of the caller interface, and the rules for HTTP intermediaries.

use std::time::Duration;

use cuminarch_engine::RequestKey;
use cuminarch_http::find_field;
use cuminarch_once::BoundKey;
use cuminarch_protocol::{HeaderField, UpstreamSignals};
use cuminarch_types::{CallId, ParseError, RequestId, ResendNumber, ServiceName};

/// Service that is called.
pub const SERVICE: &str = "cuminarch-service";
/// Id of the root request; an upstream copies it to the calls it makes.
pub const REQUEST: &str = "cuminarch-request";
/// Time left in milliseconds.
pub const REMAINING_MS: &str = "cuminarch-remaining-ms";
/// Number of the send of the request by its client.
pub const SEND: &str = "cuminarch-send";
/// Idempotency key.
pub const KEY: &str = "idempotency-key";
/// Whether the request ran, as far as is known.
pub const OUTCOME: &str = "cuminarch-outcome";
/// Reason why there is no answer of the upstream.
pub const REASON: &str = "cuminarch-reason";
/// Process to which the request's key is bound.
pub const BOUND_KEY: &str = "cuminarch-bound-key";

/// On an answer of an upstream: requests per second that it accepts from all nodes together.
pub const RATE_LIMIT: &str = "cuminarch-rate-limit";
/// On an answer of an upstream: it is shutting down and expects no new requests.
pub const LEAVING: &str = "cuminarch-leaving";

/// Client account that sent a request; set by the entry node.
pub const ACCOUNT: &str = "cuminarch-account";
/// Key of the client account, after [`KEY_SCHEME`].
pub const AUTHORIZATION: &str = "authorization";
/// Scheme of the field with the key.
pub const KEY_SCHEME: &str = "Bearer";

/// Value that the node adds to the `Via` field of requests.
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

/// Parsed fields of the caller interface.
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
    /// Parses the fields. An error is the name of the malformed field.
    pub fn parse(headers: &[HeaderField]) -> Result<Self, &'static str> {
        let (root, parent) = match field_text(headers, REQUEST)? {
            Some(value) => parse_request_id(value)?,
            None => (None, None),
        };
        let remaining_ms = parse_field::<u64>(headers, REMAINING_MS)?;
        let key = match field_text(headers, KEY)? {
            Some(value) => Some(parse_key(value)?),
            None => None,
        };
        Ok(Self {
            service: parse_field(headers, SERVICE)?,
            root,
            parent,
            remaining: remaining_ms.map(Duration::from_millis),
            resend: parse_field(headers, SEND)?,
            key,
        })
    }
}

/// Returns the value of the request field that an upstream gets with a call.
pub fn format_request_id(root: RequestId, call: CallId) -> String {
    format!("{root}-{call}")
}

fn parse_request_id(value: &str) -> Result<(Option<RequestId>, Option<CallId>), &'static str> {
    let (root, parent) = match value.split_once('-') {
        Some((root, parent)) => (root, Some(parent.parse().map_err(|_| REQUEST)?)),
        None => (value, None),
    };
    Ok((Some(root.parse().map_err(|_| REQUEST)?), parent))
}

/// Parses an idempotency key.
pub fn parse_key(value: &str) -> Result<RequestKey, &'static str> {
    if BoundKey::is_bound(value) {
        return value.parse().map(RequestKey::Bound).map_err(|_| KEY);
    }
    value.trim_matches('"').parse().map(RequestKey::Client).map_err(|_| KEY)
}

/// Formats an idempotency key.
pub fn format_key(key: &RequestKey) -> String {
    match key {
        RequestKey::Bound(key) => key.to_string(),
        RequestKey::Client(key) => key.to_string(),
    }
}

fn field_text<'a>(
    headers: &'a [HeaderField],
    name: &'static str,
) -> Result<Option<&'a str>, &'static str> {
    let Some(value) = find_field(headers, name) else { return Ok(None) };
    let is_visible = value.iter().all(|byte| (b' '..=b'~').contains(byte));
    let text = std::str::from_utf8(value).ok().filter(|_| is_visible);
    text.map(Some).ok_or(name)
}

fn parse_field<T: std::str::FromStr>(
    headers: &[HeaderField],
    name: &'static str,
) -> Result<Option<T>, &'static str> {
    let Some(value) = field_text(headers, name)? else { return Ok(None) };
    value.parse().map(Some).map_err(|_| name)
}

/// Returns `true` if a field belongs to the caller interface.
pub fn is_interface_field(name: &str) -> bool {
    name.starts_with("cuminarch-")
}

/// Returns `true` if an upstream states something about itself in the field.
pub fn is_upstream_signal(name: &str) -> bool {
    [RATE_LIMIT, LEAVING].contains(&name)
}

/// Returns the fields to forward: all but hop-by-hop fields, those that `Connection` names, and
/// `content-length`, which is set again.
#[must_use]
pub fn end_to_end_fields(fields: &[HeaderField]) -> Vec<HeaderField> {
    let named = connection_options(fields);
    fields
        .iter()
        .filter(|field| !HOP_BY_HOP.contains(&field.name.as_str()))
        .filter(|field| !named.iter().any(|option| *option == field.name))
        .filter(|field| field.name != "content-length")
        .cloned()
        .collect()
}

fn connection_options(fields: &[HeaderField]) -> Vec<String> {
    fields
        .iter()
        .filter(|field| field.name == "connection")
        .flat_map(|field| field.value.split(|byte| *byte == b','))
        .map(|option| String::from_utf8_lossy(option.trim_ascii()).to_ascii_lowercase())
        .collect()
}

#[cfg(test)]
mod tests;

/// Parses the signals of an answer from the field with the rate limit and the one that is `1` while
/// the upstream is leaving.
///
/// # Errors
///
/// Returns an error if the limit is not a number.
pub fn parse_upstream_signals(
    fields: &[HeaderField],
    rate_limit: &str,
    leaving: &str,
) -> Result<UpstreamSignals, ParseError> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    let rate_limit = find_field(fields, rate_limit).map(|value| text(value).parse()).transpose()?;
    let is_leaving = find_field(fields, leaving).is_some_and(|value| text(value) == "1");
    Ok(UpstreamSignals { rate_limit, is_leaving })
}
