use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use crate::config;
use crate::keyed;
use crate::view;

/// Period of membership digests.
const DIGEST_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Claims per lease, so that the lease survives the loss of one.
const CLAIMS_PER_LEASE: u32 = 4;
/// Pause after a failed receive.
const SOCKET_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest wait for another host's configuration files.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Exchanges membership digests and lease claims with other hosts.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) view: sync::Arc<view::View>,
    pub(crate) keyed: sync::Arc<keyed::Runner>,
    pub(crate) config: sync::Arc<config::Store>,
    pub(crate) peers: peer::Client,
    pub(crate) socket: peer::Socket,
    pub(crate) is_fetching: sync::Arc<atomic::AtomicBool>,
}

impl Gossip {
    /// Sends digests until the task is aborted.
    pub(crate) async fn send_digests(self) {
        let mut interval = tokio::time::interval(DIGEST_PERIOD);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            for (address, digest) in self.view.tick() {
                self.send(address, wire::Packet::Digest(digest)).await;
            }
        }
    }

    /// Sends claims to the other owners until the task is aborted.
    pub(crate) async fn send_claims(self) {
        loop {
            for (name, claim) in self.keyed.claims() {
                if let Some(entry) = self.view.find(&name) {
                    self.send(entry.peer, wire::Packet::Claim(claim)).await;
                }
            }
            tokio::time::sleep(self.keyed.lease() / CLAIMS_PER_LEASE).await;
        }
    }

    /// Receives datagrams until the task is aborted.
    pub(crate) async fn receive(self) {
        loop {
            match self.socket.receive().await {
                Ok((_, wire::Packet::Digest(digest))) => self.receive_digest(&digest),
                Ok((_, wire::Packet::Claim(claim))) => self.keyed.receive(&claim),
                Err(cause) => {
                    log::warn!(target: "host", "cannot receive datagrams of other hosts: {cause}");
                    tokio::time::sleep(SOCKET_PAUSE).await;
                }
            }
        }
    }

    fn receive_digest(&self, digest: &fleet::Digest) {
        let received = self.view.receive(digest);
        let own = self.config.revision();
        if digest.revision >= own && own > 0 {
            self.config.record_digest();
        }
        // The source address of a datagram may differ from the address at which
        // its sender accepts connections.
        if let Some(source) = received.newer {
            self.fetch(source.peer);
        }
    }

    /// Fetches a newer configuration from another host. Does nothing while a
    /// fetch is in progress.
    fn fetch(&self, from: net::SocketAddr) {
        if self.is_fetching.swap(true, atomic::Ordering::AcqRel) {
            return;
        }
        let gossip = self.clone();
        tokio::spawn(async move {
            let fetch = gossip.peers.fetch(from, gossip.config.fetch_request());
            match tokio::time::timeout(FETCH_TIMEOUT, fetch).await {
                Ok(Ok(files)) => gossip.config.apply_files(&gossip.keyed, files),
                Ok(Err(cause)) => {
                    log::warn!(target: "host", "configuration not fetched from {from}: {cause}");
                }
                Err(_) => {
                    log::warn!(
                        target: "host",
                        "configuration not fetched from {from}: no answer within {} s",
                        FETCH_TIMEOUT.as_secs()
                    )
                }
            }
            gossip.is_fetching.store(false, atomic::Ordering::Release);
        });
    }

    async fn send(&self, address: net::SocketAddr, packet: wire::Packet) {
        if let Err(cause) = self.socket.send(address, &packet).await {
            log::debug!(target: "host", "datagram to {address} not sent: {cause}");
        }
    }
}
