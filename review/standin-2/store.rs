//! Stand-in of the platform's store. It is linearizable, keeps its whole history and
//! answers as the pages say. The harness writes to it for the operator and the workers.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Message, Reader};

/// Most items and bytes of a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    /// `None` if the item was removed.
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        let revision = self.revision;
        let key = key.replace('\\', "\\\\").replace('"', "\\\"");
        match &self.value {
            Some(value) => format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"createdAt\":{},\"lease\":0}}",
                net::base64(value),
                self.created
            ),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        }
    }
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(String, Item)>,
}

#[derive(Default)]
struct Shared {
    state: State,
    /// `Store-Era`, in all answers.
    era: u64,
    /// Time after which a watch that is waiting is cut.
    cut_after: Option<Duration>,
    /// Whether calls are neither answered nor closed.
    is_silent: bool,
    /// Number of watches that were cut while they waited.
    cuts: u64,
    calls: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

/// A copy of the content, for a restore.
pub struct Copy(State);

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let mut shared = Shared::default();
        shared.era = 1;
        let store = Self {
            shared: Arc::new((Mutex::new(shared), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    fn change<T>(&self, change: impl FnOnce(&mut Shared) -> T) -> T {
        let mut shared = self.shared.0.lock().unwrap();
        let result = change(&mut shared);
        self.shared.1.notify_all();
        result
    }

    /// Writes an item, or removes it; returns when that was acknowledged.
    fn write(&self, key: &str, value: Option<&[u8]>) -> Instant {
        self.change(|shared| {
            let state = &mut shared.state;
            state.revision += 1;
            let created = state.items.get(key).map(|item| item.created);
            let item = Item {
                value: value.map(<[u8]>::to_vec),
                revision: state.revision,
                created: created.unwrap_or(state.revision),
            };
            match value {
                Some(_) => state.items.insert(key.to_owned(), item.clone()),
                None => state.items.remove(key),
            };
            state.log.push((key.to_owned(), item));
            Instant::now()
        })
    }

    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.write(key, Some(value.as_bytes()))
    }

    pub fn put_bytes(&self, key: &str, value: &[u8]) -> Instant {
        self.write(key, Some(value))
    }

    pub fn remove(&self, key: &str) -> Instant {
        self.write(key, None)
    }

    /// Cuts each watch that has waited for this long.
    pub fn cut_watches_after(&self, wait: Option<Duration>) {
        self.change(|shared| shared.cut_after = wait);
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.change(|shared| shared.is_silent = is_silent);
    }

    pub fn is_silent(&self) -> bool {
        self.change(|shared| shared.is_silent)
    }

    pub fn copy(&self) -> Copy {
        Copy(self.change(|shared| shared.state.clone()))
    }

    /// Comes back from a copy: revisions go back and the era rises by one.
    pub fn restore(&self, copy: Copy) {
        self.change(|shared| {
            shared.state = copy.0;
            shared.era += 1;
        });
    }

    /// Returns the number of calls and of watches that were cut.
    pub fn counts(&self) -> (u64, u64) {
        self.change(|shared| (shared.calls, shared.cuts))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        let mut reader = Reader::new(stream);
        loop {
            let request = reader.message()?;
            let era = self.change(|shared| {
                shared.calls += 1;
                shared.era
            });
            while self.change(|shared| shared.is_silent) {
                thread::sleep(Duration::from_millis(20));
            }
            let (status, body) = match self.answer(&request, era) {
                Some(answer) => answer,
                // A watch that is cut.
                None => return Ok(()),
            };
            let era = self.change(|shared| shared.era);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            reader.stream.write_all(head.as_bytes())?;
            reader.stream.write_all(body.as_bytes())?;
        }
    }

    fn answer(&self, request: &Message, era: u64) -> Option<(u16, String)> {
        let target = request.target();
        let text = |name: &str| net::field(target, name).unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match target.split('?').next().unwrap_or("") {
            "/kv-key" => Some(self.change(|shared| {
                let key = text("key");
                match shared.state.items.get(&key) {
                    None => (404, "{}".to_owned()),
                    Some(item) => {
                        let json = item.json(&key);
                        let as_of = shared.state.revision;
                        (200, format!("{},\"asOf\":{as_of}}}", &json[..json.len() - 1]))
                    }
                }
            })),
            "/kv-range" => Some(self.change(|shared| (200, range(&shared.state, &text("prefix"), &text("after"))))),
            "/kv-watch" => {
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                self.watch(&text("prefix"), number("after"), wait, era)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, era: u64) -> Option<(u16, String)> {
        let began = Instant::now();
        let mut shared = self.shared.0.lock().unwrap();
        loop {
            if after > shared.state.revision || shared.era != era {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = shared
                .state
                .log
                .iter()
                .filter(|(key, item)| item.revision > after && key.starts_with(prefix))
                .map(|(key, item)| item.json(key))
                .collect();
            let left = wait.saturating_sub(began.elapsed());
            if !events.is_empty() || left.is_zero() {
                let as_of = shared.state.revision;
                return Some((200, format!("{{\"events\":[{}],\"asOf\":{as_of}}}", events.join(","))));
            }
            let mut pause = left;
            if let Some(cut_after) = shared.cut_after {
                let until_cut = cut_after.saturating_sub(began.elapsed());
                if until_cut.is_zero() {
                    shared.cuts += 1;
                    return None;
                }
                pause = pause.min(until_cut);
            }
            shared = self.shared.1.wait_timeout(shared, pause).unwrap().0;
        }
    }
}

fn range(state: &State, prefix: &str, after: &str) -> String {
    let (mut items, mut bytes, mut is_truncated) = (Vec::new(), 0, false);
    for (key, item) in &state.items {
        if !key.starts_with(prefix) || key.as_str() <= after {
            continue;
        }
        if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
            is_truncated = true;
            break;
        }
        let json = item.json(key);
        bytes += json.len();
        items.push(json);
    }
    let as_of = state.revision;
    format!(
        "{{\"items\":[{}],\"truncated\":{is_truncated},\"asOf\":{as_of}}}",
        items.join(",")
    )
}
