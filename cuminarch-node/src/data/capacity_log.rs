//! Log lines on what is learned of the capacity of endpoints.

use cuminarch_engine::CapacityChange;
use log::info;

use crate::event::NodeEvent;

/// Writes a line for each change.
pub fn log_changes(changes: &[CapacityChange]) {
    for change in changes {
        match change {
            CapacityChange::OwnLimit { previous, current, confidence_milli } => {
                let event = NodeEvent::LearnedLimitChanged;
                info!(
                    previous:% = previous,
                    limit:% = current,
                    confidence_milli = confidence_milli;
                    "{event}"
                );
            }
            CapacityChange::Speed { endpoint, previous_milli, current_milli } => {
                let event = NodeEvent::EndpointSpeedChanged;
                info!(
                    endpoint:% = endpoint,
                    previous_milli = previous_milli,
                    speed_milli = current_milli;
                    "{event}"
                );
            }
        }
    }
}
