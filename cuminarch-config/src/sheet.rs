//! The sheet as operators write it.

use compact_str::CompactString;
use cuminarch_types::{Attempts, ClassName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::decode::decode;
use crate::tree::Node;
use crate::{CallerLimits, Diagnostic, DiagnosticKind, RouteEntry, SheetError};

/// One class of requests; the order of classes in the sheet is the order of refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Name of the class.
    pub name: ClassName,
    /// Attempts granted to one request over the whole chain.
    pub grant_attempts: Attempts,
    /// Time that a request may take from its first node on, in milliseconds.
    pub deadline_ms: u64,
    /// Retries per hundred first attempts towards one service.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Whether the class must come after all unprotected ones in the order of refusal.
    #[serde(default)]
    pub protected: bool,
}

/// Assigns requests to a class; the first rule that matches applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleEntry {
    /// The class.
    pub class: ClassName,
    /// Services that the rule covers; none means all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Methods that the rule covers; none means all.
    #[serde(default)]
    pub methods: Vec<CompactString>,
    /// Path pattern: `*` stands for one segment, a final `**` for any rest.
    pub path: CompactString,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
}

/// The whole sheet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Services that rules may name; none means any.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Classes, the first refused first.
    pub classes: Vec<ClassEntry>,
    /// Rules, the first that matches applies.
    #[serde(default)]
    pub rules: Vec<RuleEntry>,
    /// Class of requests that no rule covers.
    pub default_class: ClassName,
    /// Routes; a sheet without any leaves it to callers to name the service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteEntry>,
    /// Bounds on what callers may send; those of the node's settings if there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

pub(crate) const fn default_retry_percent() -> u32 {
    10
}

fn default_class() -> ClassName {
    ClassName::new("default").expect("a valid name")
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
        }
    }
}

impl Sheet {
    /// Reads a sheet from YAML. Whether its entries fit together is checked by
    /// [`crate::Policy::from_sheet`], and both with places by [`crate::SheetReport`].
    ///
    /// # Errors
    ///
    /// Fails with every entry that has another shape.
    pub fn parse(text: &str) -> Result<Self, SheetError> {
        let root = Node::parse(text).map_err(|fault| SheetError::new(vec![fault]))?;
        let draft = decode(&root);
        if draft.diagnostics.is_empty() {
            Ok(draft.sheet)
        } else {
            Err(SheetError::new(draft.diagnostics))
        }
    }

    /// Writes the sheet as YAML.
    ///
    /// # Errors
    ///
    /// Fails when the serializer does.
    pub fn to_yaml(&self) -> Result<String, SheetError> {
        serde_saphyr::to_string(self).map_err(|error| {
            let reason = error.to_string();
            SheetError::new(vec![Diagnostic::new("", DiagnosticKind::Syntax { reason })])
        })
    }
}
