use std::collections;
use std::fmt;
use std::net;
use std::sync;

/// Limits on the number of open connections, in total and for each caller address.
#[derive(Debug)]
pub(crate) struct Slots {
    all_max: usize,
    address_max: usize,
    open: sync::Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    all: usize,
    by_address: collections::HashMap<net::IpAddr, usize>,
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
    key: net::IpAddr,
}

impl Slots {
    /// Creates slots for `all_max` connections in total and `address_max` for each
    /// caller address.
    pub(crate) fn new(all_max: usize, address_max: usize) -> Self {
        Self {
            all_max,
            address_max,
            open: sync::Mutex::default(),
        }
    }

    /// Acquires a slot for a connection of this address.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached.
    pub(crate) fn acquire(self: &sync::Arc<Self>, address: net::IpAddr) -> Result<Slot, Limit> {
        let key = limit_key(address);
        let mut open = self.lock();
        if open.all >= self.all_max {
            return Err(Limit::All);
        }
        let of_address = open.by_address.entry(key).or_default();
        if *of_address >= self.address_max {
            return Err(Limit::Address);
        }
        *of_address += 1;
        open.all += 1;
        Ok(Slot {
            slots: self.clone(),
            key,
        })
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
        if let Some(of_address) = open.by_address.get_mut(&self.key) {
            *of_address -= 1;
            if *of_address == 0 {
                open.by_address.remove(&self.key);
            }
        }
    }
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
