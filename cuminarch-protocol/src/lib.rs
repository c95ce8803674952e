//! Messages between cuminarch processes, and their encoding.
//!
//! There are two kinds of links. A data link carries one call at a time from the entry node to the
//! serving node. A control link carries membership and configuration. Both run over WebSocket;
//! every message is one binary frame. Control messages and the heads of calls are CBOR; body bytes
//! are sent unencoded. [`FrameLimit`] limits the length of every frame.
//!
//! ```
//! use cuminarch_protocol::{CallFrame, FrameLimit};
//!
//! let frame = CallFrame::BodyEnd;
//! let bytes = frame.encode()?;
//! assert_eq!(CallFrame::decode(&bytes, FrameLimit::DATA)?, frame);
//! # Ok::<(), cuminarch_protocol::ProtocolError>(())
//! ```

mod allotment;
mod byte_string;
mod call;
mod codec;
mod control;
mod error;
mod limit;
mod member;
mod send_kind;
mod suspicion;
mod upstream_signals;

pub use allotment::{AllotmentAsk, AllotmentDatagram, AllotmentGrant, AllotmentMessage};
pub use call::{
    AnswerFrame, AnswerHead, CallFrame, CallHead, CapacityReport, DESTINATION_FEATURE, HeaderField,
    LoadReport, PressureReport, Receipt, RefusalHead, RoutedCall,
};
pub use control::{
    ConfigPatch, ConfigSnapshot, ControlMessage, Coverage, Heartbeat, Hello, LastSeenReport,
};
pub use error::ProtocolError;
pub use limit::{FrameLimit, PROTOCOL_VERSION};
pub use member::{Member, MemberState, UpstreamRecord, UpstreamState};
pub use send_kind::SendKind;
pub use suspicion::{Suspicion, SuspicionDatagram, SuspicionMessage, SuspicionScope};
pub use upstream_signals::{UpstreamLifetime, UpstreamSignals};
