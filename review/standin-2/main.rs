//! Cases of the second review. `case NAME` plays one with the stand-ins of the modules.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! `TROUBLE=0` plays it without the disruption. `RECORD` names the file for the record.

mod brittle;
mod builds;
mod client;
mod common;
mod cursor;
mod fleet;
mod inside;
mod net;
mod record;
mod restore;
mod store;
mod taken;
mod watches;
mod worker;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = record::Record::open();
    let result = match name.as_str() {
        "brittle" => brittle::play(&mut record, has_trouble),
        "builds" => builds::play(&mut record, has_trouble),
        "cursor" => cursor::play(&mut record, has_trouble),
        "inside" => inside::play(&mut record, has_trouble),
        "restore" => restore::play(&mut record, has_trouble),
        "taken" => taken::play(&mut record, has_trouble),
        "watches" => watches::play(&mut record, has_trouble),
        _ => Err(std::io::Error::other(format!("no case {name:?}"))),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(cause) => {
            record.line(&format!("could not run: {cause}"));
            2
        }
    };
    std::process::exit(code);
}
