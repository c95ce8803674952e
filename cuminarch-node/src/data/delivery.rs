//! Tells whether the peer of a connection has taken all bytes that were written to it.
//!
//! A successful write means only that the kernel holds the bytes. It still drops them if the
//! connection is reset, or if the process ends and the peer sends something afterwards.

use std::os::fd::AsFd;
use std::time::Duration;

use log::debug;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;

use crate::event::NodeEvent;

/// First and longest interval between two checks of a connection.
const CHECK_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(100));

/// Waits until the peer's window has taken all written bytes, or the connection has failed. Nothing
/// may be written to the connection afterwards. A peer that takes no bytes for long is ended by
/// `TCP_USER_TIMEOUT`.
pub async fn wait_until_sent(socket: &impl AsFd) {
    let (mut interval, longest) = CHECK_INTERVALS;
    while !is_sent(socket) {
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(longest);
    }
}

/// Returns `true` if the peer's window has taken all written bytes, or the connection has failed.
/// Must be called before the connection is shut down for writing, which makes it writable.
pub fn is_sent(socket: &impl AsFd) -> bool {
    // With this limit, the kernel calls a connection writable only if nothing waits to be sent.
    const MAX_UNSENT_BYTES: u32 = 1;
    if let Err(error) = SockRef::from(socket).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        debug!("{} unsent bytes are unknown: {error}", NodeEvent::ConnectionFault);
        return true;
    }
    let mut polled = [PollFd::new(socket, PollFlags::OUT)];
    match poll(&mut polled, Some(&Timespec::default())) {
        Ok(ready_count) => ready_count > 0,
        Err(error) => {
            debug!("{} unsent bytes are unknown: {error}", NodeEvent::ConnectionFault);
            true
        }
    }
}

#[cfg(test)]
mod tests;
