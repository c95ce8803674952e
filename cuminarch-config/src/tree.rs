//! The sheet as a tree of YAML values with their positions in the text.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Error, Spanned};

use crate::{Diagnostic, DiagnosticKind, Position};

/// A value and its position.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub position: Position,
    pub value: Value,
}

/// A YAML value without a schema.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Integer(u64),
    Fraction(f64),
    Other(&'static str),
    Text(String),
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// One key of a mapping with its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub position: Position,
    pub key: String,
    pub value: Node,
}

impl Node {
    /// Maximum nesting depth of a sheet.
    const MAX_DEPTH: usize = 16;

    /// Parses YAML text.
    pub(crate) fn parse(text: &str) -> Result<Self, Diagnostic> {
        let options = serde_saphyr::options! {
            with_snippet: false,
            budget: serde_saphyr::budget! { max_depth: Self::MAX_DEPTH },
        };
        serde_saphyr::from_str_with_options(text, options)
            .map_err(|error| syntax_diagnostic(&error))
    }
}

fn syntax_diagnostic(error: &Error) -> Diagnostic {
    let location = error.location();
    let position =
        location.map(|location| Position { line: location.line(), column: location.column() });
    let reason = error.without_snippet().to_string();
    Diagnostic::new("", DiagnosticKind::Syntax { reason }).with_position(position)
}

impl Value {
    /// Returns the name of the type for messages.
    pub(crate) const fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Integer(_) => "a whole number",
            Self::Fraction(_) => "a fraction",
            Self::Other(name) => name,
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Map(_) => "a mapping",
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self { position: position(&spanned), value: spanned.value })
    }
}

fn position<T>(spanned: &Spanned<T>) -> Position {
    Position { line: spanned.referenced.line(), column: spanned.referenced.column() }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(u64::try_from(value).map_or(Value::Other("a negative number"), Value::Integer))
    }

    fn visit_u128<E>(self, _: u128) -> Result<Value, E> {
        Ok(Value::Other("a number beyond 64 bits"))
    }

    fn visit_i128<E>(self, _: i128) -> Result<Value, E> {
        Ok(Value::Other("a number beyond 64 bits"))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Fraction(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_bytes<E>(self, _: &[u8]) -> Result<Value, E> {
        Ok(Value::Other("binary data"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(node) = access.next_element()? {
            list.push(node);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = access.next_key::<Spanned<String>>()? {
            let position = position(&key);
            entries.push(Entry { position, key: key.value, value: access.next_value()? });
        }
        Ok(Value::Map(entries))
    }
}
