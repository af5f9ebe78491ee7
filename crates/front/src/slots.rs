use std::collections;
use std::fmt;
use std::net;
use std::sync;

/// Open connections, in all and by caller address.
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

/// Why a connection gets no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Full {
    /// Too many connections are open in all.
    All,
    /// Too many connections of this address are open.
    Address,
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::All => "too many connections are open",
            Self::Address => "too many connections of this address are open",
        })
    }
}

/// The right to one open connection, given back on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: sync::Arc<Slots>,
    key: net::IpAddr,
}

impl Slots {
    /// Returns slots with these upper bounds.
    pub(crate) fn new(all_max: usize, address_max: usize) -> Self {
        Self {
            all_max,
            address_max,
            open: sync::Mutex::default(),
        }
    }

    /// Takes a slot for a connection of this address.
    ///
    /// # Errors
    ///
    /// Fails if a bound is reached.
    pub(crate) fn take(self: &sync::Arc<Self>, address: net::IpAddr) -> Result<Slot, Full> {
        let key = network(address);
        let mut open = self.lock();
        if open.all >= self.all_max {
            return Err(Full::All);
        }
        let of_address = open.by_address.entry(key).or_default();
        if *of_address >= self.address_max {
            return Err(Full::Address);
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

/// Returns the address under which a caller's connections are counted.
fn network(address: net::IpAddr) -> net::IpAddr {
    match address.to_canonical() {
        net::IpAddr::V4(address) => address.into(),
        net::IpAddr::V6(address) => {
            let [a, b, c, d, ..] = address.segments();
            net::Ipv6Addr::new(a, b, c, d, 0, 0, 0, 0).into()
        }
    }
}
