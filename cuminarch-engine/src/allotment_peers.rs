use std::collections::BTreeMap;
use std::net::SocketAddr;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation, ZoneName};

/// A node that takes part in the division of allotments.
#[derive(Clone, Debug)]
pub struct AllotmentPeer {
    pub zone: ZoneName,
    pub control_address: SocketAddr,
    pub incarnation: Incarnation,
    /// False once it left or was declared gone; being unreachable does not end its membership.
    pub is_member: bool,
    statement: (u32, MemberState),
}

impl AllotmentPeer {
    fn new(member: &Member) -> Self {
        Self {
            zone: member.zone.clone(),
            control_address: member.control_address,
            incarnation: member.incarnation,
            is_member: member.state != MemberState::Gone,
            statement: (member.statement, member.state),
        }
    }

    fn is_superseded_by(&self, member: &Member) -> bool {
        let (statement, state) = self.statement;
        member.precedence() > (self.incarnation, statement, state)
    }
}

/// Latest statement about each node, independent of the service of its endpoint.
#[derive(Clone, Debug, Default)]
pub struct AllotmentPeers {
    peers: BTreeMap<EndpointId, AllotmentPeer>,
}

impl AllotmentPeers {
    /// Returns the state of a node.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&AllotmentPeer> {
        self.peers.get(endpoint)
    }

    /// Returns `true` if a datagram from this address was sent by the member that it names, and not
    /// by an earlier process of it.
    pub fn is_sender(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        source: SocketAddr,
    ) -> bool {
        self.peers.get(endpoint).is_some_and(|peer| {
            peer.is_member && peer.control_address == source && peer.incarnation <= incarnation
        })
    }

    /// Applies a statement unless a later one is known. Returns the previous and the new state of
    /// the node if the statement was applied.
    pub fn apply(&mut self, member: &Member) -> Option<(Option<AllotmentPeer>, AllotmentPeer)> {
        let known = self.peers.get(&member.endpoint);
        if known.is_some_and(|known| !known.is_superseded_by(member)) {
            return None;
        }
        let peer = AllotmentPeer::new(member);
        let previous = self.peers.insert(member.endpoint.clone(), peer.clone());
        Some((previous, peer))
    }
}
