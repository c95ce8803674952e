//! Allotments of client accounts over all nodes: how many requests of an account may start.
//!
//! The rate and burst of an account are divided into one part for each availability zone. One node
//! of the zone, the holder, keeps the part in a token bucket and hands tokens to the nodes that
//! ask. Tokens are passed on and never copied, so no lost, repeated or late message and no cut
//! between zones lets the sum exceed the allotment. The package does no I/O.
//!
//! ```
//! use std::collections::BTreeMap;
//! use cuminarch_allotment::{AllotmentSettings, AllotmentTable, TokenDecision};
//! use cuminarch_types::{Allotment, CallId, MonoTime, RatePerSecond};
//!
//! let settings = AllotmentSettings::new("e-1".parse()?, "zrh-a".parse()?);
//! let mut table = AllotmentTable::new(settings);
//! let limit = Allotment { rate: RatePerSecond::new(5.0), burst_requests: 5 };
//! table.set_accounts(BTreeMap::from([("quilts".parse()?, limit)]), MonoTime::ZERO);
//! let decision = table.request(&"other".parse()?, CallId::new(1), MonoTime::ZERO);
//! assert_eq!(decision, TokenDecision::Granted);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod account;
mod account_entry;
mod account_holder;
mod bounds;
mod bucket;
mod entry;
mod held_part;
mod hold;
mod meter;
mod output;
mod settings;
mod share;
mod shared;
mod summary;
mod table;
mod usage;

pub use output::{AllotmentOutput, TokenDecision};
pub use settings::AllotmentSettings;
pub use summary::{AccountSummary, PartSummary};
pub use table::AllotmentTable;
pub use usage::AccountUsage;
