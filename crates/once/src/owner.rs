use core::time;
use std::collections;

use crate::claim;
use crate::options;
use crate::pause;
use crate::quorum;
use crate::rank;
use crate::since;

/// What this owner knows of another.
#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    /// Epoch and serial number of the last claim that may be acknowledged.
    last: Option<(u64, u64)>,
}

/// Decides whether this process lifetime may dispatch a caller's own key.
///
/// The state is volatile. The host calls [`Owner::tick`] several times per
/// second, sends the datagrams of [`Owner::claims`] at least twice per lease
/// and calls [`Owner::may_dispatch`] directly before each dispatch.
#[derive(Clone, Debug)]
pub struct Owner {
    name: String,
    incarnation: u64,
    options: options::Options,
    seen: collections::BTreeMap<String, Seen>,
    sent: collections::VecDeque<(u64, time::Duration)>,
    serial: u64,
    acked: quorum::Acked,
    since: since::Since,
    pause: pause::Pause,
    superseded: bool,
}

impl Owner {
    /// Returns an owner at the start of its lifetime.
    ///
    /// `incarnation` is the start in Unix milliseconds. All later `now`
    /// arguments are durations since that start.
    pub fn new(name: impl Into<String>, incarnation: u64, options: options::Options) -> Self {
        Self {
            name: name.into(),
            incarnation,
            options: normal(options),
            seen: collections::BTreeMap::new(),
            sent: collections::VecDeque::new(),
            serial: 0,
            acked: quorum::Acked::new(),
            since: since::Since::default(),
            pause: pause::Pause::default(),
            superseded: false,
        }
    }

    /// Puts new settings in force and returns whether it did.
    ///
    /// A lower epoch, and other settings under the same epoch, are refused.
    /// A higher epoch drops the lease.
    pub fn reconfigure(&mut self, options: options::Options) -> bool {
        let options = normal(options);
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

    /// Notices pauses and the end of the lease.
    pub fn tick(&mut self, now: time::Duration) {
        if self.pause.observe(now).is_some() {
            self.drop_lease();
        }
        self.update(now);
    }

    /// Returns the datagram for each other owner, with its receiver.
    ///
    /// A host that is neither an owner nor a previous one sends none, because
    /// the owners drop what they get from other names.
    pub fn claims(&mut self, now: time::Duration) -> Vec<(String, claim::Claim)> {
        self.tick(now);
        let mut voters = (self.options.owners.iter()).chain(&self.options.previous_owners);
        if !voters.any(|owner| *owner == self.name) {
            return Vec::new();
        }
        self.serial += 1;
        self.sent.push_back((self.serial, now));
        let lease = self.options.lease;
        self.sent.retain(|&(_, at)| now < at.saturating_add(lease));
        self.peers()
            .map(|peer| (peer.to_owned(), self.claim_for(now, peer)))
            .collect()
    }

    /// Takes a datagram from another owner.
    pub fn receive(&mut self, now: time::Duration, claim: &claim::Claim) {
        self.tick(now);
        if claim.name == self.name {
            self.meet_namesake(claim.incarnation);
            return;
        }
        if !self.peers().any(|peer| peer == claim.name) {
            return;
        }
        if !self.record(claim) || claim.epoch != self.options.epoch {
            return;
        }
        self.count(claim);
        self.update(now);
    }

    /// Returns whether the key may be dispatched now.
    ///
    /// `request_time` is the caller's time of its first attempt and `wall`
    /// this host's clock, both in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// `OwnerUnreachable` when this lifetime holds no lease on the key's
    /// range, `OutcomeUnknown` when an earlier lifetime may have run the key.
    /// Both have the run state `unknown`.
    pub fn may_dispatch(
        &mut self,
        now: time::Duration,
        key: &str,
        request_time: Option<u64>,
        wall: u64,
    ) -> Result<(), answer::Kind> {
        self.tick(now);
        if self.pause.jumped(now, wall) {
            self.drop_lease();
            self.update(now);
        }
        let owner = rank::owner_of(&self.options.owners, key);
        if owner != Some(self.name.as_str()) {
            return Err(answer::Kind::OwnerUnreachable);
        }
        let exclusive = self
            .exclusive_since(now)
            .ok_or(answer::Kind::OwnerUnreachable)?;
        let fresh = match request_time {
            Some(first) => self.is_fresh(now.saturating_sub(exclusive), first, wall),
            None => now > exclusive.saturating_add(self.options.retention()),
        };
        if fresh {
            Ok(())
        } else {
            Err(answer::Kind::OutcomeUnknown)
        }
    }

    /// Returns since when no other lifetime can hold the lease, if it is held.
    ///
    /// That is one lease after the first majority.
    pub fn exclusive_since(&self, now: time::Duration) -> Option<time::Duration> {
        let end = quorum::lease_end(&self.name, &self.options, &self.acked)?;
        let exclusive = self.since.start()?.saturating_add(self.options.lease);
        (!self.superseded && now < end && exclusive <= now).then_some(exclusive)
    }

    /// Returns whether a newer lifetime of the same name has been seen.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether the first attempt was made in exclusive time.
    fn is_fresh(&self, held: time::Duration, first: u64, wall: u64) -> bool {
        let skew = millis(self.options.clock_skew);
        let begin = wall.saturating_sub(millis(held)).saturating_add(skew);
        let oldest = wall.saturating_sub(millis(self.options.resend_max_age));
        first > begin && first >= oldest && first <= wall.saturating_add(skew)
    }

    /// Stops for good when a newer lifetime of the same name is alive.
    fn meet_namesake(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            self.superseded = true;
            self.drop_lease();
        }
    }

    /// Records a claim and returns whether its sender is the newest lifetime.
    fn record(&mut self, claim: &claim::Claim) -> bool {
        let seen = self.seen.entry(claim.name.clone()).or_insert(Seen {
            incarnation: claim.incarnation,
            last: None,
        });
        if claim.incarnation < seen.incarnation {
            return false;
        }
        if claim.incarnation > seen.incarnation {
            *seen = Seen {
                incarnation: claim.incarnation,
                last: None,
            };
        }
        let last = (claim.epoch, claim.serial);
        if seen.last.is_none_or(|earlier| earlier < last) {
            seen.last = Some(last);
        }
        true
    }

    /// Counts the acknowledgement that a claim carries.
    fn count(&mut self, claim: &claim::Claim) {
        let Some(ack) = claim.ack else { return };
        self.meet_namesake(ack.incarnation);
        if ack.incarnation != self.incarnation || ack.epoch != self.options.epoch {
            return;
        }
        let sent = self.sent.iter().find(|(serial, _)| *serial == ack.serial);
        if let Some(&(_, at)) = sent {
            let newest = self.acked.entry(claim.name.clone()).or_insert(at);
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
        if self.superseded || now < self.options.ack_delay() {
            return None;
        }
        let seen = self.seen.get(peer)?;
        let (epoch, serial) = seen.last?;
        (epoch == self.options.epoch).then_some(claim::Ack {
            incarnation: seen.incarnation,
            epoch,
            serial,
        })
    }

    /// Lists the other owners, before and after the change in progress.
    fn peers(&self) -> impl Iterator<Item = &str> {
        let earlier = &self.options.previous_owners;
        let fresh = earlier
            .iter()
            .filter(|name| !self.options.owners.contains(name));
        self.options
            .owners
            .iter()
            .chain(fresh)
            .map(String::as_str)
            .filter(|name| *name != self.name)
    }

    fn drop_lease(&mut self) {
        self.acked.clear();
        self.sent.clear();
        self.since.clear();
    }

    fn update(&mut self, now: time::Duration) {
        let end = quorum::lease_end(&self.name, &self.options, &self.acked);
        self.since.update(now, end);
    }
}

fn normal(mut options: options::Options) -> options::Options {
    options.owners.sort_unstable();
    options.owners.dedup();
    options.previous_owners.sort_unstable();
    options.previous_owners.dedup();
    options
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
