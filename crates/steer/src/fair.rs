use core::time;

/// Time constant of the exponential decay in seconds. Each of many small hosts sees a few
/// requests in a second, and tells the shares of teams apart from some tens of them.
const DECAY_S: f64 = 10.0;

/// Multiple of the equal share from which on a team is refused first.
const OVER: f64 = 2.0;

/// Requests below which shares are chance.
const REQUESTS_MIN: f64 = 12.0;

/// Teams that are tracked at once.
const TEAMS_MAX: usize = 256;

/// Prompt tokens and requests of one team.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
struct Use {
    tokens: f64,
    requests: f64,
    updated: time::Duration,
}

impl Use {
    fn at(self, now: time::Duration) -> Self {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let left = (-age / DECAY_S).exp();
        Self {
            tokens: self.tokens * left,
            requests: self.requests * left,
            updated: now,
        }
    }
}

/// Recent use of a service by team, at this host. Callers come to any host, so each host
/// sees a sample of all.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Shares(rustc_hash::FxHashMap<u32, Use>);

impl Shares {
    /// Records a request.
    pub(crate) fn record(&mut self, now: time::Duration, team: u32, tokens: f64) {
        if self.0.len() >= TEAMS_MAX && !self.0.contains_key(&team) {
            self.0.retain(|_, known| known.at(now).requests >= 0.5);
            if self.0.len() >= TEAMS_MAX {
                return;
            }
        }
        let known = self.0.entry(team).or_default();
        *known = known.at(now);
        known.tokens += tokens;
        known.requests += 1.0;
    }

    /// Returns whether the team uses much more than the equal share of the teams that
    /// sent requests lately.
    pub(crate) fn is_over(&self, now: time::Duration, team: u32) -> bool {
        let uses = self.0.values().map(|known| known.at(now));
        let (mut tokens, mut requests, mut teams) = (0.0, 0.0, 0.0);
        for known in uses.filter(|known| known.requests >= 0.1) {
            tokens += known.tokens;
            requests += known.requests;
            teams += 1.0;
        }
        let own = self.0.get(&team).map_or(0.0, |known| known.at(now).tokens);
        requests >= REQUESTS_MIN && teams > 1.0 && own * teams > tokens * OVER
    }
}
