use std::sync::Arc;
use std::time::Duration;

use cuminarch_membership::PlatformReply;
use cuminarch_platform::ObjectStore;

use crate::interface::{CallerInterface, NativeInterface};

/// How nodes discover each other and distribute the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlPlaneKind {
    /// Relays of each zone represent it towards other zones and watch its members.
    Relays,
    /// Each node has one object in the store, and the nodes gossip.
    Roster,
}

/// Replaceable components of a node.
pub struct NodeParts {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) interface: Arc<dyn CallerInterface>,
    pub(crate) kind: ControlPlaneKind,
    pub(crate) watch_timeout: Duration,
    pub(crate) initial_members: Option<PlatformReply>,
}

impl NodeParts {
    /// Time that a watch on the store waits; an idle watch makes one call every 30 seconds.
    const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

    /// Creates the default components for a store.
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

    /// Sets the interface towards callers and the own upstream.
    #[must_use]
    pub fn with_interface(mut self, interface: Arc<dyn CallerInterface>) -> Self {
        self.interface = interface;
        self
    }

    /// Sets how nodes discover each other.
    #[must_use]
    pub const fn with_control_plane(mut self, kind: ControlPlaneKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the time that a watch on the store waits.
    #[must_use]
    pub const fn with_watch_timeout(mut self, watch_timeout: Duration) -> Self {
        self.watch_timeout = watch_timeout;
        self
    }

    /// Sets the members that were read from the store before the start.
    #[must_use]
    pub fn with_initial_members(mut self, initial_members: Option<PlatformReply>) -> Self {
        self.initial_members = initial_members;
        self
    }
}
