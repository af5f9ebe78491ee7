//! Forwards the traffic between hosts and simulates network partitions.

use std::collections;
use std::net;
use std::sync;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Addresses of the hosts and the network partition.
#[derive(Default)]
struct Map {
    /// Address on which each host listens for peers.
    real: collections::BTreeMap<usize, net::SocketAddr>,
    /// Group of each host that is cut off; all other hosts form one group. Hosts in
    /// different groups cannot reach each other.
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

/// Proxies, one per host, that forward to the address on which the host listens for peers.
///
/// During a partition, datagrams between the groups are lost, and bytes of connections
/// are delayed until the partition ends, as with retransmission.
pub struct Net {
    map: sync::Arc<watch::Sender<Map>>,
    addresses: Vec<net::SocketAddr>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Net {
    /// Starts a proxy for each of `count` hosts.
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

    /// Returns the addresses of the proxies, by host.
    pub fn addresses(&self) -> &[net::SocketAddr] {
        &self.addresses
    }

    /// Sets the address on which a host listens for peers.
    pub fn set_real(&self, host: usize, address: net::SocketAddr) {
        self.map.send_modify(|map| {
            map.real.insert(host, address);
        });
    }

    /// Separates these hosts from all others. Hosts on the same side still reach each
    /// other.
    pub fn split(&self, hosts: &[usize]) {
        self.map.send_modify(|map| {
            map.groups = hosts.iter().map(|host| (*host, 1)).collect();
        });
    }

    /// Ends the partition.
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

/// Forwards the datagrams to a host. Their source address is not the sender's, as behind
/// address translation.
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
            // A failed send is treated like a lost datagram.
            drop(out.send_to(&buffer[..length], real).await);
        }
    }
}

/// Accepts the connections to a host and forwards each of them.
async fn accept(map: sync::Arc<watch::Sender<Map>>, listener: TcpListener, to: usize) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        connections.spawn(forward(map.clone(), stream, to));
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards one connection, whose first frame names the connecting host.
async fn forward(map: sync::Arc<watch::Sender<Map>>, mut near: TcpStream, to: usize) {
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
        () = copy(map.subscribe(), (from, to), near_read, far_write) => {}
        () = copy(map.subscribe(), (from, to), far_read, near_write) => {}
    }
}

/// Copies bytes in one direction, and holds them back during a partition.
async fn copy(
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
