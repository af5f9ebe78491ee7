//! A link between one host and one endpoint that can be cut while other hosts still
//! reach the endpoint.

use core::time;
use std::net;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::watch;

use super::endpoint;

/// Connections that the system keeps for a listener that does not accept.
const BACKLOG: i32 = 8;

/// Time after which a connection attempt shows that the backlog is full.
const FULL: time::Duration = time::Duration::from_millis(30);

/// State of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    Up,
    /// New connections hang, and open ones carry nothing.
    Hang,
    /// New connections are refused, open ones live on.
    Refuse,
    /// New connections are refused, open ones are reset.
    Reset,
}

/// A link to an endpoint at an address of its own.
pub struct Link {
    pub address: net::SocketAddr,
    state: watch::Sender<State>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    pub async fn start(to: net::SocketAddr) -> Self {
        let address = super::free();
        let (state, receiver) = watch::channel(State::Up);
        let listener = listen(address);
        let task = tokio::spawn(run(address, to, listener, receiver));
        Self {
            address,
            state,
            task,
        }
    }

    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

fn listen(address: net::SocketAddr) -> tokio::net::TcpListener {
    let kind = socket2::Type::STREAM;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).expect("socket");
    socket
        .set_reuse_address(true)
        .expect("reuse of the address");
    socket.bind(&address.into()).expect("address");
    socket.listen(BACKLOG).expect("listen");
    socket.set_nonblocking(true).expect("non-blocking");
    tokio::net::TcpListener::from_std(socket.into()).expect("listener")
}

async fn run(
    address: net::SocketAddr,
    to: net::SocketAddr,
    listener: tokio::net::TcpListener,
    mut state: watch::Receiver<State>,
) {
    let mut listener = Some(listener);
    loop {
        let now = *state.borrow_and_update();
        match now {
            State::Up => {
                let open = listener.get_or_insert_with(|| listen(address));
                tokio::select! {
                    accepted = open.accept() => {
                        let (stream, _) = accepted.expect("connection");
                        tokio::spawn(carry(stream, to, state.clone()));
                    }
                    changed = state.changed() => if changed.is_err() { return },
                }
            }
            State::Hang => {
                let fillers = fill(address).await;
                let is_gone = state.changed().await.is_err();
                drop(fillers);
                if is_gone {
                    return;
                }
            }
            State::Refuse | State::Reset => {
                listener = None;
                if state.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Fills the backlog, so that further connection attempts hang.
async fn fill(address: net::SocketAddr) -> Vec<tokio::net::TcpStream> {
    let mut fillers = Vec::new();
    loop {
        let connecting = tokio::net::TcpStream::connect(address);
        match tokio::time::timeout(FULL, connecting).await {
            Ok(Ok(stream)) => fillers.push(stream),
            Ok(Err(_)) | Err(_) => return fillers,
        }
    }
}

async fn carry(near: tokio::net::TcpStream, to: net::SocketAddr, state: watch::Receiver<State>) {
    let Ok(far) = tokio::net::TcpStream::connect(to).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, state.clone()),
        copy(far_read, near_write, state)
    );
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut state: watch::Receiver<State>,
) {
    let mut buffer = [0; 8_192];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = state.wait_for(|state| *state == State::Reset) => {
                endpoint::reset(from.as_ref());
                return;
            }
        };
        let Ok(count @ 1..) = read else { return };
        if state.wait_for(|state| *state != State::Hang).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
