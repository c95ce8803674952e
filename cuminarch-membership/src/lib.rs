//! Knows which endpoints the fleet has and what state each is in.
//!
//! ```
//! use cuminarch_membership::MemberTable;
//!
//! let table = MemberTable::new();
//! assert_eq!(table.iter().count(), 0);
//! ```

mod table;

pub use table::MemberTable;
