//! Requests without a valid key of a client account.

use cuminarch_http::RequestHead;
use cuminarch_types::RouteName;
use log::info;

use super::runner::DataContext;
use crate::event::NodeEvent;
use crate::interface::CredentialFault;

/// Counts and logs such a request, without its key.
pub fn record_credential_fault(
    context: &DataContext,
    head: &RequestHead,
    route: Option<&RouteName>,
    fault: CredentialFault,
) {
    context.metrics.record_credential_fault(fault);
    let event = NodeEvent::CredentialRefused;
    let Some(left_out) = context.decisions.admit(event) else { return };
    let label = context.interface.request_label(&head.fields);
    info!(
        request = label.as_deref().unwrap_or("-"),
        route = route.map_or("-", RouteName::as_str),
        reason:% = fault,
        revision = context.driver.policy().revision().get(),
        left_out = left_out;
        "{event}"
    );
}
