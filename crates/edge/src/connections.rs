use core::time;
use std::collections;
use std::net;
use std::sync;

use base::mutex;
use tokio::time::Instant;

use crate::connection;

/// Longest time for which an idle connection is kept for reuse. Some endpoints
/// close idle connections sooner than they state.
const IDLE_TIME_MAX: time::Duration = time::Duration::from_secs(2);

/// Share of the idle time-out stated by an endpoint for which a connection is
/// kept, so that a request is not sent while the endpoint closes it.
const IDLE_SHARE: f64 = 0.5;

/// Most idle connections that are kept to one endpoint.
const IDLE_CONNECTIONS_MAX: usize = 8;

#[derive(Debug)]
struct Idle {
    connection: connection::Connection,
    until: Instant,
}

/// Pool of idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes a usable idle connection to the address, the last one returned
    /// first.
    pub(crate) fn take(&self, address: net::SocketAddr) -> Option<connection::Connection> {
        let mut idle = mutex::lock(&self.idle);
        let list = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = list.pop() {
            if last.until > now && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection whose answer is complete to the pool. `stated` is
    /// the idle time-out that the endpoint states.
    pub(crate) fn keep(
        &self,
        mut connection: connection::Connection,
        stated: Option<time::Duration>,
    ) {
        let time = stated.map_or(IDLE_TIME_MAX, |stated| {
            stated.mul_f64(IDLE_SHARE).min(IDLE_TIME_MAX)
        });
        connection.is_reused = true;
        let mut idle = mutex::lock(&self.idle);
        let list = idle.entry(connection.address).or_default();
        if list.len() < IDLE_CONNECTIONS_MAX {
            let until = Instant::now() + time;
            list.push(Idle { connection, until });
        }
    }

    /// Closes the connections that were idle for too long or were closed by
    /// the endpoint.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut idle = mutex::lock(&self.idle);
        for list in idle.values_mut() {
            list.retain(|idle| idle.until > now && idle.connection.is_ready());
        }
        idle.retain(|_, list| !list.is_empty());
    }
}
