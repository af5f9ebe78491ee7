//! Forwards the traffic between hosts and can cut it between groups of them.

use std::collections;
use std::net;
use std::sync;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Where the hosts are and which of them reach each other.
#[derive(Default)]
struct Map {
    /// Real peer address by host.
    real: collections::BTreeMap<usize, net::SocketAddr>,
    /// Group by host; hosts in different groups do not reach each other.
    groups: collections::BTreeMap<usize, usize>,
}

impl Map {
    fn connects(&self, a: usize, b: usize) -> bool {
        self.groups.get(&a) == self.groups.get(&b)
    }

    fn host_at(&self, address: net::SocketAddr) -> Option<usize> {
        let mut pairs = self.real.iter();
        pairs.find_map(|(host, real)| (*real == address).then_some(*host))
    }
}

/// One address per host that forwards to the host's real peer address.
///
/// While hosts are split, datagrams between the groups are lost, and bytes of
/// connections wait until the split heals, as with retransmission.
pub struct Net {
    map: sync::Arc<watch::Sender<Map>>,
    addresses: Vec<net::SocketAddr>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Net {
    pub async fn start(count: usize) -> Self {
        let map = sync::Arc::new(watch::Sender::new(Map::default()));
        let mut pairs = Vec::new();
        for _ in 0..count {
            pairs.push(bind().await);
        }
        let addresses = pairs
            .iter()
            .map(|(listener, _)| listener.local_addr().expect("the listener is bound"))
            .collect();
        let mut tasks = Vec::new();
        for (host, (listener, socket)) in pairs.into_iter().enumerate() {
            tasks.push(tokio::spawn(datagrams(map.clone(), socket, host)));
            tasks.push(tokio::spawn(accept(map.clone(), listener, host)));
        }
        Self {
            map,
            addresses,
            tasks,
        }
    }

    /// Returns the addresses at which the hosts reach each other.
    pub fn addresses(&self) -> &[net::SocketAddr] {
        &self.addresses
    }

    /// Sets where a host listens.
    pub fn set_real(&self, host: usize, address: net::SocketAddr) {
        self.map.send_modify(|map| {
            map.real.insert(host, address);
        });
    }

    /// Cuts these hosts off from the others, which still reach each other.
    pub fn split(&self, hosts: &[usize]) {
        self.map.send_modify(|map| {
            map.groups = hosts.iter().map(|host| (*host, 1)).collect();
        });
    }

    /// Lets all hosts reach each other.
    pub fn heal(&self) {
        self.map.send_modify(|map| map.groups.clear());
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds the same port for TCP and UDP.
async fn bind() -> (TcpListener, UdpSocket) {
    for _ in 0..64 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        if let Ok(socket) = UdpSocket::bind(address).await {
            return (listener, socket);
        }
    }
    panic!("no port is free for TCP and UDP");
}

/// Forwards the datagrams to a host. They leave from an address that is not the
/// sender's, as behind address translation.
async fn datagrams(map: sync::Arc<watch::Sender<Map>>, socket: UdpSocket, to: usize) {
    let out = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut buffer = [0; 2048];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let target = {
            let map = map.borrow();
            let from = map.host_at(source);
            let from = from.filter(|from| map.connects(*from, to));
            from.and(map.real.get(&to).copied())
        };
        if let Some(real) = target {
            // A lost datagram is as good as one to a dead host.
            drop(out.send_to(&buffer[..length], real).await);
        }
    }
}

async fn accept(map: sync::Arc<watch::Sender<Map>>, listener: TcpListener, to: usize) {
    let mut links = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        links.spawn(link(map.clone(), stream, to));
        while links.try_join_next().is_some() {}
    }
}

/// Forwards one connection, whose first frame names the connecting host.
async fn link(map: sync::Arc<watch::Sender<Map>>, mut near: TcpStream, to: usize) {
    let mut hello = vec![0; 2];
    if near.read_exact(&mut hello).await.is_err() {
        return;
    }
    let length = usize::from(u16::from_le_bytes([hello[0], hello[1]]));
    hello.resize(2 + length, 0);
    if near.read_exact(&mut hello[2..]).await.is_err() {
        return;
    }
    let Ok(decoded) = wire::decode::<wire::Hello>(&hello[2..]) else {
        return;
    };
    let number = decoded.name.strip_prefix("host-");
    let Some(from) = number.and_then(|number| number.parse().ok()) else {
        return;
    };
    let mut changes = map.subscribe();
    if changes
        .wait_for(|map| map.connects(from, to))
        .await
        .is_err()
    {
        return;
    }
    let real = map.borrow().real.get(&to).copied();
    let Some(real) = real else { return };
    let Ok(mut far) = TcpStream::connect(real).await else {
        return;
    };
    if far.write_all(&hello).await.is_err() {
        return;
    }
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(map.subscribe(), (from, to), near_read, far_write) => {}
        () = pump(map.subscribe(), (from, to), far_read, near_write) => {}
    }
}

async fn pump(
    mut changes: watch::Receiver<Map>,
    (from, to): (usize, usize),
    mut read: tokio::net::tcp::OwnedReadHalf,
    mut write: tokio::net::tcp::OwnedWriteHalf,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = match read.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        if changes
            .wait_for(|map| map.connects(from, to))
            .await
            .is_err()
        {
            return;
        }
        if write.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
