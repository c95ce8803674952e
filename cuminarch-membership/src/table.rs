use std::collections::BTreeMap;

use cuminarch_protocol::Member;
use cuminarch_types::EndpointId;

/// The latest statement about each member.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<EndpointId, Member>,
}

impl MemberTable {
    /// An empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self { members: BTreeMap::new() }
    }

    /// Takes in a statement. Returns whether it was newer than what was held.
    pub fn merge(&mut self, member: &Member) -> bool {
        let is_newer = self.members.get(&member.endpoint).is_none_or(|held| member.replaces(held));
        if is_newer {
            self.members.insert(member.endpoint.clone(), member.clone());
        }
        is_newer
    }

    /// What is held of one endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// All statements in order of endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
