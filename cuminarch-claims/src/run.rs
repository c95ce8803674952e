use cuminarch_once::{
    Claim, ClaimOutcome, ClaimReply, ClaimShard, ClaimShardId, ClaimStep, ShardState,
};
use cuminarch_platform::{
    Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError, Precondition,
};
use cuminarch_types::ServiceName;

/// Returns the path of a shard of the claims of a service. Clients choose keys for each service
/// independently, so each service has its own shards.
///
/// # Errors
///
/// Fails if the platform does not allow the path.
pub fn claim_path(service: &ServiceName, shard: ClaimShardId) -> Result<ObjectPath, PlatformError> {
    ObjectPath::new(format!("claims/{service}/{shard}"))
        .map_err(|error| PlatformError::Protocol { reason: error.to_string() })
}

/// Runs a claim to completion: one read and one write without failures, one read if the key is
/// already bound.
pub fn run_claim(store: &dyn ObjectStore, service: &ServiceName, mut claim: Claim) -> ClaimOutcome {
    let Ok(path) = claim_path(service, claim.shard()) else { return ClaimOutcome::Unavailable };
    let mut step = claim.start();
    loop {
        let reply = match step {
            ClaimStep::Read => read(store, &path),
            ClaimStep::Write(state) => write(store, &path, &state),
            ClaimStep::Done(outcome) => return outcome,
        };
        step = claim.next(reply);
    }
}

fn read(store: &dyn ObjectStore, path: &ObjectPath) -> ClaimReply<ObjectVersion> {
    let state = match store.get(path) {
        Ok(Some(object)) => parse_shard(&object),
        Ok(None) => Some(ShardState { version: None, shard: ClaimShard::default() }),
        Err(_) => None,
    };
    state.map_or(ClaimReply::Unavailable, ClaimReply::Read)
}

fn write(
    store: &dyn ObjectStore,
    path: &ObjectPath,
    state: &ShardState<ObjectVersion>,
) -> ClaimReply<ObjectVersion> {
    let Ok(value) = serde_json::to_string(&state.shard) else { return ClaimReply::Unavailable };
    let precondition = state.version.map_or(Precondition::Absent, Precondition::Version);
    match store.put(path, &value, precondition) {
        Ok(_) => ClaimReply::Written,
        Err(PlatformError::Conflict { current, .. }) => {
            ClaimReply::Conflict(current.as_deref().and_then(parse_shard))
        }
        Err(PlatformError::Ambiguous { .. } | PlatformError::Protocol { .. }) => {
            ClaimReply::Ambiguous
        }
        Err(
            PlatformError::Unavailable { .. }
            | PlatformError::RateLimited
            | PlatformError::TooLarge { .. },
        ) => ClaimReply::Unavailable,
    }
}

/// Parses the shard in an object. Returns `None` for an unknown format, which is never
/// overwritten.
fn parse_shard(object: &Object) -> Option<ShardState<ObjectVersion>> {
    let shard = serde_json::from_str(&object.value).ok()?;
    Some(ShardState { version: Some(object.version), shard })
}
