use cuminarch_protocol::Coverage;
use cuminarch_types::{MonoTime, Revision, ZoneName};

/// State that a node keeps about the control link to another member.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When the first heartbeat still without an answer was sent.
    pub unanswered_since: Option<MonoTime>,
    /// When the last message from it arrived.
    pub last_seen_at: Option<MonoTime>,
    /// When it last sent a heartbeat to this relay.
    pub reported_at: Option<MonoTime>,
    /// When this relay became responsible for watching it.
    pub watched_since: Option<MonoTime>,
    /// When other relays were asked about it.
    pub relays_asked_at: Option<MonoTime>,
    /// Number of relays that answered that they have had no message from it either.
    pub silence_votes: u32,
    /// Number of refuted suspicions of it, which decays over time.
    pub flaps: u32,
    /// When `flaps` last changed.
    pub flapped_at: MonoTime,
    /// Configuration revision that it has in force.
    pub revision: Revision,
    /// When a configuration was last sent to it.
    pub config_sent_at: Option<MonoTime>,
    /// Number of consecutive heartbeats whose digest differed.
    pub mismatches: u32,
    /// Zones that it cannot reach.
    pub cut_zones: Vec<ZoneName>,
    /// Whether it cannot reach the platform.
    pub lacks_platform: bool,
    /// How far its revision is in force on the members it serves.
    pub coverage: Option<Coverage>,
}

impl Peer {
    /// Records a message from it.
    pub fn record_message(&mut self, now: MonoTime) {
        self.unanswered_since = None;
        self.last_seen_at = Some(now);
        self.relays_asked_at = None;
        self.silence_votes = 0;
    }

    /// Returns `true` if a message arrived within the last `span`.
    pub fn is_recently_seen(&self, span: std::time::Duration, now: MonoTime) -> bool {
        self.last_seen_at.is_some_and(|last_seen_at| now.since(last_seen_at) <= span)
    }

    /// Returns `true` if heartbeats to it have been unanswered for longer than `span`.
    pub fn is_unresponsive(&self, span: std::time::Duration, now: MonoTime) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) > span)
    }
}
