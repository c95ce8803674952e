//! The entries of a sheet as operators write them.

use compact_str::CompactString;
use cuminarch_types::{Attempts, ClassName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::confine::confine;
use crate::decode::decode;
use crate::tree::Node;
use crate::{
    AccountEntry, CallerLimits, Diagnostic, DiagnosticKind, RouteEntry, SetAsideEntry, SheetError,
};

/// A class of requests. Classes are refused in the order of the sheet, the first one first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Name of the class.
    pub name: ClassName,
    /// Attempts granted to one request over the whole chain of calls.
    pub grant_attempts: Attempts,
    /// Time limit of a request, measured from its first node, in milliseconds.
    pub deadline_ms: u64,
    /// Retries allowed per hundred first attempts to one service.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Whether the class must be refused after all unprotected ones.
    #[serde(default)]
    pub protected: bool,
}

/// Assigns requests to a class; the first matching rule applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleEntry {
    /// Class of the requests.
    pub class: ClassName,
    /// Services that the rule covers; all if the list is absent, none if it is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<ServiceName>>,
    /// Methods that the rule covers; all if the list is absent, none if it is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub methods: Option<Vec<CompactString>>,
    /// Path pattern: `*` matches one segment, a final `**` any further segments.
    pub path: CompactString,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
}

/// The whole sheet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Services that rules may name; empty means any.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Classes in order of refusal.
    pub classes: Vec<ClassEntry>,
    /// Rules; the first matching one applies.
    #[serde(default)]
    pub rules: Vec<RuleEntry>,
    /// Class of requests that no rule covers.
    pub default_class: ClassName,
    /// Routes; if there are none, callers name the service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteEntry>,
    /// Limits on callers' requests; if absent, those of the node's settings apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Client accounts. Without the list, requests need no key; if it is empty, no key is valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<Vec<AccountEntry>>,
    /// Entries of the operators' configuration that could not be converted; written by adapters.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub set_aside: Vec<SetAsideEntry>,
}

pub(crate) const fn default_retry_percent() -> u32 {
    10
}

fn default_class() -> ClassName {
    ClassName::new("default").expect("`default` is a valid class name")
}

impl Default for ClassEntry {
    fn default() -> Self {
        Self {
            name: default_class(),
            grant_attempts: Attempts::ZERO,
            deadline_ms: 0,
            retry_percent: default_retry_percent(),
            protected: false,
        }
    }
}

impl Default for Sheet {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            classes: Vec::new(),
            rules: Vec::new(),
            default_class: default_class(),
            routes: Vec::new(),
            caller_limits: None,
            accounts: None,
            set_aside: Vec::new(),
        }
    }
}

impl Sheet {
    /// Returns the client accounts; none if the list is absent.
    #[must_use]
    pub fn account_entries(&self) -> &[AccountEntry] {
        self.accounts.as_deref().unwrap_or_default()
    }

    /// Parses a sheet from YAML. [`crate::Policy::from_sheet`] checks that its entries are
    /// consistent; [`crate::SheetReport`] does both and reports positions in the text.
    ///
    /// # Errors
    ///
    /// Fails with a diagnostic for each entry of the wrong structure or type.
    pub fn parse(text: &str) -> Result<Self, SheetError> {
        let root = Node::parse(text).map_err(|diagnostic| SheetError::new(vec![diagnostic]))?;
        let decoded = decode(&root);
        if decoded.diagnostics.is_empty() {
            Ok(decoded.sheet)
        } else {
            Err(SheetError::new(decoded.diagnostics))
        }
    }

    /// Parses and checks an accepted sheet. Routes and accounts that have errors, and what belongs
    /// to them alone, move to [`Sheet::set_aside`].
    ///
    /// # Errors
    ///
    /// Fails with the errors that concern the whole sheet.
    pub fn parse_confined(text: &str) -> Result<Self, SheetError> {
        let root = Node::parse(text).map_err(|diagnostic| SheetError::new(vec![diagnostic]))?;
        confine(decode(&root))
    }

    /// Serializes the sheet to YAML.
    ///
    /// # Errors
    ///
    /// Fails if the serializer fails.
    pub fn to_yaml(&self) -> Result<String, SheetError> {
        serde_saphyr::to_string(self).map_err(|error| {
            let reason = error.to_string();
            SheetError::new(vec![Diagnostic::new("", DiagnosticKind::Syntax { reason })])
        })
    }
}
