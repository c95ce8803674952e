//! Times and sizes that bound what a table does.

use std::time::Duration;

/// Time for which tokens may be used at most, counted from when they were asked for. A request
/// waits less for them; a token that is not used by then is lost, and counts against the burst
/// of its part while it may be used.
pub(crate) const MAX_LIFETIME: Duration = Duration::from_millis(100);
/// Lower bound of the lifetime for accounts with a burst that is short beside their rate; several
/// round trips between zones of 3 ms fit.
pub(crate) const MIN_LIFETIME: Duration = Duration::from_millis(20);
/// Time by which a holder's clock may run faster than an asker's within a lifetime; 1% of it.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_millis(1);
/// Time without an answer after which an entry node asks elsewhere. A round trip takes 0.2 ms in
/// a zone and 3 ms between zones; the event loop of a busy node may be late by 50 ms, but an
/// answer is still used when it comes during a later attempt.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(30);
/// Nodes that an entry node asks before it gives up; with one datagram in 50 lost, two would not
/// answer for one request in 600.
pub(crate) const MAX_ATTEMPTS: u8 = 3;
/// Asks in a row without any answer after which a node takes itself to be cut off.
pub(crate) const ALONE_ASKS: u32 = 6;
/// Time without an answer after which a holder asks another one. Shorter than [`ASK_TIMEOUT`]:
/// an entry node waits meanwhile.
pub(crate) const LENDER_TIMEOUT: Duration = Duration::from_millis(8);
/// Time after which a holder stops collecting tokens for the asks that wait.
pub(crate) const GATHER_LIMIT: Duration = Duration::from_millis(20);
/// Other holders that are asked in one collection.
pub(crate) const MAX_LENDERS: usize = 4;
/// Asks that wait for one collection; further ones are answered at once.
pub(crate) const MAX_QUEUED_ASKS: usize = 256;
/// Time for which a node that did not answer is not asked.
pub(crate) const SILENCE: Duration = Duration::from_millis(500);
/// Time after which another attempt makes sense when no holder answers.
pub(crate) const UNAVAILABLE_RETRY: Duration = Duration::from_millis(500);
/// Time without refill at a node that became a holder: longer than a change of members takes to
/// reach the previous holder, at 860 nodes four steps of gossip of at most 0.4 s each.
pub(crate) const QUARANTINE: Duration = Duration::from_secs(2);
/// The same at a node that was a member before its process started: for the answers of peers to its
/// first round of gossip, as the list of the store may lack those that joined in the last seconds.
pub(crate) const REJOIN_QUARANTINE: Duration = Duration::from_millis(300);
/// Time without any event after which a holder takes itself to have been suspended, and its parts
/// are quarantined anew: the members may have changed meanwhile.
pub(crate) const STALL: Duration = Duration::from_secs(1);
/// Least and greatest time for which a holder that had too few tokens is not asked for more.
pub(crate) const MIN_EMPTY: Duration = Duration::from_millis(20);
/// See [`MIN_EMPTY`].
pub(crate) const MAX_EMPTY: Duration = Duration::from_millis(250);
/// Time after a refusal for which an entry node refuses without an ask. At the limit, it bounds
/// the asks of a node to 8 a second and account.
pub(crate) const REFUSAL_PAUSE: Duration = Duration::from_millis(125);
/// Greatest time that a refused caller is told to wait.
pub(crate) const MAX_RETRY: Duration = Duration::from_secs(30);
/// Rate of a part in requests a second from which on the account has more parts in each zone, so
/// that no holder answers more than some 25 asks a second for an account in usual use.
pub(crate) const SHARD_RATE_PER_S: f64 = 40.0;
/// Parts of an account in a zone.
pub(crate) const MAX_SHARDS: u8 = 16;
/// Tokens that an entry node asks for in advance.
pub(crate) const MAX_EXTRA_REQUESTS: u32 = 1_000;
/// Requests that wait at an entry node for tokens of one account.
pub(crate) const MAX_WAITERS: usize = 4_096;
/// Grants that an entry node remembers per account, to take their tokens back.
pub(crate) const MAX_SPENT: usize = 1_024;
/// Ids of asks that are remembered to recognise repeated ones.
pub(crate) const MAX_SEEN: usize = 1_024;
/// Greatest time for which a part does not collect tokens after others had less than one.
pub(crate) const MAX_GATHER_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a reported usage counts.
pub(crate) const USAGE_AGE: Duration = Duration::from_secs(2);
/// Time between two reports of requests that were refused without an ask.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a grant is remembered: the longest that a request is kept before it starts.
pub(crate) const SPENT_AGE: Duration = Duration::from_secs(10);
/// Time without a request after which an entry node forgets what it knows of an account; longer
/// than [`SPENT_AGE`].
pub(crate) const IDLE_AGE: Duration = Duration::from_secs(15);
/// Time for which refused callers are counted on to return; a usual time limit of a request.
pub(crate) const MAX_AHEAD: Duration = Duration::from_secs(5);
