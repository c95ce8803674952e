use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Number of daemons: two that callers send requests to, and two downstream of them.
pub const SITE_COUNT: usize = 4;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Bytes are delayed by this time.
    Delay(Duration),
    /// Nothing is forwarded in either direction until the fault ends.
    Silence,
    /// Requests are forwarded; answers are not until the fault ends.
    CutAnswers,
    /// Connections are reset, new ones immediately.
    Reset,
}

impl fmt::Display for LinkFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => formatter.write_str("none"),
            Self::Delay(delay) => write!(formatter, "delay of {} ms", delay.as_millis()),
            Self::Silence => formatter.write_str("silence"),
            Self::CutAnswers => formatter.write_str("cut answers"),
            Self::Reset => formatter.write_str("reset"),
        }
    }
}

/// An injected fault; sites are counted from zero, entry sites first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A daemon is killed, and restarted at the end.
    Kill(usize),
    /// A daemon is stopped (SIGSTOP), and continued at the end.
    Pause(usize),
    /// A daemon is terminated (SIGTERM), and restarted at the end.
    Terminate(usize),
    /// A fault of the connections from a daemon to its upstream.
    Upstream(usize, LinkFault),
    /// A fault of the connections from a daemon to the platform.
    Platform(usize, LinkFault),
    /// Every call to the platform fails.
    PlatformDown,
    /// Writes to the platform are applied, but their answers are lost.
    PlatformLosesAnswers,
    /// Calls to the platform are delayed by this time.
    PlatformSlow(Duration),
    /// The next configuration revision is written.
    NewConfiguration,
}

impl Fault {
    /// Number of fault kinds; below, of link fault kinds.
    const KIND_COUNT: u32 = 9;
    const LINK_KIND_COUNT: u32 = 4;
    /// A fifth of the deadline in the soak's configuration: delayed requests can still
    /// complete.
    const MAX_DELAY_MS: u16 = 400;

    /// Returns a random fault; all kinds are equally likely.
    pub fn random(rng: &mut ChaCha8Rng) -> Self {
        let site = rng.random_range(0..SITE_COUNT);
        match rng.random_range(0..Self::KIND_COUNT) {
            0 => Self::Kill(site),
            1 => Self::Pause(site),
            2 => Self::Terminate(site),
            3 => Self::Upstream(site, random_link_fault(rng)),
            4 => Self::Platform(site, random_link_fault(rng)),
            5 => Self::PlatformDown,
            6 => Self::PlatformLosesAnswers,
            7 => Self::PlatformSlow(random_delay(rng)),
            _ => Self::NewConfiguration,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(site) => write!(formatter, "kill of site {site}"),
            Self::Pause(site) => write!(formatter, "pause of site {site}"),
            Self::Terminate(site) => write!(formatter, "termination of site {site}"),
            Self::Upstream(site, fault) => write!(formatter, "upstream of site {site}: {fault}"),
            Self::Platform(site, fault) => write!(formatter, "platform of site {site}: {fault}"),
            Self::PlatformDown => formatter.write_str("platform down"),
            Self::PlatformLosesAnswers => formatter.write_str("platform loses answers"),
            Self::PlatformSlow(delay) => {
                write!(formatter, "platform slow by {} ms", delay.as_millis())
            }
            Self::NewConfiguration => formatter.write_str("new configuration"),
        }
    }
}

fn random_link_fault(rng: &mut ChaCha8Rng) -> LinkFault {
    match rng.random_range(0..Fault::LINK_KIND_COUNT) {
        0 => LinkFault::Delay(random_delay(rng)),
        1 => LinkFault::Silence,
        2 => LinkFault::CutAnswers,
        _ => LinkFault::Reset,
    }
}

fn random_delay(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(u64::from(rng.random_range(1..Fault::MAX_DELAY_MS)))
}
