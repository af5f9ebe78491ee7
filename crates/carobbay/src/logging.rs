use std::time;

use log::kv;

use crate::queue;

/// Starts logging to standard error, as text or JSON according to the settings.
///
/// # Errors
///
/// Returns an error if the level is unknown or a logger is already set.
pub(crate) fn start(options: &conf::settings::Log) -> anyhow::Result<()> {
    let level: log::LevelFilter = options.level.parse()?;
    let json = options.format == conf::settings::Format::Json;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("host", level)
        .level_for("front", level)
        .level_for("peer", level)
        .level_for("admin", level)
        .level_for("tls", level)
        .level_for("carobbay", level)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(time::SystemTime::now());
            let (part, level) = (record.target(), record.level());
            if json {
                let line = line(&time.to_string(), record, &message.to_string());
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!("{time} {level:<5} {part}: {message}"));
            }
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Starts logging as JSON lines to standard output. A log call never blocks; see
/// [`queue::Queue`].
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started or a logger is already
/// set.
pub(crate) fn start_json(level: log::LevelFilter) -> anyhow::Result<()> {
    let queue = queue::Queue::start()?;
    let mut dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn);
    for part in ["carobbay", "edge", "front", "peer", "platform", "request"] {
        dispatch = dispatch.level_for(part, level);
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            let time = humantime::format_rfc3339_millis(time::SystemTime::now());
            let line = line(&time.to_string(), record, &record.args().to_string());
            queue.push(line.to_string());
        }))
        .apply()?;
    Ok(())
}

/// Returns a log record as a JSON object: time, level, part and message, together with
/// the key-value pairs of the record, such as `request`.
fn line(time: &str, record: &log::Record<'_>, message: &str) -> serde_json::Value {
    let mut fields = Fields(serde_json::Map::new());
    // Collecting into a map does not fail.
    drop(record.key_values().visit(&mut fields));
    let fixed = [
        ("time", time),
        ("level", record.level().as_str()),
        ("part", record.target()),
        ("message", message),
    ];
    for (name, value) in fixed {
        fields.0.insert(name.to_owned(), value.into());
    }
    serde_json::Value::Object(fields.0)
}

/// Collects the key-value pairs of a log record, without empty values.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'a> kv::VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'a>, value: kv::Value<'a>) -> Result<(), kv::Error> {
        let value = value.to_string();
        if !value.is_empty() {
            self.0.insert(key.to_string(), value.into());
        }
        Ok(())
    }
}
