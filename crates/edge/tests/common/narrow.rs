//! A link of a stated rate to one address, shared by all connections.

use core::time;
use std::net;
use std::sync;

use base::mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;

/// Bytes per second of a link of 10 Mbit/s.
pub const TEN_MBIT: f64 = 10e6 / 8.0;

/// Starts a link to an address; what that address sends arrives at the rate in bytes per
/// second.
pub async fn start(to: net::SocketAddr, rate: f64) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("address");
    let free_at = sync::Arc::new(sync::Mutex::new(tokio::time::Instant::now()));
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = tokio::net::TcpStream::connect(to).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(copy(
                near_read,
                far_write,
                f64::INFINITY,
                sync::Arc::new(sync::Mutex::new(tokio::time::Instant::now())),
            ));
            tokio::spawn(copy(far_read, near_write, rate, free_at.clone()));
        }
    });
    address
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    rate: f64,
    free_at: sync::Arc<sync::Mutex<tokio::time::Instant>>,
) {
    let mut buffer = [0; 8_192];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let until = {
            let mut free_at = mutex::lock(&free_at);
            let time = time::Duration::from_secs_f64(count as f64 / rate);
            *free_at = (*free_at).max(tokio::time::Instant::now()) + time;
            *free_at
        };
        tokio::time::sleep_until(until).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
