use core::time;
use std::collections;

use crate::claim;
use crate::lease;
use crate::options;
use crate::pause;
use crate::quorum;
use crate::rank;

/// The newest lifetime seen of another owner.
#[derive(Clone, Copy, Debug)]
struct Lifetime {
    incarnation: u64,
    /// Epoch and serial number of the last claim that may be acknowledged.
    last_claim: Option<(u64, u64)>,
}

/// Decides whether this process lifetime may dispatch a caller's own key.
///
/// It may while it holds a lease that a quorum of the other owners has
/// acknowledged. Nothing is stored on disk. The host must call [`Owner::tick`]
/// several times per second, send the datagrams of [`Owner::claims`] at least
/// twice per lease and call [`Owner::may_dispatch`] directly before each
/// dispatch.
#[derive(Clone, Debug)]
pub struct Owner {
    name: String,
    incarnation: u64,
    options: options::Options,
    lifetimes: collections::BTreeMap<String, Lifetime>,
    /// Serial number and send time of the claims that may still be acknowledged.
    sent_claims: collections::VecDeque<(u64, time::Duration)>,
    serial: u64,
    acks: quorum::Acks,
    lease: lease::Lease,
    pause: pause::Detector,
    is_superseded: bool,
}

impl Owner {
    /// Returns an owner at the start of its lifetime.
    ///
    /// `incarnation` is the start of the lifetime in Unix milliseconds. All
    /// `now` arguments are monotonic durations since that start.
    pub fn new(name: impl Into<String>, incarnation: u64, options: options::Options) -> Self {
        Self {
            name: name.into(),
            incarnation,
            options: normalize(options),
            lifetimes: collections::BTreeMap::new(),
            sent_claims: collections::VecDeque::new(),
            serial: 0,
            acks: quorum::Acks::new(),
            lease: lease::Lease::default(),
            pause: pause::Detector::default(),
            is_superseded: false,
        }
    }

    /// Puts new settings in force and returns whether they are in force.
    ///
    /// A lower epoch, and other settings under the same epoch, are refused.
    /// A higher epoch drops the lease.
    pub fn reconfigure(&mut self, options: options::Options) -> bool {
        let options = normalize(options);
        if options == self.options {
            return true;
        }
        if options.epoch <= self.options.epoch {
            return false;
        }
        self.options = options;
        self.drop_lease();
        true
    }

    /// Detects pauses, which drop the lease, and the end of the lease.
    pub fn tick(&mut self, now: time::Duration) {
        if self.pause.observe(now).is_some() {
            self.drop_lease();
        }
        self.update_lease(now);
    }

    /// Returns the claims to send now, each with the host name of its receiver.
    ///
    /// A host that is neither an owner nor a previous one sends none, because
    /// the owners drop claims from other names.
    pub fn claims(&mut self, now: time::Duration) -> Vec<(String, claim::Claim)> {
        self.tick(now);
        let mut voters = (self.options.owners.iter()).chain(&self.options.previous_owners);
        if !voters.any(|owner| *owner == self.name) {
            return Vec::new();
        }
        self.serial += 1;
        self.sent_claims.push_back((self.serial, now));
        let lease = self.options.lease;
        self.sent_claims
            .retain(|&(_, at)| now < at.saturating_add(lease));
        self.peers()
            .map(|peer| (peer.to_owned(), self.claim_for(now, peer)))
            .collect()
    }

    /// Processes a claim from another owner.
    ///
    /// A claim with the own name only serves to detect a newer lifetime.
    /// Claims from hosts that are no owners are ignored.
    pub fn receive(&mut self, now: time::Duration, claim: &claim::Claim) {
        self.tick(now);
        if claim.name == self.name {
            self.check_own_lifetime(claim.incarnation);
            return;
        }
        if !self.peers().any(|peer| peer == claim.name) {
            return;
        }
        if !self.record_claim(claim) || claim.epoch != self.options.epoch {
            return;
        }
        self.count_ack(claim);
        self.update_lease(now);
    }

    /// Returns whether the key may be dispatched now.
    ///
    /// `request_time` is the caller's time of its first attempt, if it gives
    /// one, and `wall` the time of this host's clock, both in Unix
    /// milliseconds. Without a `request_time`, a key is dispatched only after
    /// exclusive time has lasted for
    /// [`Options::retention`](crate::Options::retention): by then no caller may
    /// send a key again that it first sent before that time.
    ///
    /// # Errors
    ///
    /// `OwnerUnreachable` if this host is not the owner of the key or does not
    /// hold the lease exclusively, `OutcomeUnknown` if an earlier lifetime may have
    /// run the key. Both have the run state `unknown`.
    pub fn may_dispatch(
        &mut self,
        now: time::Duration,
        key: &str,
        request_time: Option<u64>,
        wall: u64,
    ) -> Result<(), answer::Kind> {
        self.tick(now);
        if self.pause.is_clock_jump(now, wall) {
            self.drop_lease();
            self.update_lease(now);
        }
        let owner = rank::owner_of(&self.options.owners, key);
        if owner != Some(self.name.as_str()) {
            return Err(answer::Kind::OwnerUnreachable);
        }
        let exclusive = self
            .exclusive_since(now)
            .ok_or(answer::Kind::OwnerUnreachable)?;
        let is_permitted = match request_time {
            Some(first) => self.is_fresh(now.saturating_sub(exclusive), first, wall),
            None => now > exclusive.saturating_add(self.options.retention()),
        };
        if is_permitted {
            Ok(())
        } else {
            Err(answer::Kind::OutcomeUnknown)
        }
    }

    /// Returns the time since which no other lifetime can hold the lease; `None`
    /// if this one does not hold it exclusively.
    ///
    /// That time is one lease after the quorum was reached, as long as it has been
    /// held without a gap since then.
    pub fn exclusive_since(&self, now: time::Duration) -> Option<time::Duration> {
        let end = quorum::lease_end(&self.name, &self.options, &self.acks)?;
        let exclusive = self.lease.held_since()?.saturating_add(self.options.lease);
        (!self.is_superseded && now < end && exclusive <= now).then_some(exclusive)
    }

    /// Returns whether a newer lifetime of the same name has been seen.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns whether the first attempt was made in exclusive time and no
    /// longer ago than callers may send again.
    ///
    /// `held` is the length of exclusive time so far.
    fn is_fresh(&self, held: time::Duration, first: u64, wall: u64) -> bool {
        let skew = millis(self.options.clock_skew);
        let begin = wall.saturating_sub(millis(held)).saturating_add(skew);
        let oldest = wall.saturating_sub(millis(self.options.resend_max_age));
        first > begin && first >= oldest && first <= wall.saturating_add(skew)
    }

    /// Stops dispatching permanently if a newer lifetime of the own name exists.
    fn check_own_lifetime(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            self.is_superseded = true;
            self.drop_lease();
        }
    }

    /// Records a claim and returns whether its sender is the newest lifetime.
    fn record_claim(&mut self, claim: &claim::Claim) -> bool {
        let newest = self
            .lifetimes
            .entry(claim.name.clone())
            .or_insert(Lifetime {
                incarnation: claim.incarnation,
                last_claim: None,
            });
        if claim.incarnation < newest.incarnation {
            return false;
        }
        if claim.incarnation > newest.incarnation {
            *newest = Lifetime {
                incarnation: claim.incarnation,
                last_claim: None,
            };
        }
        let last = (claim.epoch, claim.serial);
        if newest.last_claim.is_none_or(|earlier| earlier < last) {
            newest.last_claim = Some(last);
        }
        true
    }

    /// Counts the acknowledgement that a claim carries.
    ///
    /// It counts from the sending of the acknowledged claim, not from its own
    /// arrival, so that a delayed datagram does not extend the lease.
    fn count_ack(&mut self, claim: &claim::Claim) {
        let Some(ack) = claim.ack else { return };
        self.check_own_lifetime(ack.incarnation);
        if ack.incarnation != self.incarnation || ack.epoch != self.options.epoch {
            return;
        }
        let sent = self
            .sent_claims
            .iter()
            .find(|(serial, _)| *serial == ack.serial);
        if let Some(&(_, at)) = sent {
            let newest = self.acks.entry(claim.name.clone()).or_insert(at);
            *newest = (*newest).max(at);
        }
    }

    fn claim_for(&self, now: time::Duration, peer: &str) -> claim::Claim {
        claim::Claim {
            name: self.name.clone(),
            incarnation: self.incarnation,
            epoch: self.options.epoch,
            serial: self.serial,
            ack: self.ack_for(now, peer),
        }
    }

    fn ack_for(&self, now: time::Duration, peer: &str) -> Option<claim::Ack> {
        if self.is_superseded || now < self.options.ack_delay() {
            return None;
        }
        let newest = self.lifetimes.get(peer)?;
        let (epoch, serial) = newest.last_claim?;
        (epoch == self.options.epoch).then_some(claim::Ack {
            incarnation: newest.incarnation,
            epoch,
            serial,
        })
    }

    /// Returns the names of the other owners, those of before a change included.
    fn peers(&self) -> impl Iterator<Item = &str> {
        let previous = &self.options.previous_owners;
        let removed = previous
            .iter()
            .filter(|name| !self.options.owners.contains(name));
        self.options
            .owners
            .iter()
            .chain(removed)
            .map(String::as_str)
            .filter(|name| *name != self.name)
    }

    fn drop_lease(&mut self) {
        self.acks.clear();
        self.sent_claims.clear();
        self.lease.clear();
    }

    fn update_lease(&mut self, now: time::Duration) {
        let end = quorum::lease_end(&self.name, &self.options, &self.acks);
        self.lease.update(now, end);
    }
}

/// Sorts and deduplicates the names, so that their order does not count.
fn normalize(mut options: options::Options) -> options::Options {
    options.owners.sort_unstable();
    options.owners.dedup();
    options.previous_owners.sort_unstable();
    options.previous_owners.dedup();
    options
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
