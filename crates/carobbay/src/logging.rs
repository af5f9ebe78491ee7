use std::time;

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if the level is not known or a logger is already set.
pub(crate) fn start(options: &conf::settings::Log) -> anyhow::Result<()> {
    let level: log::LevelFilter = options.level.parse()?;
    let json = options.format == conf::settings::Format::Json;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("host", level)
        .level_for("front", level)
        .level_for("peer", level)
        .level_for("admin", level)
        .level_for("carobbay", level)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(time::SystemTime::now());
            let (part, level) = (record.target(), record.level());
            if json {
                let line = serde_json::json!({
                    "time": time.to_string(),
                    "level": level.as_str(),
                    "part": part,
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!("{time} {level:<5} {part}: {message}"));
            }
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
