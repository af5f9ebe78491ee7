//! A host that a test can kill.

use std::net;
use std::sync;

/// A host with a runtime of its own.
pub struct Mortal {
    pub host: sync::Arc<edge::Host>,
    runtime: tokio::runtime::Runtime,
}

impl Mortal {
    pub async fn start(options: edge::Options, attempts: u32) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let starting = runtime.spawn(super::builds::start(options, attempts));
        let host = starting.await.expect("host");
        Self { host, runtime }
    }

    /// Ends the host without notice.
    pub async fn kill(self) {
        let peers = self.host.peer_address();
        self.runtime.shutdown_background();
        drop(self.host);
        let gone = async {
            while is_open(peers).await {
                tokio::time::sleep(super::ms(10)).await;
            }
        };
        tokio::time::timeout(super::ms(5_000), gone)
            .await
            .expect("a host that is gone");
    }
}

async fn is_open(address: net::SocketAddr) -> bool {
    tokio::net::TcpStream::connect(address).await.is_ok()
}
