//! Encodes a configuration as a patch to its predecessor.

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::ConfigPatch;
use xxhash_rust::xxh3::xxh3_64;

/// A patch is sent only if the sheet is at least this many times larger.
const MIN_SHEET_TO_PATCH_RATIO: usize = 2;

/// Returns the patch from `base` to `next`, or `None` if it is not much smaller than `next`.
#[must_use]
pub fn make_patch(base: &ConfigDocument, next: &ConfigDocument) -> Option<ConfigPatch> {
    let (old, new) = (base.sheet.as_str(), next.sheet.as_str());
    let prefix = common_prefix(old, new);
    let suffix = common_suffix(&old[prefix..], &new[prefix..]);
    let middle = &new[prefix..new.len() - suffix];
    if middle.len() > new.len() / MIN_SHEET_TO_PATCH_RATIO {
        return None;
    }
    Some(ConfigPatch {
        base: base.revision,
        revision: next.revision,
        change: next.change.clone(),
        prefix_len_bytes: u32::try_from(prefix).ok()?,
        suffix_len_bytes: u32::try_from(suffix).ok()?,
        middle: middle.to_owned(),
        checksum: xxh3_64(new.as_bytes()),
    })
}

/// Applies a patch to `base`. Returns `None` if the patch was made for another document.
#[must_use]
pub fn apply_patch(base: &ConfigDocument, patch: &ConfigPatch) -> Option<ConfigDocument> {
    if base.revision != patch.base {
        return None;
    }
    let prefix = base.sheet.get(..usize::try_from(patch.prefix_len_bytes).ok()?)?;
    let suffix_start =
        base.sheet.len().checked_sub(usize::try_from(patch.suffix_len_bytes).ok()?)?;
    let suffix = base.sheet.get(suffix_start..)?;
    let sheet = [prefix, &patch.middle, suffix].concat();
    let is_intact = xxh3_64(sheet.as_bytes()) == patch.checksum;
    is_intact.then(|| ConfigDocument {
        revision: patch.revision,
        change: patch.change.clone(),
        sheet,
    })
}

/// Returns the length in bytes of the longest common prefix of whole characters.
fn common_prefix(left: &str, right: &str) -> usize {
    let pairs = left.char_indices().zip(right.chars());
    let differing = pairs.into_iter().find(|((_, left), right)| left != right);
    differing.map_or(left.len().min(right.len()), |((index, _), _)| index)
}

/// Returns the length in bytes of the longest common suffix of whole characters.
fn common_suffix(left: &str, right: &str) -> usize {
    let pairs = left.chars().rev().zip(right.chars().rev());
    pairs.take_while(|(left, right)| left == right).map(|(left, _)| left.len_utf8()).sum()
}
