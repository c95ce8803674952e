//! The operators' configuration sheet and the policy compiled from it.
//!
//! A [`Sheet`] is written in YAML. [`Policy::from_sheet`] checks it and compiles it;
//! [`Policy::rule`] returns the [`Rule`] of a request.
//!
//! ```
//! use cuminarch_config::{Policy, Sheet};
//! use cuminarch_types::Revision;
//!
//! let sheet = Sheet::parse(
//!     "classes:
//!   - name: browse
//!     grant_attempts: 8
//!     deadline_ms: 2000
//!   - name: approval
//!     grant_attempts: 32
//!     deadline_ms: 10000
//!     protected: true
//! rules:
//!   - class: approval
//!     methods: [POST]
//!     path: /approvals/**
//!     idempotent: false
//! default_class: browse
//! ",
//! )?;
//! let policy = Policy::from_sheet(Revision::new(1), &sheet)?;
//! let rule = policy.rule(&"auftrag".parse()?, "POST", "/approvals/7");
//! assert!(!rule.idempotent);
//! assert!(rule.priority > policy.rule(&"auftrag".parse()?, "GET", "/").priority);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod account_entry;
mod accounts;
mod check;
mod check_accounts;
mod class_order;
mod confine;
mod credential;
mod decode;
mod diagnostic;
mod document;
mod error;
mod gate;
mod index;
mod pattern;
mod policy;
mod report;
mod route;
mod route_entry;
mod set_aside;
mod sheet;
mod space;
mod tree;
mod weakening;

pub use account_entry::AccountEntry;
pub use accounts::{Account, AccountClass, AccountIndex, HeldKey};
pub use credential::CredentialDigest;
pub use diagnostic::{Diagnostic, DiagnosticKind, Position, Severity};
pub use document::{ConfigDocument, ZoneStatus};
pub use error::SheetError;
pub use gate::{ConfigGate, GateDecision};
pub use policy::{Policy, Rule};
pub use report::SheetReport;
pub use route::{Route, RouteTable};
pub use route_entry::{CallerLimits, DestinationEntry, RouteEntry};
pub use set_aside::SetAsideEntry;
pub use sheet::{ClassEntry, RuleEntry, Sheet};
pub use weakening::{Weakening, WeakeningKind};
