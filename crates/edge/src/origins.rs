use core::time;
use std::collections;

use crate::gossip;

/// Most streams whose build is kept.
const STREAMS_MAX: usize = 100_000;

/// Where a stream began.
#[derive(Clone, Copy, Debug)]
struct Record {
    build: plan::Build,
    /// Hash of the name of the service, if the stream began at this host.
    service: Option<u64>,
    /// Until when the caller may resume the stream.
    until: time::Duration,
}

/// Builds at which streams began, by the hash of the request that began them.
#[derive(Debug, Default)]
pub(crate) struct Origins(collections::HashMap<u64, Record>);

impl Origins {
    /// Records the build of a stream until a time. `service` is the hash of the name
    /// of its service if the stream began at this host. Returns `false` if there is no
    /// room for it.
    pub(crate) fn insert(
        &mut self,
        origin: gossip::Origin,
        service: Option<u64>,
        until: time::Duration,
    ) -> bool {
        if self.0.len() >= STREAMS_MAX && !self.0.contains_key(&origin.stream) {
            return false;
        }
        let record = Record {
            build: origin.build,
            service,
            until,
        };
        self.0.insert(origin.stream, record);
        true
    }

    /// Returns the build of a stream.
    pub(crate) fn find(&self, stream: u64) -> Option<plan::Build> {
        self.0.get(&stream).map(|record| record.build)
    }

    /// Returns the streams of these services that began at this host.
    pub(crate) fn own(&self, services: &[u64]) -> Vec<gossip::Origin> {
        let own = self.0.iter().filter(|(_, record)| {
            let service = record.service.as_ref();
            service.is_some_and(|service| services.contains(service))
        });
        own.map(|(stream, record)| gossip::Origin {
            stream: *stream,
            build: record.build,
        })
        .collect()
    }

    /// Returns the services of the streams that began at this host.
    pub(crate) fn services(&self) -> collections::BTreeSet<u64> {
        let services = self.0.values().map(|record| record.service);
        services.flatten().collect()
    }

    /// Removes the streams that callers no longer resume.
    pub(crate) fn evict_expired(&mut self, now: time::Duration) {
        self.0.retain(|_, record| record.until >= now);
    }
}
