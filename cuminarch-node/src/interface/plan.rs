use std::net::IpAddr;
use std::sync::Arc;

use cuminarch_config::{Policy, Route};
use cuminarch_engine::Arrival;
use cuminarch_http::RequestHead;
use cuminarch_protocol::HeaderField;
use cuminarch_types::{RequestId, ServiceName, ZoneName};

use super::LocalAnswer;

/// Which side a connection came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// A caller.
    Caller,
    /// The own upstream.
    Upstream,
}

/// A request as it arrived.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// Its head.
    pub head: &'a RequestHead,
    /// The listener that it came by.
    pub side: Side,
    /// Address that the connection came from.
    pub peer: IpAddr,
    /// The policy in force.
    pub policy: &'a Policy,
    /// The service of the own upstream.
    pub own_service: &'a ServiceName,
    /// Zone of the node.
    pub own_zone: &'a ZoneName,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum ParsedRequest {
    /// It is a call.
    Call(Box<CallPlan>),
    /// It asks for an idempotency key.
    MintKey(RequestId),
    /// It is answered at once.
    Answer(LocalAnswer),
}

/// How a request is carried.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// What the engine is told; facts of the body are added later.
    pub arrival: Arrival,
    /// The service that is called, unless the route has several.
    pub service: ServiceName,
    /// The route that it took, if the policy has routes.
    pub route: Option<Arc<Route>>,
    /// Fields that are passed on.
    pub fields: Vec<HeaderField>,
    /// Fields that the node's own answers repeat.
    pub echoed_fields: Vec<HeaderField>,
    /// Whether it may run while earlier requests of its connection still do.
    pub may_run_concurrently: bool,
}
