//! Runs a non-idempotent request at most once.
//!
//! A key is bound to one incarnation of one endpoint. Only that process may run the request, and it
//! remembers every key until the key expires, so no consensus is needed. A key bound to a process
//! that no longer exists yields the outcome unknown, never a second run. A key chosen by a client
//! is bound to a process by a [`Claim`] on the platform.
//!
//! ```
//! use cuminarch_once::{KeyDecision, KeyTable, KeyTableSettings, RequestFingerprint};
//! use cuminarch_types::{CallId, Incarnation, MonoTime};
//!
//! let settings = KeyTableSettings::new();
//! let mut table = KeyTable::new(settings, "kasse-1".parse()?, Incarnation::new(7));
//! let key = table.mint(MonoTime::ZERO);
//! let order = RequestFingerprint::new("POST", "/orders", None);
//! let now = MonoTime::ZERO;
//! assert_eq!(table.begin(&key, order, CallId::new(1), now), KeyDecision::Run);
//! assert_eq!(table.begin(&key, order, CallId::new(2), now), KeyDecision::InProgress);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod bound_key;
mod claim;
mod claim_shard;
mod fingerprint;
mod key_table;
mod stored_answer;

pub use bound_key::BoundKey;
pub use claim::{Claim, ClaimOutcome, ClaimReply, ClaimStep, ShardState};
pub use claim_shard::{ClaimEntry, ClaimSettings, ClaimShard, ClaimShardId};
pub use fingerprint::RequestFingerprint;
pub use key_table::{KeyDecision, KeyResult, KeyTable, KeyTableSettings};
pub use stored_answer::StoredAnswer;
