use std::borrow::Cow;

use compact_str::CompactString;

/// A compiled path pattern.
///
/// Empty segments are ignored in patterns and paths, so that a doubled or trailing slash does
/// not bypass a rule. For the same reason, percent-encoded octets of a path are decoded, one
/// segment at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PathPattern {
    pub segments: Vec<Segment>,
    /// Whether any further segments may follow (a final `**`).
    pub is_prefix: bool,
}

/// One segment of a pattern.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Segment {
    Any,
    Literal(CompactString),
}

impl PathPattern {
    /// Matches exactly one segment.
    pub(crate) const ANY_SEGMENT: &str = "*";
    /// Matches any number of further segments, including none.
    pub(crate) const ANY_REST: &str = "**";

    /// Compiles a pattern that [`Self::syntax_error`] accepts.
    pub(crate) fn new(text: &str) -> Self {
        let mut parts: Vec<&str> = split_segments(text).collect();
        let is_prefix = parts.last() == Some(&Self::ANY_REST);
        if is_prefix {
            parts.pop();
        }
        let segments = parts.into_iter().map(Segment::new).collect();
        Self { segments, is_prefix }
    }

    /// Returns the first reason why `text` is not a valid pattern, or `None` if it is one.
    pub(crate) fn syntax_error(text: &str) -> Option<&'static str> {
        if !text.starts_with('/') {
            return Some("it does not begin with '/'");
        }
        if text.contains(['?', '#', '%']) {
            return Some("'?', '#' and '%' are not allowed; queries are ignored");
        }
        if text.chars().any(|character| character.is_whitespace() || character.is_control()) {
            return Some("white space and control characters are not allowed");
        }
        let mut segments = text[1..].split('/').peekable();
        while let Some(segment) = segments.next() {
            let is_last = segments.peek().is_none();
            let is_wildcard = [Self::ANY_SEGMENT, Self::ANY_REST].contains(&segment);
            match segment {
                Self::ANY_REST if !is_last => return Some("'**' is allowed only at the end"),
                "" if text != "/" => return Some("it has an empty segment"),
                "." | ".." => return Some("'.' and '..' are not allowed as segments"),
                _ if segment.contains('*') && !is_wildcard => {
                    return Some("'*' is allowed only as a whole segment");
                }
                _ => {}
            }
        }
        None
    }

    /// Returns `true` if `path`, without its query, matches the pattern.
    pub(crate) fn covers(&self, path: &str) -> bool {
        let mut parts = split_segments(path);
        for segment in &self.segments {
            match parts.next() {
                Some(part) if segment.covers(part) => {}
                _ => return false,
            }
        }
        self.is_prefix || parts.next().is_none()
    }

    /// Returns `true` if any segments may follow the first `depth` ones.
    pub(crate) const fn accepts_any_rest_at(&self, depth: usize) -> bool {
        self.is_prefix && self.segments.len() <= depth
    }
}

/// Returns the first segment of a path, decoded, or an empty slice if there is none.
pub(crate) fn first_segment(path: &str) -> Cow<'_, [u8]> {
    split_segments(path).next().map_or(Cow::Borrowed(&[]), decode_percent)
}

/// Resolves `.` and `..` segments as in RFC 3986, section 5.2.4. Returns `None` if the path has
/// no such segment.
pub(crate) fn remove_dot_segments(path: &str) -> Option<String> {
    let is_dot = |part: &str| matches!(decode_percent(part).as_ref(), b"." | b"..");
    if !split_segments(path).any(is_dot) {
        return None;
    }
    let mut resolved: Vec<&str> = Vec::new();
    for part in split_segments(path) {
        match decode_percent(part).as_ref() {
            b"." => {}
            b".." => {
                resolved.pop();
            }
            _ => resolved.push(part),
        }
    }
    Some(format!("/{}", resolved.join("/")))
}

fn split_segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|part| !part.is_empty())
}

impl Segment {
    fn new(text: &str) -> Self {
        if text == PathPattern::ANY_SEGMENT { Self::Any } else { Self::Literal(text.into()) }
    }

    /// Returns `true` if a segment of a path matches.
    pub(crate) fn covers(&self, part: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Literal(literal) => literal.as_bytes() == decode_percent(part).as_ref(),
        }
    }
}

/// Replaces each `%XX` by the octet that it encodes; keeps malformed sequences.
fn decode_percent(part: &str) -> Cow<'_, [u8]> {
    let bytes = part.as_bytes();
    if !bytes.contains(&b'%') {
        return Cow::Borrowed(bytes);
    }
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(&byte) = bytes.get(index) {
        let octet = bytes.get(index + 1..index + 3).and_then(octet);
        match octet {
            Some(octet) if byte == b'%' => {
                decoded.push(octet);
                index += 3;
            }
            _ => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    Cow::Owned(decoded)
}

fn octet(digits: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let value = digit(*digits.first()?)? * 16 + digit(*digits.get(1)?)?;
    u8::try_from(value).ok()
}
