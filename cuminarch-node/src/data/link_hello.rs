//! Handshake, close code and WebSocket configuration of data links.

use std::net::SocketAddr;

use compact_str::CompactString;
use cuminarch_protocol::{FrameLimit, PROTOCOL_VERSION};
use http::{Response, StatusCode, Uri};
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request as OpenRequest, Response as OpenResponse,
};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

/// Close code of a node that has answered every call it started on the link. A peer that still
/// waits for an answer knows that its call has not run.
pub const CLOSED_BETWEEN_CALLS: CloseCode = CloseCode::Away;

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

    /// Returns the URL that opens a link.
    pub fn url(&self, address: SocketAddr) -> String {
        format!("ws://{address}/data?fleet={}&protocol={PROTOCOL_VERSION}", self.fleet)
    }

    fn matches(&self, uri: &Uri) -> bool {
        let query = uri.query().unwrap_or_default();
        let find = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let version = find("protocol").and_then(|text| text.parse().ok());
        find("fleet") == Some(&*self.fleet) && version == Some(PROTOCOL_VERSION)
    }
}

impl Callback for LinkHello {
    #[allow(clippy::result_large_err, reason = "the library wants this type")]
    fn on_request(
        self,
        request: &OpenRequest,
        response: OpenResponse,
    ) -> Result<OpenResponse, ErrorResponse> {
        if self.matches(request.uri()) {
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
