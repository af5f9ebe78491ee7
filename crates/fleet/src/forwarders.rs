use core::time;
use std::collections;
use std::net;

use rand::seq::SliceRandom;

/// Most hosts that are asked for one attempt.
const CANDIDATES_MAX: usize = 12;

/// Near hosts that reach the service from which on no others are looked for. With fewer,
/// each request looks for another one, so that hosts do not lean on the first one that
/// they found.
const KNOWN_MIN: usize = 10;

/// Near hosts of which nothing is known that are asked before far ones, unless some of
/// these are known to reach the service. Bytes between data centres cost money.
const UNKNOWN_NEAR_MAX: usize = 2;

/// What a host said, or showed, when it was asked to forward a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The host has forwarded a request to an endpoint of the service.
    Reaches,
    /// The host forwards as many requests as it can.
    Busy,
    /// The host does not reach the service either, or is leaving.
    CutOff,
    /// The host does not answer.
    Silent,
    /// The host does not know how to forward requests.
    Incapable,
}

impl Verdict {
    /// Returns the time for which the verdict holds.
    const fn life(self) -> time::Duration {
        time::Duration::from_millis(match self {
            Self::Reaches => 5_000,
            Self::Busy => 300,
            Self::CutOff => 1_000,
            Self::Silent => 2_000,
            Self::Incapable => 10_000,
        })
    }
}

/// What is known of other hosts as ways to the endpoints of services.
#[derive(Clone, Debug, Default)]
pub struct Forwarders {
    /// Verdicts with their ends, by host and by the hash of the service.
    known: collections::HashMap<(net::SocketAddr, u64), (Verdict, time::Duration)>,
}

impl Forwarders {
    /// Records a verdict on a host for a service.
    pub fn record(
        &mut self,
        now: time::Duration,
        host: net::SocketAddr,
        service: u64,
        verdict: Verdict,
    ) {
        self.known.retain(|_, (_, until)| *until > now);
        let until = now + verdict.life();
        self.known.insert((host, service), (verdict, until));
    }

    /// Returns whether a host may be asked to forward a request to a service, unless it
    /// recently did not.
    pub fn may_forward(&self, now: time::Duration, host: net::SocketAddr, service: u64) -> bool {
        let known = self.known.get(&(host, service));
        known.is_none_or(|(verdict, until)| *until <= now || *verdict == Verdict::Reaches)
    }

    /// Returns the hosts to ask for a service, in this order. Among hosts of which the
    /// same is known the order is random, so that the hosts that are cut off spread
    /// their requests over those that are not.
    pub fn candidates(
        &self,
        now: time::Duration,
        service: u64,
        near: &[net::SocketAddr],
        far: &[net::SocketAddr],
        rng: &mut impl rand::Rng,
    ) -> Vec<net::SocketAddr> {
        let verdict = |host: &net::SocketAddr| {
            let known = self.known.get(&(*host, service));
            known.filter(|(_, until)| *until > now).map(|known| known.0)
        };
        let mut with = |hosts: &[net::SocketAddr], wanted: Option<Verdict>| {
            let matching = hosts.iter().filter(|host| verdict(host) == wanted);
            let mut matching: Vec<net::SocketAddr> = matching.copied().collect();
            matching.shuffle(rng);
            matching
        };
        let reaching = with(near, Some(Verdict::Reaches));
        let mut unknown = with(near, None);
        let mut candidates = Vec::new();
        if reaching.len() < KNOWN_MIN {
            candidates.extend(unknown.pop());
        }
        candidates.extend(reaching);
        let far_reaching = with(far, Some(Verdict::Reaches));
        let before_far = match far_reaching.is_empty() {
            true => UNKNOWN_NEAR_MAX.min(unknown.len()),
            false => 0,
        };
        let rest = unknown.split_off(before_far);
        candidates.extend(unknown);
        candidates.extend(far_reaching);
        candidates.extend(with(far, None));
        candidates.extend(rest);
        candidates.truncate(CANDIDATES_MAX);
        candidates
    }
}
