use std::time::Duration;

use cuminarch_types::{EndpointId, RequestDigest};

/// How to treat a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing is held against it.
    Unsuspected,
    /// It may have crashed an endpoint: one endpoint runs it, and no other suspected request beside
    /// it.
    Suspected,
    /// It has crashed several endpoints.
    Refused {
        /// Time after which one endpoint runs it once more.
        retry_after: Duration,
        /// Number of endpoints that it crashed.
        crashes: u32,
        /// Time since the last of them ended.
        age: Duration,
        /// The node that reported it, unless this one found it.
        source: Option<EndpointId>,
    },
}

/// What the end of an endpoint shows about the requests that it was running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashFinding {
    /// Number of requests that are suspected because of it.
    pub suspected: usize,
    /// The request to blame, if there is only one.
    pub convicted: Option<RequestDigest>,
    /// Number of ends that the convicted request is suspected of.
    pub crashes: u32,
}
