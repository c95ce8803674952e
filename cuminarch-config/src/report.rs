use crate::check::check;
use crate::decode::decode;
use crate::tree::Node;
use crate::{ConfigDocument, Diagnostic, DiagnosticKind, Severity, Sheet, SheetError};

/// Everything that can be said about the text of a sheet.
///
/// ```
/// use cuminarch_config::SheetReport;
///
/// let report = SheetReport::of("classes: []\ndefault_class: browse\ncolour: red\n");
/// let lines: Vec<String> = report.faults().iter().map(ToString::to_string).collect();
/// assert_eq!(lines.len(), 3);
/// assert!(lines[2].starts_with("line 3 column 1: error: unknown key \"colour\""));
/// ```
#[derive(Clone, Debug)]
pub struct SheetReport {
    sheet: Sheet,
    diagnostics: Vec<Diagnostic>,
}

impl SheetReport {
    /// Checks a text as a whole. Contradictions between entries are looked for
    /// once every entry has the right shape.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        let mut report = match Node::parse(text) {
            Ok(root) => Self::from_tree(&root),
            Err(fault) => Self { sheet: Sheet::default(), diagnostics: vec![fault] },
        };
        let len_bytes = ConfigDocument::framed_len_bytes(text);
        let max_bytes = ConfigDocument::MAX_BYTES;
        if len_bytes > max_bytes {
            report
                .diagnostics
                .push(Diagnostic::new("", DiagnosticKind::TooLarge { len_bytes, max_bytes }));
        }
        report.diagnostics.sort_by_key(|fault| fault.position);
        report
    }

    fn from_tree(root: &Node) -> Self {
        let draft = decode(root);
        let mut faults = draft.diagnostics;
        if faults.iter().all(|fault| matches!(fault.kind, DiagnosticKind::UnknownKey { .. })) {
            let place = |path: &str| draft.positions.get(path).copied();
            faults.extend(check(&draft.sheet).into_iter().map(|fault| {
                let position = place(&fault.path).or_else(|| place(parent_path(&fault.path)));
                fault.with_position(position)
            }));
        }
        Self { sheet: draft.sheet, diagnostics: faults }
    }

    /// All faults in order of place.
    #[must_use]
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }

    /// Faults that do not keep the sheet from coming into force.
    pub fn warnings(&self) -> impl Iterator<Item = &Diagnostic> {
        self.diagnostics.iter().filter(|fault| fault.severity() == Severity::Warning)
    }

    /// The sheet, if it can come into force.
    ///
    /// # Errors
    ///
    /// Fails with every fault that keeps it from that.
    pub fn into_sheet(self) -> Result<Sheet, SheetError> {
        let is_error = |fault: &Diagnostic| fault.severity() == Severity::Error;
        let errors: Vec<Diagnostic> = self.diagnostics.into_iter().filter(is_error).collect();
        if errors.is_empty() { Ok(self.sheet) } else { Err(SheetError::new(errors)) }
    }
}

/// The path of the entry that holds the one at `path`.
fn parent_path(path: &str) -> &str {
    path.rsplit_once('.').map_or(path, |(parent, _)| parent)
}
