//! Checks of the house style that neither rustfmt nor clippy covers.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use eyre::Result;

/// Maximum length of a source file.
const MAX_FILE_LINES: usize = 500;

/// Folder of the adapter to the users' platform; its `words.txt` lists the platform's names.
const ADAPTER_DIR: &str = "platform";

/// A violation of the house style.
#[derive(Debug)]
pub struct Finding {
    file: PathBuf,
    line: usize,
    message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file.display(), self.line, self.message)
    }
}

/// Checks every source file below `root`.
pub fn check(root: &Path) -> Result<Vec<Finding>> {
    let mut findings = Vec::new();
    let platform_names = fs::read_to_string(root.join(ADAPTER_DIR).join("words.txt"))?;
    let platform_names: Vec<&str> = platform_names.lines().collect();
    for file in find_source_files(root)? {
        let text = fs::read_to_string(&file)?;
        check_length(&file, &text, &mut findings);
        check_derives(&file, &text, &mut findings);
        if !file.starts_with(root.join(ADAPTER_DIR)) {
            check_platform_names(&file, &text, &platform_names, &mut findings);
        }
    }
    Ok(findings)
}

fn find_source_files(root: &Path) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    let mut folders = vec![root.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder)? {
            let path = entry?.path();
            let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
            let is_skipped = name.is_none_or(|name| name == "target" || name.starts_with('.'));
            if is_skipped {
                continue;
            }
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files.push(path);
            }
        }
    }
    files.sort();
    Ok(files)
}

fn check_length(file: &Path, text: &str, findings: &mut Vec<Finding>) {
    let lines = text.lines().count();
    if lines > MAX_FILE_LINES {
        let message = format!("{lines} lines; the maximum is {MAX_FILE_LINES}");
        findings.push(Finding { file: file.to_owned(), line: 1, message });
    }
}

fn check_derives(file: &Path, text: &str, findings: &mut Vec<Finding>) {
    const OPENING: &str = "#[derive(";
    for (start, _) in text.match_indices(OPENING) {
        let list = &text[start + OPENING.len()..];
        let Some(end) = list.find(")]") else { continue };
        let names: Vec<&str> =
            list[..end].split(',').map(trait_name).filter(|name| !name.is_empty()).collect();
        if !names.is_sorted() {
            let line = text[..start].lines().count() + 1;
            let message = format!("derives are not in alphabetical order: {}", names.join(", "));
            findings.push(Finding { file: file.to_owned(), line, message });
        }
    }
}

/// Reports names of the users' platform, which only the adapter may contain.
fn check_platform_names(
    file: &Path,
    text: &str,
    platform_names: &[&str],
    findings: &mut Vec<Finding>,
) {
    for (index, line) in text.lines().enumerate() {
        let line = line.to_ascii_lowercase();
        for name in platform_names.iter().filter(|name| line.contains(**name)) {
            let message = format!("{name:?} is a name of the platform");
            findings.push(Finding { file: file.to_owned(), line: index + 1, message });
        }
    }
}

/// Returns the name of a trait without its path.
fn trait_name(item: &str) -> &str {
    let item = item.trim();
    item.rsplit("::").next().unwrap_or(item)
}
