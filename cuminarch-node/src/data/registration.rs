//! Registrations of the local upstream.

use cuminarch_http::RequestHead;
use log::{info, warn};

use super::runner::DataContext;
use crate::event::NodeEvent;
use crate::interface::{LocalAnswer, RegistrationResult};

/// Applies a registration and acknowledges it from the node's own state.
pub fn register(context: &DataContext, head: &RequestHead, body: &[u8]) -> LocalAnswer {
    match context.interface.parse_registration(head, body) {
        RegistrationResult::Accepted(registration, answer) => {
            if let Some(record) = context.driver.register(&registration) {
                info!("{} upstream={record:?}", NodeEvent::UpstreamChanged);
                context.publish_upstream(record);
            }
            answer
        }
        RegistrationResult::Refused(error, answer) => {
            warn!("{} {error}", NodeEvent::RegistrationRefused);
            answer
        }
    }
}
