//! Decodes the tree of a sheet into typed entries and reports every structural error.

use std::collections::BTreeMap;
use std::str::FromStr;

use compact_str::CompactString;
use cuminarch_types::{Attempts, ClassName, RatePerSecond};

use crate::sheet::{ClassEntry, RuleEntry, Sheet, default_retry_percent};
use crate::tree::{Entry, Node, Value};
use crate::{
    AccountEntry, CallerLimits, DestinationEntry, Diagnostic, DiagnosticKind, Position, RouteEntry,
    SetAsideEntry,
};

const SHEET_KEYS: &[&str] = &[
    "services",
    "classes",
    "rules",
    "default_class",
    "routes",
    "caller_limits",
    "accounts",
    "set_aside",
];
const CLASS_KEYS: &[&str] =
    &["name", "grant_attempts", "deadline_ms", "retry_percent", "protected"];
const RULE_KEYS: &[&str] = &["class", "services", "methods", "path", "idempotent"];
const ROUTE_KEYS: &[&str] = &[
    "name",
    "host",
    "prefix",
    "class",
    "destinations",
    "idempotent",
    "deadline_ms",
    "objective_ms",
    "max_endpoints",
    "public",
];
const ACCOUNT_KEYS: &[&str] = &["name", "keys", "class", "rate_per_s", "burst_requests"];
const SET_ASIDE_KEYS: &[&str] = &["entry", "reason", "host", "prefix", "keys", "is_account"];
const DESTINATION_KEYS: &[&str] = &["service", "weight"];
const LIMIT_KEYS: &[&str] =
    &["max_head_bytes", "max_body_bytes", "head_timeout_ms", "idle_timeout_ms"];

/// A sheet decoded from a tree, completely or in part.
#[derive(Debug)]
pub(crate) struct DecodedSheet {
    /// Entries that could be decoded.
    pub sheet: Sheet,
    /// Structural errors.
    pub diagnostics: Vec<Diagnostic>,
    /// Position of each path in the text.
    pub positions: BTreeMap<String, Position>,
    /// Indexes, in the text, of the items of each list that could be decoded.
    pub kept: BTreeMap<String, Vec<usize>>,
}

/// Decodes a tree.
pub(crate) fn decode(root: &Node) -> DecodedSheet {
    let mut decoder = Decoder::default();
    let sheet = decoder.sheet(root);
    let Decoder { diagnostics, positions, kept } = decoder;
    DecodedSheet { sheet, diagnostics, positions, kept }
}

#[derive(Default)]
struct Decoder {
    diagnostics: Vec<Diagnostic>,
    positions: BTreeMap<String, Position>,
    kept: BTreeMap<String, Vec<usize>>,
}

/// The entries of a mapping.
struct Fields<'a> {
    path: String,
    position: Position,
    entries: &'a [Entry],
}

impl Decoder {
    fn report(&mut self, path: &str, position: Position, kind: DiagnosticKind) {
        self.diagnostics.push(Diagnostic::new(path, kind).with_position(Some(position)));
    }

    fn report_wrong_type(&mut self, path: &str, node: &Node, expected: &'static str) {
        let kind = DiagnosticKind::WrongType { expected, found: node.value.type_name() };
        self.report(path, node.position, kind);
    }

    fn fields<'a>(&mut self, path: &str, node: &'a Node, known: &[&str]) -> Option<Fields<'a>> {
        self.positions.insert(path.to_owned(), node.position);
        let Value::Map(entries) = &node.value else {
            self.report_wrong_type(path, node, "a mapping");
            return None;
        };
        for entry in entries {
            if !known.contains(&entry.key.as_str()) {
                let expected = known.join(", ");
                let kind = DiagnosticKind::UnknownKey { key: entry.key.clone(), expected };
                self.report(path, entry.position, kind);
            }
        }
        Some(Fields { path: path.to_owned(), position: node.position, entries })
    }

    fn optional<'a>(&mut self, fields: &Fields<'a>, key: &str) -> Option<(String, &'a Node)> {
        let entry = fields.entries.iter().find(|entry| entry.key == key)?;
        let path = join(&fields.path, key);
        self.positions.insert(path.clone(), entry.value.position);
        Some((path, &entry.value))
    }

    fn required<'a>(
        &mut self,
        fields: &Fields<'a>,
        key: &'static str,
    ) -> Option<(String, &'a Node)> {
        let found = self.optional(fields, key);
        if found.is_none() {
            self.report(&fields.path, fields.position, DiagnosticKind::MissingKey { key });
        }
        found
    }

    fn sheet(&mut self, root: &Node) -> Sheet {
        let Some(fields) = self.fields("", root, SHEET_KEYS) else { return Sheet::default() };
        let services = self.list(&fields, "services", Self::name);
        let classes = match self.required(&fields, "classes") {
            Some((path, node)) => self.items(&path, node, Self::class),
            None => Vec::new(),
        };
        let rules = self.list(&fields, "rules", Self::rule);
        let default_class = self.required_name(&fields, "default_class");
        let placeholder = Sheet::default().default_class;
        let default_class = default_class.unwrap_or(placeholder);
        let routes = self.list(&fields, "routes", Self::route);
        let limits = self.optional(&fields, "caller_limits");
        let caller_limits = limits.and_then(|(path, node)| self.caller_limits(&path, node));
        let accounts = self.optional_list(&fields, "accounts", Self::account);
        let set_aside = self.list(&fields, "set_aside", Self::set_aside_entry);
        Sheet {
            services,
            classes,
            rules,
            default_class,
            routes,
            caller_limits,
            accounts,
            set_aside,
        }
    }

    fn set_aside_entry(&mut self, path: &str, node: &Node) -> Option<SetAsideEntry> {
        let fields = self.fields(path, node, SET_ASIDE_KEYS)?;
        let entry = self.required(&fields, "entry");
        let entry = entry.and_then(|(path, node)| self.text(&path, node));
        let reason = self.required(&fields, "reason");
        let reason = reason.and_then(|(path, node)| self.text(&path, node));
        let mut optional_text = |key| match self.optional(&fields, key) {
            Some((path, node)) => self.text(&path, node).map(Some),
            None => Some(None),
        };
        let (host, prefix) = (optional_text("host"), optional_text("prefix"));
        let keys = self.list(&fields, "keys", Self::name);
        let is_account = match self.optional(&fields, "is_account") {
            Some((path, node)) => self.boolean(&path, node),
            None => Some(false),
        };
        let (entry, reason) = (entry?, reason?.into());
        Some(SetAsideEntry {
            entry,
            reason,
            host: host?,
            prefix: prefix?,
            keys,
            is_account: is_account?,
        })
    }

    fn route(&mut self, path: &str, node: &Node) -> Option<RouteEntry> {
        let fields = self.fields(path, node, ROUTE_KEYS)?;
        let name = self.required_name(&fields, "name");
        let class = self.required_name(&fields, "class");
        let host = self.required(&fields, "host");
        let host = host.and_then(|(path, node)| self.text(&path, node));
        let prefix = self.required(&fields, "prefix");
        let prefix = prefix.and_then(|(path, node)| self.text(&path, node));
        let destinations = self.list(&fields, "destinations", Self::destination);
        let idempotent = self.required(&fields, "idempotent");
        let idempotent = idempotent.and_then(|(path, node)| self.boolean(&path, node));
        let deadline_ms = self.required_integer(&fields, "deadline_ms");
        let objective_ms = self.required_integer(&fields, "objective_ms");
        let max_endpoints = self.required(&fields, "max_endpoints");
        let max_endpoints = max_endpoints.and_then(|(path, node)| self.count(&path, node));
        let public = match self.optional(&fields, "public") {
            Some((path, node)) => self.boolean(&path, node),
            None => Some(false),
        };
        Some(RouteEntry {
            name: name?,
            host: host?,
            prefix: prefix?,
            class: class?,
            destinations,
            idempotent: idempotent?,
            deadline_ms: deadline_ms?,
            objective_ms: objective_ms?,
            max_endpoints: max_endpoints?,
            public: public?,
        })
    }

    fn account(&mut self, path: &str, node: &Node) -> Option<AccountEntry> {
        let fields = self.fields(path, node, ACCOUNT_KEYS)?;
        let name = self.required_name(&fields, "name");
        let keys = self.required(&fields, "keys");
        let keys = keys.map(|(path, node)| self.items(&path, node, Self::name));
        let class = match self.optional(&fields, "class") {
            Some((path, node)) => self.name(&path, node).map(Some),
            None => Some(None),
        };
        let rate_per_s = match self.optional(&fields, "rate_per_s") {
            Some((path, node)) => self.rate(&path, node),
            None => Some(RatePerSecond::default()),
        };
        let burst_requests = match self.optional(&fields, "burst_requests") {
            Some((path, node)) => self.count(&path, node),
            None => Some(0),
        };
        Some(AccountEntry {
            name: name?,
            keys: keys?,
            class: class?,
            rate_per_s: rate_per_s?,
            burst_requests: burst_requests?,
        })
    }

    fn destination(&mut self, path: &str, node: &Node) -> Option<DestinationEntry> {
        let fields = self.fields(path, node, DESTINATION_KEYS)?;
        let service = self.required_name(&fields, "service");
        let weight = self.required(&fields, "weight");
        let weight = weight.and_then(|(path, node)| self.count(&path, node));
        Some(DestinationEntry { service: service?, weight: weight? })
    }

    fn caller_limits(&mut self, path: &str, node: &Node) -> Option<CallerLimits> {
        let fields = self.fields(path, node, LIMIT_KEYS)?;
        let max_head_bytes = self.required_integer(&fields, "max_head_bytes");
        let max_body_bytes = self.required_integer(&fields, "max_body_bytes");
        let head_timeout_ms = self.required_integer(&fields, "head_timeout_ms");
        let idle_timeout_ms = self.required_integer(&fields, "idle_timeout_ms");
        Some(CallerLimits {
            max_head_bytes: max_head_bytes?,
            max_body_bytes: max_body_bytes?,
            head_timeout_ms: head_timeout_ms?,
            idle_timeout_ms: idle_timeout_ms?,
        })
    }

    fn required_integer(&mut self, fields: &Fields<'_>, key: &'static str) -> Option<u64> {
        let (path, node) = self.required(fields, key)?;
        self.integer(&path, node)
    }

    fn class(&mut self, path: &str, node: &Node) -> Option<ClassEntry> {
        let fields = self.fields(path, node, CLASS_KEYS)?;
        let name = self.required_name(&fields, "name");
        let grant = self.required(&fields, "grant_attempts");
        let grant = grant.and_then(|(path, node)| self.count(&path, node));
        let deadline = self.required_integer(&fields, "deadline_ms");
        let retry_percent = match self.optional(&fields, "retry_percent") {
            Some((path, node)) => self.count(&path, node),
            None => Some(default_retry_percent()),
        };
        let protected = match self.optional(&fields, "protected") {
            Some((path, node)) => self.boolean(&path, node),
            None => Some(false),
        };
        Some(ClassEntry {
            name: name?,
            grant_attempts: Attempts::new(grant?),
            deadline_ms: deadline?,
            retry_percent: retry_percent?,
            protected: protected?,
        })
    }

    fn rule(&mut self, path: &str, node: &Node) -> Option<RuleEntry> {
        let fields = self.fields(path, node, RULE_KEYS)?;
        let class: Option<ClassName> = self.required_name(&fields, "class");
        let services = self.optional_list(&fields, "services", Self::name);
        let methods = self.optional_list(&fields, "methods", Self::text);
        let pattern = self.required(&fields, "path");
        let pattern = pattern.and_then(|(path, node)| self.text(&path, node));
        let idempotent = self.required(&fields, "idempotent");
        let idempotent = idempotent.and_then(|(path, node)| self.boolean(&path, node));
        Some(RuleEntry {
            class: class?,
            services,
            methods,
            path: pattern?,
            idempotent: idempotent?,
        })
    }

    fn list<T>(
        &mut self,
        fields: &Fields<'_>,
        key: &str,
        decode_item: impl Fn(&mut Self, &str, &Node) -> Option<T>,
    ) -> Vec<T> {
        self.optional_list(fields, key, decode_item).unwrap_or_default()
    }

    /// Returns `None` if the list is absent, which differs from an empty one.
    fn optional_list<T>(
        &mut self,
        fields: &Fields<'_>,
        key: &str,
        decode_item: impl Fn(&mut Self, &str, &Node) -> Option<T>,
    ) -> Option<Vec<T>> {
        let (path, node) = self.optional(fields, key)?;
        Some(self.items(&path, node, decode_item))
    }

    fn items<T>(
        &mut self,
        path: &str,
        node: &Node,
        decode_item: impl Fn(&mut Self, &str, &Node) -> Option<T>,
    ) -> Vec<T> {
        let Value::List(items) = &node.value else {
            self.report_wrong_type(path, node, "a list");
            return Vec::new();
        };
        let mut decoded_items = Vec::with_capacity(items.len());
        let mut kept = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            self.positions.insert(path.clone(), item.position);
            if let Some(decoded) = decode_item(self, &path, item) {
                decoded_items.push(decoded);
                kept.push(index);
            }
        }
        self.kept.insert(path.to_owned(), kept);
        decoded_items
    }

    fn required_name<T: FromStr<Err = cuminarch_types::ParseError>>(
        &mut self,
        fields: &Fields<'_>,
        key: &'static str,
    ) -> Option<T> {
        let (path, node) = self.required(fields, key)?;
        self.name(&path, node)
    }

    fn name<T: FromStr<Err = cuminarch_types::ParseError>>(
        &mut self,
        path: &str,
        node: &Node,
    ) -> Option<T> {
        let text = self.text(path, node)?;
        match text.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let reason = error.to_string();
                self.report(path, node.position, DiagnosticKind::InvalidValue { reason });
                None
            }
        }
    }

    fn text(&mut self, path: &str, node: &Node) -> Option<CompactString> {
        match &node.value {
            Value::Text(text) => Some(text.into()),
            _ => {
                self.report_wrong_type(path, node, "text");
                None
            }
        }
    }

    fn boolean(&mut self, path: &str, node: &Node) -> Option<bool> {
        match node.value {
            Value::Bool(value) => Some(value),
            _ => {
                self.report_wrong_type(path, node, "true or false");
                None
            }
        }
    }

    fn integer(&mut self, path: &str, node: &Node) -> Option<u64> {
        match node.value {
            Value::Integer(value) => Some(value),
            _ => {
                self.report_wrong_type(path, node, "a whole number");
                None
            }
        }
    }

    fn rate(&mut self, path: &str, node: &Node) -> Option<RatePerSecond> {
        #[allow(clippy::cast_precision_loss, reason = "rates are far below 2^53")]
        let value = match node.value {
            Value::Integer(value) => Some(value as f64),
            Value::Fraction(value) => {
                Some(value).filter(|value| value.is_finite() && *value >= 0.0)
            }
            _ => None,
        };
        if value.is_none() {
            self.report_wrong_type(path, node, "a number that is not negative");
        }
        value.map(RatePerSecond::new)
    }

    fn count(&mut self, path: &str, node: &Node) -> Option<u32> {
        let value = self.integer(path, node)?;
        let count = u32::try_from(value).ok();
        if count.is_none() {
            let kind = DiagnosticKind::OutOfRange { value, min: 0, max: u64::from(u32::MAX) };
            self.report(path, node.position, kind);
        }
        count
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
