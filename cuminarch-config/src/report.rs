use crate::check::check;
use crate::decode::decode;
use crate::tree::Node;
use crate::{ConfigDocument, Diagnostic, DiagnosticKind, Severity, Sheet, SheetError};

/// All errors and warnings about the text of a sheet.
///
/// ```
/// use cuminarch_config::SheetReport;
///
/// let report = SheetReport::from_text("classes: []\ndefault_class: browse\ncolour: red\n");
/// let lines: Vec<String> = report.diagnostics().iter().map(ToString::to_string).collect();
/// assert_eq!(lines.len(), 3);
/// assert!(lines[2].starts_with("line 3 column 1: error: unknown key \"colour\""));
/// ```
#[derive(Clone, Debug)]
pub struct SheetReport {
    sheet: Sheet,
    diagnostics: Vec<Diagnostic>,
}

impl SheetReport {
    /// Parses and checks a text. Values and their consistency are checked only if the text has no
    /// structural errors other than unknown keys.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let mut report = match Node::parse(text) {
            Ok(root) => Self::from_tree(&root),
            Err(diagnostic) => Self { sheet: Sheet::default(), diagnostics: vec![diagnostic] },
        };
        let len_bytes = ConfigDocument::framed_len_bytes(text);
        let max_bytes = ConfigDocument::MAX_BYTES;
        if len_bytes > max_bytes {
            report
                .diagnostics
                .push(Diagnostic::new("", DiagnosticKind::TooLarge { len_bytes, max_bytes }));
        }
        report.diagnostics.sort_by_key(|diagnostic| diagnostic.position);
        report
    }

    fn from_tree(root: &Node) -> Self {
        let decoded = decode(root);
        let mut diagnostics = decoded.diagnostics;
        if diagnostics
            .iter()
            .all(|diagnostic| matches!(diagnostic.kind, DiagnosticKind::UnknownKey { .. }))
        {
            let position_of = |path: &str| decoded.positions.get(path).copied();
            diagnostics.extend(check(&decoded.sheet).into_iter().map(|diagnostic| {
                let position = position_of(&diagnostic.path)
                    .or_else(|| position_of(parent_path(&diagnostic.path)));
                diagnostic.with_position(position)
            }));
        }
        Self { sheet: decoded.sheet, diagnostics }
    }

    /// Returns all diagnostics in order of position.
    #[must_use]
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }

    /// Returns the warnings.
    pub fn warnings(&self) -> impl Iterator<Item = &Diagnostic> {
        self.diagnostics.iter().filter(|diagnostic| diagnostic.severity() == Severity::Warning)
    }

    /// Returns the sheet if it can be put into force.
    ///
    /// # Errors
    ///
    /// Fails with all diagnostics that are errors.
    pub fn into_sheet(self) -> Result<Sheet, SheetError> {
        let is_error = |diagnostic: &Diagnostic| diagnostic.severity() == Severity::Error;
        let errors: Vec<Diagnostic> = self.diagnostics.into_iter().filter(is_error).collect();
        if errors.is_empty() { Ok(self.sheet) } else { Err(SheetError::new(errors)) }
    }
}

/// Returns the path of the entry that contains the one at `path`.
fn parent_path(path: &str) -> &str {
    path.rsplit_once('.').map_or(path, |(parent, _)| parent)
}
