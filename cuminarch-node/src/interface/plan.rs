use std::net::IpAddr;
use std::sync::Arc;

use cuminarch_config::{Policy, Route};
use cuminarch_engine::Arrival;
use cuminarch_http::RequestHead;
use cuminarch_protocol::HeaderField;
use cuminarch_types::{RequestId, RouteName, ServiceName, ZoneName};

use super::{CredentialFault, LocalAnswer};

/// Origin of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// A caller.
    Caller,
    /// The own upstream.
    Upstream,
}

/// A received request.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Its head.
    pub head: &'a RequestHead,
    /// Origin of its connection.
    pub side: Side,
    /// Address of the peer of the connection.
    pub peer: IpAddr,
    /// The policy in force.
    pub policy: &'a Policy,
    /// Service of the own upstream.
    pub own_service: &'a ServiceName,
    /// Zone of the node.
    pub own_zone: &'a ZoneName,
}

/// How a request is handled.
#[derive(Debug)]
pub enum ParsedRequest {
    /// It is a call.
    Call(Box<CallPlan>),
    /// It requests an idempotency key.
    MintKey(RequestId),
    /// It is answered immediately.
    Answer(LocalAnswer),
    /// It has no valid key of a client account.
    Unauthorized {
        /// The answer.
        answer: LocalAnswer,
        /// Name of its route, if the policy has routes.
        route: Option<RouteName>,
        /// What is wrong with its key.
        fault: CredentialFault,
    },
}

/// How a call is forwarded.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Arrival event for the engine; properties of the body are added later.
    pub arrival: Arrival,
    /// Service that is called, unless the route has several.
    pub service: ServiceName,
    /// Route of the call, if the policy has routes.
    pub route: Option<Arc<Route>>,
    /// Fields to forward.
    pub fields: Vec<HeaderField>,
    /// Fields that the node copies to its own answers.
    pub echoed_fields: Vec<HeaderField>,
    /// Whether it may run while earlier requests of its connection are still running.
    pub may_run_concurrently: bool,
}
