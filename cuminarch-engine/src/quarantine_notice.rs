use std::fmt;
use std::time::Duration;

use cuminarch_types::{InstanceId, RequestDigest};

/// A decision about requests that crash endpoints, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineNotice {
    /// The process of the local upstream ended.
    UpstreamEnded {
        /// The instance that ended, if it has registered.
        instance: Option<InstanceId>,
        /// Requests that it was running, with the age of their runs; the latest first.
        runs: Vec<(RequestDigest, Duration)>,
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
        }
    }
}
