use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::site::Site;

/// Time between two reads of a daemon's state dump.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the revision in force at a daemon repeatedly until the deadline. Leaves out zero,
/// which a daemon without a configuration reports after a start.
pub async fn poll_revisions(site: Arc<Site>, deadline: Instant) -> Vec<u64> {
    let mut revisions = Vec::new();
    while Instant::now() < deadline {
        let revision = match site.admin_page("/dump").await {
            Some(page) if page.status == 200 && page.is_complete => parse_revision(&page.body),
            _ => None,
        };
        revisions.extend(revision.filter(|revision| *revision > 0));
        tokio::time::sleep(REVISION_POLL_INTERVAL).await;
    }
    revisions
}

fn parse_revision(dump: &[u8]) -> Option<u64> {
    let dump: serde_json::Value = serde_json::from_slice(dump).ok()?;
    dump.get("engine")?.get("revision")?.as_u64()
}
