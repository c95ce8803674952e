use std::time::Duration;

use proptest::prelude::*;

/// Probabilities of faults, in thousandths.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// A link cannot be opened; nothing is sent.
    pub connect: u32,
    /// A link breaks after the request was sent; the request may still arrive.
    pub cut_request: u32,
    /// The answer is lost.
    pub cut_answer: u32,
    /// A message takes up to two seconds longer.
    pub delay: u32,
    /// The local upstream accepts no connection.
    pub upstream_closed: u32,
    /// The local upstream runs the request and fails.
    pub upstream_fails: u32,
    /// The answer of the local upstream is cut off.
    pub upstream_breaks: u32,
    /// A claim is applied, but its answer is lost.
    pub claim_lost: u32,
    /// A claim is not applied and fails.
    pub claim_fails: u32,
    /// A client sends again while its previous send is in progress.
    pub early_resend: u32,
    /// An upstream continues a cancelled request.
    pub ignores_cancel: u32,
    /// An upstream cancels one of its calls before the answer.
    pub upstream_cancels: u32,
}

/// Kind of idempotency key that the clients' requests carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyKind {
    None,
    Client,
    Bound,
}

/// Action of an operator, or failure of a host or of the network.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// Replaces a node by a new incarnation.
    Restart(usize),
    /// Pauses a node for this many milliseconds.
    Pause(usize, u64),
    /// Drains a node.
    Drain(usize),
    /// Disconnects the two zones from each other for this many milliseconds.
    CutZones(u64),
}

/// A deliberate fault that the audit has to detect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Sabotage {
    #[default]
    None,
    /// A lost answer is reported as a request that was not sent.
    ResendAfterLoss,
    /// Every claim of a client's key is granted.
    GrantEveryClaim,
    /// Calls between nodes carry no share, so that each gets a new grant.
    FreshGrants,
    /// Refusals report that nothing ran.
    ClaimNotRun,
}

/// Parameters of one simulated history.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// Services in the chain; each has two endpoints, one in each zone.
    pub depth: usize,
    /// Concurrent calls that each upstream makes to the next service.
    pub width: usize,
    /// Retries that an upstream makes for a failed call.
    pub upstream_retries: u32,
    pub grant: u32,
    pub requests: usize,
    pub sends: u32,
    /// Whether clients number their sends.
    pub is_numbered: bool,
    pub non_idempotent: bool,
    pub key: KeyKind,
    /// Whether calls of the upstreams are also non-idempotent.
    pub non_idempotent_downstream: bool,
    /// Whether keys expire within seconds and tables hold three keys and no answers.
    pub small_tables: bool,
    pub faults: Faults,
    pub incidents: Vec<(u64, Incident)>,
    pub sabotage: Sabotage,
}

impl Scenario {
    /// Time after which clients send no more requests.
    pub const END: Duration = Duration::from_secs(40);

    /// Creates a chain without faults.
    pub fn calm(depth: usize, width: usize) -> Self {
        Self {
            seed: 1,
            depth,
            width,
            upstream_retries: 0,
            grant: 64,
            requests: 1,
            sends: 1,
            is_numbered: true,
            non_idempotent: false,
            key: KeyKind::None,
            non_idempotent_downstream: false,
            small_tables: false,
            faults: Faults::default(),
            incidents: Vec::new(),
            sabotage: Sabotage::None,
        }
    }

    pub fn endpoints(&self) -> usize {
        self.depth * 2
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let chance = || prop_oneof![2 => Just(0_u32), 1 => Just(30_u32), 1 => Just(250_u32)];
    let links = (chance(), chance(), chance(), chance());
    let upstreams = (chance(), chance(), chance());
    let claims = (chance(), chance(), chance(), chance(), chance());
    (links, upstreams, claims).prop_map(|(links, upstreams, claims)| Faults {
        connect: links.0,
        cut_request: links.1,
        cut_answer: links.2,
        delay: links.3,
        upstream_closed: upstreams.0,
        upstream_fails: upstreams.1,
        upstream_breaks: upstreams.2,
        claim_lost: claims.0,
        claim_fails: claims.1,
        early_resend: claims.2,
        ignores_cancel: claims.3,
        upstream_cancels: claims.4,
    })
}

fn incident() -> impl Strategy<Value = (u64, Incident)> {
    let kind = prop_oneof![
        (0..28_usize).prop_map(Incident::Restart),
        (0..28_usize, 500..6_000_u64)
            .prop_map(|(site, duration_ms)| Incident::Pause(site, duration_ms)),
        (0..28_usize).prop_map(Incident::Drain),
        (200..6_000_u64).prop_map(Incident::CutZones),
    ];
    (0..4_000_u64, kind)
}

fn shape() -> impl Strategy<Value = (usize, usize)> {
    prop_oneof![(1..=3_usize, 1..=4_usize), (1..=14_usize, Just(1_usize))]
}

/// Generates histories with all kinds of faults and incidents.
pub fn scenarios() -> impl Strategy<Value = Scenario> {
    let key = prop_oneof![Just(KeyKind::None), Just(KeyKind::Client), Just(KeyKind::Bound)];
    let load = (0..3_u32, 4..200_u32, 1..4_usize, 1..6_u32);
    let kind = (any::<bool>(), key, any::<bool>(), any::<bool>(), prop::bool::weighted(0.2));
    let incidents = prop::collection::vec(incident(), 0..4);
    (any::<u64>(), shape(), load, kind, faults(), incidents).prop_map(
        |(
            seed,
            (depth, width),
            load,
            (is_non_idempotent, key, is_downstream_non_idempotent, is_numbered, small_tables),
            faults,
            incidents,
        )| {
            Scenario {
                seed,
                depth,
                width,
                upstream_retries: load.0,
                grant: load.1,
                requests: load.2,
                sends: load.3,
                is_numbered,
                non_idempotent: is_non_idempotent,
                key,
                non_idempotent_downstream: is_downstream_non_idempotent,
                small_tables,
                faults,
                incidents,
                sabotage: Sabotage::None,
            }
        },
    )
}
