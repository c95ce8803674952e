//! Registrations of the local upstream.

use std::time::Duration;

use cuminarch_http::RequestHead;
use cuminarch_protocol::UpstreamState;
use log::{info, warn};

use super::runner::DataContext;
use crate::event::NodeEvent;
use crate::interface::{LocalAnswer, RegistrationResult};

/// Maximum time for which the acknowledgement of a departure waits until the next process of the
/// node will know of it; the platform expects the acknowledgement within a second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which a registration waits until it is known whether it counts.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(400);

/// Applies a registration and acknowledges it from the node's own state.
pub async fn register(context: &DataContext, head: &RequestHead, body: &[u8]) -> LocalAnswer {
    match context.interface.parse_registration(head, body) {
        RegistrationResult::Accepted(registration, answer) => {
            if let Some(record) = context.driver.register(&registration) {
                info!("{} upstream={record:?}", NodeEvent::UpstreamChanged);
                context.publish_upstream(record.clone());
                if record.state > UpstreamState::Ready {
                    context.driver.wait_until_recorded(&record, RECORD_TIMEOUT).await;
                }
            } else if let Some(pending) = context.driver.pending_upstream() {
                context.publish_pending(pending);
                if !context.driver.is_registration_counted(HISTORY_TIMEOUT).await {
                    return context
                        .interface
                        .error_answer(503, "the upstream has to register again");
                }
            }
            answer
        }
        RegistrationResult::Refused(error, answer) => {
            warn!("{} {error}", NodeEvent::RegistrationRefused);
            answer
        }
    }
}
