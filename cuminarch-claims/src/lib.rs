//! Binds clients' idempotency keys to processes on the platform.
//!
//! [`run_claim`] carries out the decisions of a
//! [`Claim`](cuminarch_once::Claim) on an object store. It blocks for as long
//! as the store's calls do, so it belongs on a thread that may wait.
//!
//! ```
//! use cuminarch_claims::run_claim;
//! use cuminarch_once::{Claim, ClaimOutcome, ClaimSettings};
//! use cuminarch_testing::MemoryStore;
//!
//! let store = MemoryStore::new();
//! let mine = "ck1:kasse-1:7:0:1".parse()?;
//! let claim = Claim::new(ClaimSettings::new(), "order-7".parse()?, mine, 1_790_000_000);
//! let service = "kasse".parse()?;
//! assert_eq!(run_claim(&store, &service, claim), ClaimOutcome::Granted);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod run;

pub use run::{claim_path, run_claim};
