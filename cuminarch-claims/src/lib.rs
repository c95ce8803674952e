//! Binds clients' idempotency keys to processes, in the object store of the platform.
//!
//! [`run_claim`] executes the steps of a [`Claim`](cuminarch_once::Claim) on an object store. It
//! blocks during the calls to the store, so it must run on a thread that may block.
//!
//! ```
//! use cuminarch_claims::run_claim;
//! use cuminarch_once::{Claim, ClaimOutcome, ClaimSettings};
//! use cuminarch_testing::MemoryStore;
//!
//! let store = MemoryStore::new();
//! let bound_key = "ck1:kasse-1:7:0:1".parse()?;
//! let claim = Claim::new(ClaimSettings::new(), "order-7".parse()?, bound_key, 1_790_000_000);
//! let service = "kasse".parse()?;
//! assert_eq!(run_claim(&store, &service, claim), ClaimOutcome::Granted);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod run;

pub use run::{claim_path, run_claim};
