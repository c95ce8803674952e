use std::time::Duration;

use cuminarch_protocol::AllotmentMessage;
use cuminarch_types::{CallId, EndpointId};

/// Whether a request of an account may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenDecision {
    /// It may start; its token is spent.
    Granted,
    /// Another node was asked; an [`AllotmentOutput::Decided`] follows soon.
    Waiting,
    /// The account has used up its allotment.
    Exceeded {
        /// Time until a token is free.
        retry_after: Duration,
    },
    /// No holder of the allotment can be reached, so nobody knows whether a token is free.
    Unavailable {
        /// Time after which another attempt makes sense.
        retry_after: Duration,
    },
}

/// What a driver has to do for an [`AllotmentTable`](crate::AllotmentTable).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllotmentOutput {
    /// Decides on a request that was waiting.
    Decided(CallId, TokenDecision),
    /// Sends a message to the node of an endpoint.
    Send(EndpointId, AllotmentMessage),
}
