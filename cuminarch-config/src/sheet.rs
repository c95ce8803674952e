//! The sheet as operators write it.

use compact_str::CompactString;
use cuminarch_types::{Attempts, ClassName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::SheetError;

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
    /// Classes, the first refused first.
    pub classes: Vec<ClassEntry>,
    /// Rules, the first that matches applies.
    #[serde(default)]
    pub rules: Vec<RuleEntry>,
    /// Class of requests that no rule covers.
    pub default_class: ClassName,
}

const fn default_retry_percent() -> u32 {
    10
}

impl Sheet {
    /// Reads a sheet from YAML.
    ///
    /// # Errors
    ///
    /// Fails with position and cause when the text has another shape.
    pub fn parse(text: &str) -> Result<Self, SheetError> {
        serde_saphyr::from_str(text).map_err(|error| SheetError::Syntax(error.to_string()))
    }
}
