use std::sync::Arc;
use std::time::Duration;

use cuminarch_membership::PlatformReply;
use cuminarch_platform::ObjectStore;

use crate::interface::{CallerInterface, NativeInterface};

/// How nodes find each other and spread the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlPlaneKind {
    /// By relays of each zone that speak for it and watch its members.
    Relays,
    /// By one object a node in the store, and gossip.
    Roster,
}

/// Parts of a node that can be exchanged.
pub struct NodeParts {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) interface: Arc<dyn CallerInterface>,
    pub(crate) kind: ControlPlaneKind,
    pub(crate) watch_timeout: Duration,
    pub(crate) initial_members: Option<PlatformReply>,
}

impl NodeParts {
    /// Time for which a watch on the store waits; a call each half minute.
    const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

    /// The usual parts around a store.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self {
            store,
            interface: Arc::new(NativeInterface),
            kind: ControlPlaneKind::Relays,
            watch_timeout: Self::WATCH_TIMEOUT,
            initial_members: None,
        }
    }

    /// Sets what callers and the own upstream speak.
    #[must_use]
    pub fn with_interface(mut self, interface: Arc<dyn CallerInterface>) -> Self {
        self.interface = interface;
        self
    }

    /// Sets how nodes find each other.
    #[must_use]
    pub const fn with_control_plane(mut self, kind: ControlPlaneKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the time for which a watch on the store waits.
    #[must_use]
    pub const fn with_watch_timeout(mut self, watch_time: Duration) -> Self {
        self.watch_timeout = watch_time;
        self
    }

    /// Sets the members that were read from the store before the start.
    #[must_use]
    pub fn with_initial_members(mut self, first_reply: Option<PlatformReply>) -> Self {
        self.initial_members = first_reply;
        self
    }
}
