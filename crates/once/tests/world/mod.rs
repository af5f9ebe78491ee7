//! A simulated fleet of owners with a lossy network and skewed clocks.

use core::time::Duration;
use std::collections::HashMap;

use once::{Claim, Decision, Ledger, Options, Owner, Request};
use rand::{RngExt, SeedableRng};

pub const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Number of the newest keys that may be sent again.
const RECENT_KEYS: u64 = 8;
/// Indices of the names of which two lifetimes may run at once. Quorums of three
/// among four other owners share two names, so one doubled voter is tolerated.
const DOUBLED: [usize; 2] = [0, 1];
const TICK_MS: u64 = 100;
const CLAIM_TICKS: u64 = 5;
const SKEW_MS: u64 = 400;
const RESEND_MS: u64 = 8_000;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes, with traffic; in ticks.
    Advance(u64),
    /// A lifetime is replaced. With `both` the old lifetime of a doubled name
    /// keeps running, with `stale` the new one starts with the old settings.
    Replace { pick: u8, both: bool, stale: bool },
    /// The names in the mask, except the first name, restart at once with empty
    /// memory.
    RestartSome { mask: u8, stale: bool },
    /// A lifetime is paused for a number of ticks.
    Pause { pick: u16, ticks: u64 },
    /// The network splits by the bits of the mask.
    Partition(u16),
    /// Partition and loss end.
    Heal,
    /// Loss of claims in percent.
    Loss(u8),
    /// A lifetime puts the new settings in force.
    Upgrade(u16),
}

/// A process lifetime of an owner; times are in simulated milliseconds.
struct Lifetime {
    /// Index into [`NAMES`].
    name: usize,
    start: u64,
    /// Offset of its wall clock.
    offset: u64,
    epoch: u64,
    paused_until: u64,
    owner: Owner,
    ledger: Ledger<u32>,
    inbox: Vec<Message>,
}

/// An input of a lifetime; keys are given by their index.
#[derive(Clone)]
enum Message {
    Claim(Claim),
    /// An attempt arrives.
    Send(usize),
    /// The dispatch of an admitted key is due.
    Dispatch(usize),
    /// Progress of a dispatched key: 0 when its bytes leave the host, 1 when the
    /// run fails, any other number when it is answered.
    Done(usize, u8),
}

struct Key {
    text: String,
    /// Time of the first attempt.
    first: u64,
    request_time: Option<u64>,
    /// Dispatches whose bytes have not left yet.
    in_flight: u32,
    runs: u32,
}

pub struct World {
    rng: rand_pcg::Pcg64,
    time: u64,
    lifetimes: HashMap<u64, Lifetime>,
    next: u64,
    /// Messages with the time of their arrival and the number of their lifetime.
    network: Vec<(u64, u64, Message)>,
    keys: Vec<Key>,
    /// Mask that puts each lifetime on one side of a partition.
    groups: u16,
    /// Loss of claims in percent.
    loss: u8,
}

fn options(epoch: u64) -> Options {
    let names = |from: usize, to: usize| NAMES[from..to].iter().map(|&name| name.to_owned());
    Options {
        owners: names(0, if epoch == 1 { 4 } else { 5 }).collect(),
        previous_owners: names(0, if epoch == 1 { 0 } else { 4 }).collect(),
        epoch,
        lease: Duration::from_millis(2_000),
        clock_skew: Duration::from_millis(SKEW_MS),
        resend_max_age: Duration::from_millis(RESEND_MS),
    }
}

/// Returns a key whose owner is the first name before the change of the
/// owners, and the first or the last name after it.
fn key_text(serial: usize) -> String {
    let (before, after) = (options(1).owners, options(2).owners);
    let last = NAMES[if serial.is_multiple_of(2) {
        0
    } else {
        NAMES.len() - 1
    }];
    (0..)
        .map(|attempt| format!("{serial}-{attempt}"))
        .find(|text| {
            once::owner_of(&before, text) == Some(NAMES[0])
                && once::owner_of(&after, text) == Some(last)
        })
        .expect("a key has these owners")
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
            time: 1_000_000,
            lifetimes: HashMap::new(),
            next: 0,
            network: Vec::new(),
            keys: Vec::new(),
            groups: 0,
            loss: 0,
        };
        (0..NAMES.len()).for_each(|name| world.start(name, 2));
        world
    }

    /// Returns the number of keys that have run.
    pub fn runs(&self) -> usize {
        self.keys.iter().filter(|key| key.runs == 1).count()
    }

    pub fn apply(&mut self, event: &Event) -> Result<(), String> {
        match *event {
            Event::Advance(ticks) => return (0..ticks).try_for_each(|_| self.tick()),
            Event::Replace { pick, both, stale } => {
                // Half of the events affect the owner of the keys.
                let name = usize::from(pick) % (2 * NAMES.len());
                self.replace(if name < NAMES.len() { name } else { 0 }, both, stale);
            }
            Event::RestartSome { mask, stale } => (1..NAMES.len())
                .filter(|name| mask >> name & 1 == 1)
                .for_each(|name| self.replace(name, false, stale)),
            Event::Pause { pick, ticks } => {
                let until = self.time + ticks * TICK_MS;
                if let Some(id) = self.pick(pick) {
                    self.at(id).paused_until = until;
                }
            }
            Event::Partition(groups) => self.groups = groups,
            Event::Heal => (self.groups, self.loss) = (0, 0),
            Event::Loss(percent) => self.loss = percent,
            Event::Upgrade(pick) => {
                if let Some(id) = self.pick(pick) {
                    let lifetime = self.at(id);
                    lifetime.owner.reconfigure(options(2));
                    lifetime.epoch = 2;
                }
            }
        }
        Ok(())
    }

    fn at(&mut self, id: u64) -> &mut Lifetime {
        self.lifetimes
            .get_mut(&id)
            .expect("the lifetime is running")
    }

    fn pick(&self, pick: u16) -> Option<u64> {
        let ids = self.ids();
        ids.get(usize::from(pick) % ids.len().max(1)).copied()
    }

    fn ids(&self) -> Vec<u64> {
        let mut ids = self.lifetimes.keys().copied().collect::<Vec<_>>();
        ids.sort_unstable();
        ids
    }

    fn start(&mut self, name: usize, epoch: u64) {
        self.next += 1;
        let options = options(epoch);
        let lifetime = Lifetime {
            name,
            start: self.time,
            offset: self.rng.random_range(0..=SKEW_MS),
            epoch,
            paused_until: 0,
            ledger: Ledger::new(options.retention(), 20),
            owner: Owner::new(NAMES[name], self.time + self.next, options),
            inbox: Vec::new(),
        };
        self.lifetimes.insert(self.next, lifetime);
    }

    fn replace(&mut self, name: usize, both: bool, stale: bool) {
        let running = self.ids();
        let same = running
            .into_iter()
            .filter(|id| self.lifetimes[id].name == name);
        let same = same.collect::<Vec<_>>();
        let keep = usize::from(both && DOUBLED.contains(&name));
        for id in &same[..same.len().saturating_sub(keep)] {
            self.lifetimes.remove(id);
        }
        self.start(name, if stale { 1 } else { 2 });
    }

    /// Sends an attempt to a lifetime of the owner, by the settings of some host.
    fn send(&mut self) {
        if self.rng.random_ratio(1, 3) {
            let request_time = self.time + self.rng.random_range(0..=SKEW_MS);
            self.keys.push(Key {
                text: key_text(self.keys.len()),
                first: self.time,
                request_time: self.rng.random_ratio(1, 2).then_some(request_time),
                in_flight: 0,
                runs: 0,
            });
        }
        let Some(back) = (self.keys.len() as u64).checked_sub(1) else {
            return;
        };
        let key = (back - self.rng.random_range(0..RECENT_KEYS).min(back)) as usize;
        let entry = options(self.rng.random_range(1..=2));
        let owner = once::owner_of(&entry.owners, &self.keys[key].text);
        let mut ids = self.ids();
        ids.retain(|id| Some(NAMES[self.lifetimes[id].name]) == owner);
        if !ids.is_empty() {
            let id = ids[self.rng.random_range(0..ids.len())];
            let at = self.time + self.rng.random_range(0..500);
            self.network.push((at, id, Message::Send(key)));
        }
    }

    fn tick(&mut self) -> Result<(), String> {
        self.time += TICK_MS;
        if self.rng.random_ratio(1, 2) {
            self.send();
        }
        let due = self
            .network
            .extract_if(.., |(at, ..)| *at <= self.time)
            .collect::<Vec<_>>();
        for (_, id, message) in due {
            if let Some(lifetime) = self.lifetimes.get_mut(&id) {
                lifetime.inbox.push(message);
            } else if let Message::Done(key, 0) = message {
                self.run(key)?; // The bytes had left the host before it stopped.
            }
        }
        for id in self.ids() {
            if self.at(id).paused_until <= self.time {
                self.step(id)?;
            }
        }
        Ok(())
    }

    fn step(&mut self, id: u64) -> Result<(), String> {
        let time = self.time;
        let lifetime = self.at(id);
        let now = Duration::from_millis(time - lifetime.start);
        lifetime.owner.tick(now);
        lifetime.ledger.tick(now);
        for message in core::mem::take(&mut lifetime.inbox) {
            match message {
                Message::Claim(claim) => self.at(id).owner.receive(now, &claim),
                Message::Send(key) => self.admit(id, now, key)?,
                Message::Dispatch(key) => self.dispatch(id, now, key)?,
                Message::Done(key, 0) => self.sent(id, key)?,
                Message::Done(key, end) => self.end(id, now, key, end)?,
            }
        }
        if time / TICK_MS % CLAIM_TICKS == id % CLAIM_TICKS {
            let claims = self.at(id).owner.claims(now);
            claims
                .into_iter()
                .for_each(|(to, claim)| self.send_claim(id, &to, &claim));
        }
        Ok(())
    }

    /// Sends a claim to a name, with loss, delay and duplication.
    fn send_claim(&mut self, from: u64, to: &str, claim: &Claim) {
        let group = |id: u64| self.groups >> (id % 16) & 1;
        let mut targets = self.ids();
        targets.retain(|id| NAMES[self.lifetimes[id].name] == to);
        for &id in targets.iter().filter(|&&id| group(id) == group(from)) {
            if targets.len() > 1 && self.rng.random_ratio(1, 2) {
                continue; // A datagram reaches one of the two lifetimes at an address.
            }
            for _ in 0..=u8::from(self.rng.random_ratio(1, 10)) {
                let late = if self.rng.random_ratio(1, 50) {
                    5_000
                } else {
                    100
                };
                let at = self.time + self.rng.random_range(0..late);
                if self.rng.random_range(0..100) >= self.loss {
                    self.network.push((at, id, Message::Claim(claim.clone())));
                }
            }
        }
    }

    fn permit(&mut self, id: u64, now: Duration, key: usize) -> Result<(), answer::Kind> {
        let (time, request_time) = (self.time, self.keys[key].request_time);
        let text = self.keys[key].text.clone();
        let lifetime = self.at(id);
        let wall = time + lifetime.offset;
        lifetime.owner.may_dispatch(now, &text, request_time, wall)
    }

    fn admit(&mut self, id: u64, now: Duration, key: usize) -> Result<(), String> {
        let record = &self.keys[key];
        let age = self.time - record.first;
        if record.request_time.is_none() && age > RESEND_MS {
            return Ok(()); // Callers must not send again so late.
        }
        let permit = self.permit(id, now, key);
        let text = self.keys[key].text.clone();
        let request = Request {
            key: &text,
            fingerprint: [0; 32],
            permit,
        };
        match self.at(id).ledger.admit(now, &request) {
            Decision::Run => {
                let at = self.time + self.rng.random_range(0..1_500);
                self.network.push((at, id, Message::Dispatch(key)));
            }
            Decision::Refuse(kind) => self.answer(key, kind)?,
            Decision::Wait => {}
            Decision::Replay(_) if self.keys[key].runs == 1 => {}
            Decision::Replay(_) => {
                return Err(format!(
                    "key {key} has a stored answer but has not run once"
                ));
            }
        }
        Ok(())
    }

    /// Checks the permit, then sends after a delay in which the process may be
    /// paused or stopped.
    fn dispatch(&mut self, id: u64, now: Duration, key: usize) -> Result<(), String> {
        let permit = self.permit(id, now, key);
        let text = self.keys[key].text.clone();
        if permit.is_err() {
            self.at(id).ledger.revoke(now, &text);
            return Ok(());
        }
        if self.rng.random_ratio(1, 6) {
            let kind = answer::Kind::EndpointConnect;
            let kind = self.at(id).ledger.fail(now, &text, false, kind);
            return self.answer(key, kind);
        }
        if !self.at(id).ledger.start_dispatch(&text) {
            return Err(format!(
                "key {key} was admitted but its dispatch was refused"
            ));
        }
        self.keys[key].in_flight += 1;
        let at = self.time + self.rng.random_range(0..300);
        self.network.push((at, id, Message::Done(key, 0)));
        Ok(())
    }

    fn sent(&mut self, id: u64, key: usize) -> Result<(), String> {
        let at = self.time + self.rng.random_range(0..2_000);
        let end = self.rng.random_range(1..=3);
        self.network.push((at, id, Message::Done(key, end)));
        self.run(key)
    }

    fn run(&mut self, key: usize) -> Result<(), String> {
        let record = &mut self.keys[key];
        record.in_flight -= 1;
        record.runs += 1;
        if record.runs > 1 {
            return Err(format!("key {key} ran twice"));
        }
        Ok(())
    }

    fn end(&mut self, id: u64, now: Duration, key: usize, end: u8) -> Result<(), String> {
        let text = self.keys[key].text.clone();
        if end == 1 {
            let kind = answer::Kind::EndpointFailed;
            let kind = self.at(id).ledger.fail(now, &text, true, kind);
            return self.answer(key, kind);
        }
        self.at(id).ledger.complete(now, &text, 1);
        Ok(())
    }

    fn answer(&self, key: usize, kind: answer::Kind) -> Result<(), String> {
        let record = &self.keys[key];
        if kind.entry().run_state == answer::RunState::NotRun && record.runs + record.in_flight > 0
        {
            return Err(format!(
                "key {key} was answered {kind} but ran or may still run"
            ));
        }
        Ok(())
    }
}
