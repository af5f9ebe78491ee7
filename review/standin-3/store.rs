//! Stand-in for the platform's metadata store. It answers reads after 4 ms, as the sheets
//! state, and lists at most 500 items in a page.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::net;
use crate::record;

/// Time of an answer on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Key, value and revision of each change; removals have no value.
    changes: Vec<(String, Option<String>, u64)>,
}

/// What happens once the store has read the first page of a list of workers.
type Meanwhile = Box<dyn FnOnce(&Store) + Send>;

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    meanwhile: Arc<Mutex<Option<Meanwhile>>>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            meanwhile: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => state.items.insert(key.into(), (value.into(), revision)),
            None => state.items.remove(key),
        };
        let change = (key.to_owned(), value.map(str::to_owned), revision);
        state.changes.push(change);
        drop(state);
        self.state.1.notify_all();
    }

    /// Sets what happens between the first page of the next list of workers and the answer
    /// with it.
    pub fn set_meanwhile(&self, meanwhile: Meanwhile) {
        *self.meanwhile.lock().expect("no thread panics") = Some(meanwhile);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics")
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(head)) = net::read_head(&mut stream, &mut rest) {
            let target = head.split(' ').nth(1).unwrap_or_default();
            let (status, body) = self.respond(target);
            thread::sleep(ANSWER_TIME);
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Store-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            let mut found = fields.filter(|(field, _)| *field == name);
            found
                .next()
                .map_or_else(String::new, |(_, value)| decode(value))
        };
        match path {
            "/kv-key" => self.item(&parameter("key")),
            "/kv-range" => self.range(&parameter("prefix"), &parameter("after")),
            "/kv-watch" => {
                let number = |name| parameter(name).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs"));
                self.watch(&parameter("prefix"), number("after"), wait)
            }
            _ => (404, "{}".into()),
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            None => (404, "{}".into()),
            Some((value, revision)) => {
                let item = item(key, value, *revision);
                let as_of = state.revision;
                let open = item.trim_end_matches('}');
                (200, format!("{open},\"asOf\":{as_of}}}"))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let listed = state.items.iter();
        let listed = listed.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let listed: Vec<_> = listed.take(PAGE_ITEMS + 1).collect();
        let is_truncated = listed.len() > PAGE_ITEMS;
        let page: Vec<String> = listed
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let as_of = state.revision;
        let count = page.len();
        let last = listed.get(PAGE_ITEMS.min(count).saturating_sub(1));
        let last = last.map_or_else(String::new, |(key, _)| (*key).clone());
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{is_truncated},\"asOf\":{as_of}}}",
            page.join(",")
        );
        drop(state);
        if prefix == "servers/" {
            record::line(&format!(
                "store: list of workers after {after:?}: {count} items up to {last:?}, truncated {is_truncated}, asOf {as_of}"
            ));
            if is_truncated {
                let meanwhile = self.meanwhile.lock().expect("no thread panics").take();
                if let Some(meanwhile) = meanwhile {
                    meanwhile(self);
                }
            }
        }
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(key, _, revision)| key.starts_with(prefix) && *revision > after)
                .map(|(key, value, revision)| match value {
                    Some(value) => item(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no thread panics").0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = net::base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createdAt\":{revision},\"lease\":0}}"
    )
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut left = text.as_bytes();
    while let Some((first, rest)) = left.split_first() {
        let hex = rest.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                left = &rest[2..];
            }
            _ => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                left = rest;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
