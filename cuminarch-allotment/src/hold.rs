use cuminarch_types::MonoTime;

/// Tokens with the times at which they expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hold {
    /// In order of expiry.
    tokens: Vec<(MonoTime, u64)>,
}

impl Hold {
    pub(crate) fn add(&mut self, expires_at: MonoTime, micro: u64) {
        if micro == 0 {
            return;
        }
        let place = self.tokens.partition_point(|(known, _)| *known < expires_at);
        match self.tokens.get_mut(place) {
            Some((known, held)) if *known == expires_at => *held += micro,
            _ => self.tokens.insert(place, (expires_at, micro)),
        }
    }

    /// Drops what has expired.
    pub(crate) fn purge(&mut self, now: MonoTime) {
        let expired = self.tokens.partition_point(|(expires_at, _)| *expires_at <= now);
        self.tokens.drain(..expired);
    }

    pub(crate) fn level_micro(&self) -> u64 {
        self.tokens.iter().map(|(_, micro)| micro).sum()
    }

    /// Takes up to `micro`, those that expire first before others; returns how much and the
    /// earliest expiry among it.
    pub(crate) fn take(&mut self, micro: u64) -> (u64, Option<MonoTime>) {
        let mut taken = 0;
        let earliest = self.tokens.first().map(|(expires_at, _)| *expires_at);
        while taken < micro
            && let Some((_, held)) = self.tokens.first_mut()
        {
            let part = (*held).min(micro - taken);
            *held -= part;
            taken += part;
            if *held == 0 {
                self.tokens.remove(0);
            }
        }
        (taken, if taken > 0 { earliest } else { None })
    }

    /// Takes all of it.
    pub(crate) fn take_all(&mut self) -> u64 {
        let all = self.level_micro();
        self.tokens.clear();
        all
    }
}
