use std::borrow::Cow;

use compact_str::CompactString;

/// A compiled path pattern.
///
/// Empty segments count neither in the pattern nor in a path, so that a doubled
/// or trailing slash does not lead around a rule; percent-encoded octets of a
/// path are decoded segment by segment for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PathPattern {
    pub segments: Vec<Segment>,
    /// Whether any further segments may follow.
    pub is_prefix: bool,
}

/// One segment of a pattern.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Segment {
    Any,
    Literal(CompactString),
}

impl PathPattern {
    /// Stands for one segment of any text.
    pub(crate) const ANY_SEGMENT: &str = "*";
    /// Stands for any further segments, also none.
    pub(crate) const ANY_REST: &str = "**";

    /// Compiles a pattern whose shape has been checked.
    pub(crate) fn new(text: &str) -> Self {
        let mut parts: Vec<&str> = split_segments(text).collect();
        let is_prefix = parts.last() == Some(&Self::ANY_REST);
        if is_prefix {
            parts.pop();
        }
        let segments = parts.into_iter().map(Segment::new).collect();
        Self { segments, is_prefix }
    }

    /// What keeps `text` from being a pattern, if anything.
    pub(crate) fn syntax_error(text: &str) -> Option<&'static str> {
        if !text.starts_with('/') {
            return Some("it does not begin with '/'");
        }
        if text.contains(['?', '#', '%']) {
            return Some("'?', '#' and '%' are not allowed; queries are ignored");
        }
        if text.chars().any(|letter| letter.is_whitespace() || letter.is_control()) {
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

    /// Whether `path`, without its query, fits the pattern.
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

    /// Whether segments after the first `depth` ones are of no account.
    pub(crate) const fn accepts_any_rest_at(&self, depth: usize) -> bool {
        self.is_prefix && self.segments.len() <= depth
    }
}

/// The first segment of a path, decoded; empty if there is none.
pub(crate) fn first_segment(path: &str) -> Cow<'_, [u8]> {
    split_segments(path).next().map_or(Cow::Borrowed(&[]), decode_percent)
}

/// The path that remains once `.` and `..` segments are resolved, as RFC 3986,
/// section 5.2.4 does; nothing if the path has none.
pub(crate) fn remove_dot_segments(path: &str) -> Option<String> {
    let is_dot = |part: &str| matches!(decode_percent(part).as_ref(), b"." | b"..");
    if !split_segments(path).any(is_dot) {
        return None;
    }
    let mut kept: Vec<&str> = Vec::new();
    for part in split_segments(path) {
        match decode_percent(part).as_ref() {
            b"." => {}
            b".." => {
                kept.pop();
            }
            _ => kept.push(part),
        }
    }
    Some(format!("/{}", kept.join("/")))
}

fn split_segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|part| !part.is_empty())
}

impl Segment {
    fn new(text: &str) -> Self {
        if text == PathPattern::ANY_SEGMENT { Self::Any } else { Self::Literal(text.into()) }
    }

    /// Whether one segment of a path fits.
    pub(crate) fn covers(&self, part: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Literal(literal) => literal.as_bytes() == decode_percent(part).as_ref(),
        }
    }
}

/// Replaces `%XX` by the octet that it stands for.
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
