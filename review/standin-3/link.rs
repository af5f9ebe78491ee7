//! The link of a machine, as a proxy before the platform's store: what the store answers
//! arrives at the rate of the link.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 8 * 1024;

/// Starts a link of this rate before the store, and returns its address.
pub fn start(store: SocketAddr, bytes_per_second: f64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for host in listener.incoming().flatten() {
            let Ok(store) = TcpStream::connect(store) else {
                continue;
            };
            let (Ok(up_from), Ok(up_to)) = (host.try_clone(), store.try_clone()) else {
                continue;
            };
            let free_at = free_at.clone();
            thread::spawn(move || pass(up_from, up_to, |_| {}));
            thread::spawn(move || {
                pass(store, host, |bytes| wait(&free_at, bytes, bytes_per_second))
            });
        }
    });
    Ok(address)
}

/// Passes bytes on until one side ends, and ends the other.
fn pass(mut from: TcpStream, mut to: TcpStream, wait: impl Fn(usize)) {
    let mut buffer = [0; PIECE_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        wait(count);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Waits until the link has carried these bytes after all that came before.
fn wait(free_at: &Mutex<Instant>, bytes: usize, bytes_per_second: f64) {
    let until = {
        let mut free_at = free_at.lock().expect("no thread panics");
        let time = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
        *free_at = Instant::now().max(*free_at) + time;
        *free_at
    };
    thread::sleep(until.saturating_duration_since(Instant::now()));
}
