use core::time;
use std::collections;
use std::fmt;
use std::net;
use std::sync;

use crate::account;
use crate::memory;
use crate::options;

/// Limits on the number of open connections, in total and for each caller address.
#[derive(Debug)]
pub(crate) struct Slots {
    all_max: usize,
    address_max: usize,
    /// Idle time from which a connection may be closed for another one.
    idle_min: time::Duration,
    open: sync::Mutex<Open>,
    freed: tokio::sync::Notify,
}

#[derive(Debug, Default)]
struct Open {
    all: usize,
    by_address: collections::HashMap<net::IpAddr, collections::HashSet<account::Key>>,
}

/// Limit that prevents a further connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Limit {
    /// Limit on connections in total.
    All,
    /// Limit on connections of one caller address.
    Address,
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::All => "the limit on open connections is reached",
            Self::Address => "the limit on open connections of this address is reached",
        })
    }
}

/// Permit for one open connection, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: sync::Arc<Slots>,
    address: net::IpAddr,
    key: account::Key,
}

impl Slots {
    /// Creates slots for the connections that these options allow.
    pub(crate) fn new(options: &options::Options) -> Self {
        Self {
            all_max: options.connections_max,
            address_max: options.address_connections_max,
            idle_min: options.idle_min,
            open: sync::Mutex::default(),
            freed: tokio::sync::Notify::new(),
        }
    }

    /// Acquires a slot for the connection with this key in the account.
    ///
    /// If a limit is reached, a connection is cut off that has been idle, and the new one
    /// takes its place before it has ended.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached if no connection is idle.
    pub(crate) fn acquire(
        self: &sync::Arc<Self>,
        memory: &memory::Memory,
        address: net::IpAddr,
        key: account::Key,
    ) -> Result<Slot, Limit> {
        let address = limit_key(address);
        let mut open = self.lock();
        let of_address = open.by_address.get(&address);
        let count = of_address.map_or(0, collections::HashSet::len);
        if open.all >= self.all_max {
            let is_open = |key| open.by_address.values().any(|keys| keys.contains(&key));
            if open.all >= self.all_max + excess(self.all_max)
                || !memory.cut_idlest(self.idle_min, is_open)
            {
                return Err(Limit::All);
            }
        } else if count >= self.address_max {
            let is_open = |key| of_address.is_some_and(|keys| keys.contains(&key));
            let most = self.address_max + excess(self.address_max);
            if count >= most || !memory.cut_idlest(self.idle_min, is_open) {
                return Err(Limit::Address);
            }
        }
        open.by_address.entry(address).or_default().insert(key);
        open.all += 1;
        Ok(Slot {
            slots: self.clone(),
            address,
            key,
        })
    }

    /// Returns whether a connection may end soon, because it waits for its caller or was
    /// cut off.
    pub(crate) fn may_free(&self, memory: &memory::Memory) -> bool {
        let open = self.lock();
        memory.is_any_waiting(|key| open.by_address.values().any(|keys| keys.contains(&key)))
    }

    /// Waits until a connection has ended.
    pub(crate) async fn wait_for_free(&self) {
        self.freed.notified().await;
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.lock().all
    }

    fn lock(&self) -> sync::MutexGuard<'_, Open> {
        self.open
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut open = self.slots.lock();
        open.all = open.all.saturating_sub(1);
        if let Some(of_address) = open.by_address.get_mut(&self.address) {
            of_address.remove(&self.key);
            if of_address.is_empty() {
                open.by_address.remove(&self.address);
            }
        }
        drop(open);
        // A listener that waits later finds the permit.
        self.slots.freed.notify_one();
    }
}

/// Returns by how many connections a limit may be exceeded until those that were cut off
/// have ended.
const fn excess(limit: usize) -> usize {
    limit / 16 + 4
}

/// Returns the address under which the connections of a caller are counted: the
/// IPv4 address, or the /64 network of an IPv6 address.
fn limit_key(address: net::IpAddr) -> net::IpAddr {
    match address.to_canonical() {
        net::IpAddr::V4(address) => address.into(),
        net::IpAddr::V6(address) => {
            let [a, b, c, d, ..] = address.segments();
            net::Ipv6Addr::new(a, b, c, d, 0, 0, 0, 0).into()
        }
    }
}
