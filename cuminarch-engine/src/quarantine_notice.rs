use std::fmt;
use std::time::Duration;

use cuminarch_types::{EndpointId, InstanceId, RequestDigest};

/// A decision about requests that crash endpoints, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineNotice {
    /// The process of the local upstream ended; its runs are suspected.
    UpstreamEnded {
        /// The instance that ended, if it has registered.
        instance: Option<InstanceId>,
        /// Requests that it was running, with the age of their runs; the latest first.
        runs: Vec<(RequestDigest, Duration)>,
    },
    /// A request is to blame for the end of the local upstream and is refused.
    Convicted {
        /// The request.
        request: RequestDigest,
        /// Number of endpoints that ended while they ran it.
        crashes: u32,
    },
    /// The local upstream has answered a suspected request, which is no longer suspected.
    Cleared {
        /// The request.
        request: RequestDigest,
    },
    /// Another node stated something new.
    Received {
        /// The node.
        from: EndpointId,
        /// Number of its statements that were new.
        newer: usize,
        /// Number of requests that are suspected now.
        suspected: usize,
        /// Number of requests that are refused now.
        convicted: usize,
    },
}

impl QuarantineNotice {
    /// Requests that a log line lists at most.
    const MAX_LISTED: usize = 64;
}

impl fmt::Display for QuarantineNotice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UpstreamEnded { instance, runs } => {
                let instance = instance.as_ref().map_or("-", InstanceId::as_str);
                write!(formatter, "instance={instance} runs={} requests=", runs.len())?;
                let mut separator = "";
                for (request, age) in runs.iter().take(Self::MAX_LISTED) {
                    write!(formatter, "{separator}{request}:{}ms", age.as_millis())?;
                    separator = ",";
                }
                Ok(())
            }
            Self::Convicted { request, crashes } => {
                write!(formatter, "digest={request} crashes={crashes}")
            }
            Self::Cleared { request } => write!(formatter, "digest={request}"),
            Self::Received { from, newer, suspected, convicted } => write!(
                formatter,
                "from={from} newer={newer} suspected={suspected} convicted={convicted}"
            ),
        }
    }
}
