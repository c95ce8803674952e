//! Handshake, close code and WebSocket configuration of data links.

use std::net::SocketAddr;

use compact_str::CompactString;
use cuminarch_protocol::{DESTINATION_FEATURE, FrameLimit, PROTOCOL_VERSION};
use cuminarch_types::RatePerSecond;
use http::{HeaderMap, HeaderValue, Response, StatusCode, Uri};
use log::debug;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request as OpenRequest, Response as OpenResponse,
};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

use crate::event::NodeEvent;

/// Close code of a node that has answered every call it started on the link. A peer that still
/// waits for an answer knows that its call has not run.
pub const CLOSED_BETWEEN_CALLS: CloseCode = CloseCode::Away;

/// Query parameter with the rate limit of the peer's upstream; ignored by nodes that do not know it.
const RATE_LIMIT_PARAMETER: &str = "rate_limit";

/// Query parameter and answer field with the feature that a node knows beyond the protocol version;
/// ignored by nodes that do not know it.
const FEATURE_PARAMETER: &str = "feature";
const FEATURE_FIELD: &str = "cuminarch-feature";

/// Fleet and protocol version of a data link, which must match at both ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkHello {
    fleet: CompactString,
}

impl LinkHello {
    /// Creates the hello of a node of this fleet.
    pub const fn new(fleet: CompactString) -> Self {
        Self { fleet }
    }

    /// Returns the URL that opens a link to the node at `address`. A node that has just started
    /// learns from it the rate limit that its upstream stated before.
    pub fn url(&self, address: SocketAddr, rate_limit: Option<RatePerSecond>) -> String {
        let fleet = &self.fleet;
        let rate_limit = rate_limit.map(|limit| format!("&{RATE_LIMIT_PARAMETER}={}", limit.get()));
        let rate_limit = rate_limit.unwrap_or_default();
        let feature = format!("&{FEATURE_PARAMETER}={DESTINATION_FEATURE}");
        format!(
            "ws://{address}/data?fleet={fleet}&protocol={PROTOCOL_VERSION}{rate_limit}{feature}"
        )
    }

    fn matches(&self, uri: &Uri) -> bool {
        let version = query_value(uri, "protocol").and_then(|text| text.parse().ok());
        query_value(uri, "fleet") == Some(&*self.fleet) && version == Some(PROTOCOL_VERSION)
    }
}

/// Returns the rate limit of the local upstream that the peer knows of, if any.
pub fn known_rate_limit(uri: &Uri) -> Option<RatePerSecond> {
    let parsed = query_value(uri, RATE_LIMIT_PARAMETER)?.parse();
    parsed.inspect_err(|error| debug!("{} data link: {error}", NodeEvent::ConnectionFault)).ok()
}

/// Returns `true` if the node that opens a link knows which calls are meant for whom.
pub fn opener_knows_destinations(uri: &Uri) -> bool {
    query_value(uri, FEATURE_PARAMETER) == Some(DESTINATION_FEATURE)
}

/// Returns `true` if the node that accepted a link knows which calls are meant for whom.
pub fn acceptor_knows_destinations(fields: &HeaderMap) -> bool {
    fields.get(FEATURE_FIELD).is_some_and(|value| value == DESTINATION_FEATURE)
}

fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri.query().unwrap_or_default().split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Callback for LinkHello {
    #[allow(clippy::result_large_err, reason = "the library wants this type")]
    fn on_request(
        self,
        request: &OpenRequest,
        mut response: OpenResponse,
    ) -> Result<OpenResponse, ErrorResponse> {
        if self.matches(request.uri()) {
            let feature = HeaderValue::from_static(DESTINATION_FEATURE);
            response.headers_mut().insert(FEATURE_FIELD, feature);
            return Ok(response);
        }
        let text = format!("this is fleet {} with protocol {PROTOCOL_VERSION}\n", self.fleet);
        let mut refusal = Response::new(Some(text));
        *refusal.status_mut() = StatusCode::FORBIDDEN;
        Err(refusal)
    }
}

/// Returns the WebSocket limits of data links.
pub fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FrameLimit::DATA.as_bytes()))
        .max_frame_size(Some(FrameLimit::DATA.as_bytes()))
        .read_buffer_size(16 * 1024)
        .write_buffer_size(16 * 1024)
        .max_write_buffer_size(1024 * 1024)
}
