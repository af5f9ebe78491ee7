//! Account of the memory that callers can fill, as a function of state and time.

mod holder;
mod kind;
mod limits;

use core::time;
use std::collections;
use std::net;

use holder::{Holder, Phase};
pub use kind::{Held, Kind};
pub use limits::Limits;

slotmap::new_key_type! {
    /// Holder of memory in an [`Account`].
    pub struct Key;
}

/// Part of the bytes beyond which the share of one address is limited. Callers may
/// share the address of a gateway, so below it an address may use everything.
const SCARCE: (usize, usize) = (3, 4);

/// Part of the bytes that one address may hold while memory is scarce.
const ADDRESS_SHARE: (usize, usize) = (1, 2);

/// Part of the bytes by which those of holders that have been cut off, but have not
/// ended yet, may exceed the bound.
const EXCESS: (usize, usize) = (1, 8);

/// Delay behind the least rate from which a holder may be cut off. Callers that send
/// without pause stay below it, even on a busy host.
const BEHIND_MIN: time::Duration = time::Duration::from_millis(250);

/// Bytes besides those of a connection up to which a holder may use the reserve. Ordinary
/// requests are smaller.
const SMALL_BYTES_MAX: usize = 16 * 1024;

/// Account of the memory that callers fill.
#[derive(Debug)]
pub struct Account {
    limits: Limits,
    holders: slotmap::SlotMap<Key, Holder>,
    addresses: collections::HashMap<net::IpAddr, Address>,
    held: Held,
    /// The part of `held` that belongs to holders that were cut off.
    ending: Held,
}

#[derive(Debug, Default)]
struct Address {
    holders: usize,
    /// Bytes of the holders that were not cut off.
    bytes: usize,
}

/// Why bytes cannot be reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Full {
    /// The account is full, and no holder has fallen behind.
    All,
    /// The address holds its share of an account that is scarce.
    Address,
    /// The holder itself was cut off.
    Cut,
}

/// Result of [`Account::reserve`].
#[derive(Debug)]
pub struct Verdict {
    /// Whether the bytes are reserved.
    pub result: Result<(), Full>,
    /// Holders that were cut off and have to end.
    pub cut: Vec<Key>,
}

/// What prevents a reservation, and which holders could make room for it.
#[derive(Clone, Copy, Debug)]
enum Shortage {
    All,
    Bodies,
    Address(net::IpAddr),
}

impl Account {
    /// Creates an empty account.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            holders: slotmap::SlotMap::with_key(),
            addresses: collections::HashMap::new(),
            held: Held::default(),
            ending: Held::default(),
        }
    }

    /// Replaces the bounds. Bytes that are reserved stay so.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the longest time in which a caller should send or read this many bytes.
    pub fn time_of(&self, bytes: usize) -> time::Duration {
        self.limits.time_of(bytes)
    }

    /// Adds a holder without bytes, which waits for the caller at this address.
    pub fn open(&mut self, now: time::Duration, address: net::IpAddr) -> Key {
        self.addresses.entry(address).or_default().holders += 1;
        self.holders.insert(Holder {
            address,
            held: Held::default(),
            phase: Phase::Waiting(now),
            is_cut: false,
        })
    }

    /// Removes a holder and releases what it still holds.
    pub fn close(&mut self, key: Key) {
        for kind in Kind::ALL {
            self.release(key, kind, usize::MAX);
        }
        let Some(holder) = self.holders.remove(key) else {
            return;
        };
        if let Some(address) = self.addresses.get_mut(&holder.address) {
            address.holders -= 1;
            if address.holders == 0 {
                self.addresses.remove(&holder.address);
            }
        }
    }

    /// Records that the holder waits for its caller from now on, or for the host.
    pub fn set_waiting(&mut self, now: time::Duration, key: Key, is_waiting: bool) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.phase = match is_waiting {
                true => Phase::Waiting(now),
                false => Phase::Served,
            };
        }
    }

    /// Records bytes that the caller of a waiting holder has sent or read.
    pub fn record(&mut self, now: time::Duration, key: Key, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key)
            && let Phase::Waiting(since) = &mut holder.phase
        {
            *since = now.min(*since + self.limits.time_of(bytes));
        }
    }

    /// Returns for how long the holder has been behind the least rate.
    pub fn behind(&self, now: time::Duration, key: Key) -> time::Duration {
        self.holders
            .get(key)
            .map_or(time::Duration::ZERO, |holder| holder.behind(now))
    }

    /// Reserves bytes. If the account is full, cuts off the holders that have held the
    /// most bytes behind the least rate for the longest time, other than this one.
    pub fn reserve(&mut self, now: time::Duration, key: Key, kind: Kind, bytes: usize) -> Verdict {
        let mut cut = Vec::new();
        let result = self.make_room(now, key, kind, bytes, &mut cut);
        if result.is_ok()
            && let Some(holder) = self.holders.get_mut(key)
        {
            holder.held[kind as usize] += bytes;
            self.held[kind as usize] += bytes;
            if let Some(address) = self.addresses.get_mut(&holder.address) {
                address.bytes += bytes;
            }
        }
        Verdict { result, cut }
    }

    /// Releases at most as many bytes as the holder has reserved of this kind.
    pub fn release(&mut self, key: Key, kind: Kind, bytes: usize) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let kind = kind as usize;
        let bytes = bytes.min(holder.held[kind]);
        holder.held[kind] -= bytes;
        self.held[kind] -= bytes;
        if holder.is_cut {
            self.ending[kind] -= bytes;
        } else if let Some(address) = self.addresses.get_mut(&holder.address) {
            address.bytes -= bytes;
        }
    }

    /// Returns the reserved bytes by kind.
    pub const fn held(&self) -> Held {
        self.held
    }

    /// Returns the number of holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether so much is reserved that the share of an address is limited.
    pub fn is_scarce(&self) -> bool {
        sum(self.held) > part(self.limits.bytes, SCARCE)
            || self.held[Kind::Body as usize] > part(self.limits.body_bytes, SCARCE)
    }

    /// Cuts off the open connection that has waited for its caller for the longest time,
    /// among those that `is_candidate` accepts and that have waited for at least
    /// `idle_min`. Connections of an address that has more than half of the holders go
    /// first.
    pub fn cut_idlest(
        &mut self,
        now: time::Duration,
        idle_min: time::Duration,
        is_candidate: impl Fn(Key) -> bool,
    ) -> Option<Key> {
        let weight = |holder: &Holder| {
            let of_address = self.addresses.get(&holder.address);
            let holders = of_address.map_or(0, |found| found.holders);
            (holders > self.holders.len() / 2, holder.behind(now))
        };
        let (key, _) = self
            .holders
            .iter()
            .filter(|(_, holder)| !holder.is_cut && holder.held[Kind::Connection as usize] > 0)
            .filter(|&(key, _)| is_candidate(key))
            .map(|(key, holder)| (key, weight(holder)))
            .filter(|(_, (_, behind))| *behind >= idle_min)
            .max_by_key(|&(_, weight)| weight)?;
        self.cut(key);
        Some(key)
    }

    /// Returns whether one of the connections that `is_candidate` accepts waits for its
    /// caller or has been cut off, so that it may end soon.
    pub fn is_any_waiting(&self, is_candidate: impl Fn(Key) -> bool) -> bool {
        let is_waiting = |holder: &Holder| matches!(holder.phase, Phase::Waiting(_));
        self.holders
            .iter()
            .filter(|(_, holder)| holder.held[Kind::Connection as usize] > 0)
            .any(|(key, holder)| (holder.is_cut || is_waiting(holder)) && is_candidate(key))
    }

    fn make_room(
        &mut self,
        now: time::Duration,
        key: Key,
        kind: Kind,
        bytes: usize,
        cut: &mut Vec<Key>,
    ) -> Result<(), Full> {
        if self.holders.get(key).is_none_or(|holder| holder.is_cut) {
            return Err(Full::Cut);
        }
        let bound = self.bound(self.is_small(key, kind, bytes));
        let excess = part(bound, EXCESS);
        if sum(self.held).saturating_add(bytes) > bound.saturating_add(excess) {
            // What was cut off has not ended yet; more of it would not help sooner.
            return Err(Full::All);
        }
        while let Some(shortage) = self.shortage(key, kind, bytes) {
            let worst = self.worst(now, |other, holder| {
                other != key
                    && match shortage {
                        Shortage::All => true,
                        Shortage::Bodies => holder.held[Kind::Body as usize] > 0,
                        Shortage::Address(address) => holder.address == address,
                    }
            });
            let Some(worst) = worst else {
                return Err(match shortage {
                    Shortage::Address(_) => Full::Address,
                    Shortage::All | Shortage::Bodies => Full::All,
                });
            };
            self.cut(worst);
            cut.push(worst);
        }
        Ok(())
    }

    /// Returns whether the holder has few bytes after a reservation.
    fn is_small(&self, key: Key, kind: Kind, bytes: usize) -> bool {
        let filled = self.holders.get(key).map_or(0, Holder::filled);
        let added = if kind == Kind::Connection { 0 } else { bytes };
        filled.saturating_add(added) <= SMALL_BYTES_MAX
    }

    /// Returns the bytes up to which holders reserve.
    fn bound(&self, is_small: bool) -> usize {
        let reserve = if is_small {
            self.limits.reserve_bytes
        } else {
            0
        };
        self.limits.bytes.saturating_add(reserve)
    }

    fn shortage(&self, key: Key, kind: Kind, bytes: usize) -> Option<Shortage> {
        let is_small = self.is_small(key, kind, bytes);
        let all = sum(self.held).saturating_sub(sum(self.ending));
        let all = all.saturating_add(bytes);
        let index = Kind::Body as usize;
        let bodies = match kind {
            Kind::Body => (self.held[index] - self.ending[index]).saturating_add(bytes),
            _ => 0,
        };
        let is_scarce =
            all > part(self.limits.bytes, SCARCE) || bodies > part(self.limits.body_bytes, SCARCE);
        let address = self.holders.get(key).map(|holder| holder.address)?;
        let of_address = self.addresses.get(&address).map_or(0, |found| found.bytes);
        let share = part(self.limits.bytes, ADDRESS_SHARE);
        let body_share = part(self.limits.body_bytes, ADDRESS_SHARE);
        let share = if kind == Kind::Body {
            share.min(body_share)
        } else {
            share
        };
        // An address without other callers beside it may use everything.
        let is_alone = self.addresses.len() == 1;
        if is_scarce && !is_alone && of_address.saturating_add(bytes) > share {
            return Some(Shortage::Address(address));
        }
        if bodies > self.limits.body_bytes && !is_small {
            return Some(Shortage::Bodies);
        }
        (all > self.bound(is_small)).then_some(Shortage::All)
    }

    fn worst(
        &self,
        now: time::Duration,
        is_candidate: impl Fn(Key, &Holder) -> bool,
    ) -> Option<Key> {
        self.holders
            .iter()
            .filter(|(_, holder)| !holder.is_cut)
            .filter(|&(key, holder)| is_candidate(key, holder))
            .filter_map(|(key, holder)| {
                let behind = holder.behind(now);
                // An idle connection frees little, however long it has been idle.
                let connection = holder.held[Kind::Connection as usize];
                let filled = holder.filled();
                let weigh = |bytes: usize| bytes as u128 * behind.as_millis();
                let is_late = behind >= BEHIND_MIN && filled + connection > 0;
                is_late.then(|| (key, (weigh(filled), weigh(connection))))
            })
            .max_by_key(|&(_, weight)| weight)
            .map(|(key, _)| key)
    }

    fn cut(&mut self, key: Key) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        holder.is_cut = true;
        for (ending, held) in self.ending.iter_mut().zip(holder.held) {
            *ending += held;
        }
        if let Some(address) = self.addresses.get_mut(&holder.address) {
            address.bytes -= sum(holder.held);
        }
    }
}

fn sum(held: Held) -> usize {
    held.into_iter().sum()
}

fn part(whole: usize, (numerator, denominator): (usize, usize)) -> usize {
    whole / denominator * numerator
}
