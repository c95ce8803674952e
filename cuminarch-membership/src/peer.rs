use cuminarch_protocol::Coverage;
use cuminarch_types::{MonoTime, Revision, ZoneName};

/// What a node has seen of another member's control link.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When a heartbeat was first sent without an answer since.
    pub unanswered_since: Option<MonoTime>,
    /// When a message last came from it.
    pub last_seen_at: Option<MonoTime>,
    /// When it last reported to this relay.
    pub reported_at: Option<MonoTime>,
    /// When this relay became responsible for watching it.
    pub watched_since: Option<MonoTime>,
    /// When other relays were asked about it.
    pub asked_at: Option<MonoTime>,
    /// Relays that answered that they had not heard of it either.
    pub silence_votes: u32,
    /// Suspicions of it that were refuted, fading with time.
    pub flaps: u32,
    /// When `flaps` last changed.
    pub flapped_at: MonoTime,
    /// Revision that it has in force.
    pub revision: Revision,
    /// When a configuration was last sent to it.
    pub offered_at: Option<MonoTime>,
    /// Heartbeats in a row whose digest differed.
    pub mismatches: u32,
    /// Zones that it finds cut.
    pub cut_zones: Vec<ZoneName>,
    /// Whether it lacks the platform.
    pub lacks_platform: bool,
    /// What it has put into force at the members it serves.
    pub coverage: Option<Coverage>,
}

impl Peer {
    /// Notes that a message came from it.
    pub fn record_message(&mut self, now: MonoTime) {
        self.unanswered_since = None;
        self.last_seen_at = Some(now);
        self.asked_at = None;
        self.silence_votes = 0;
    }

    /// Whether a message came within `span`.
    pub fn is_recently_seen(&self, span: std::time::Duration, now: MonoTime) -> bool {
        self.last_seen_at.is_some_and(|heard_at| now.since(heard_at) <= span)
    }

    /// Whether heartbeats to it went unanswered for `span`.
    pub fn is_unresponsive(&self, span: std::time::Duration, now: MonoTime) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) > span)
    }
}
