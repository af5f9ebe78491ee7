use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;

use anyhow::Context;
use tokio::signal::unix;

use crate::check;
use crate::cli;
use crate::logging;

/// Runs the command `serve`: a host that runs until SIGTERM or SIGINT.
pub(crate) fn run(arguments: cli::Serve) -> anyhow::Result<process::ExitCode> {
    let loaded = match &arguments.settings {
        Some(folder) => check::load(folder)?,
        None => initial(&arguments)?,
    };
    let configuration = match loaded {
        Ok(configuration) => configuration,
        Err(problems) => {
            for problem in &problems {
                eprintln!("{problem}");
            }
            return Ok(process::ExitCode::from(check::EXIT_PROBLEMS));
        }
    };
    logging::start(&configuration.settings.log)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(serve(arguments, configuration))?;
    Ok(process::ExitCode::SUCCESS)
}

async fn serve(arguments: cli::Serve, configuration: conf::Configuration) -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut reload = unix::signal(unix::SignalKind::hangup())?;
    let folder = arguments.settings.clone();
    let host = host::Host::start(options(arguments, configuration.settings.clone())?).await?;
    host.set_sources(&configuration);
    // The parent process reads the bound addresses from this line.
    println!(
        "listening callers={} peers={}{}",
        host.caller_addr(),
        host.peer_addr(),
        host.admin_addr()
            .map_or_else(String::new, |address| format!(" admin={address}"))
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(&host, folder.as_deref()),
        }
    }
    log::info!(target: "carobbay", "shutting down");
    host.shutdown().await;
    Ok(())
}

/// Reloads the settings folder. If it has problems, the settings in force stay.
fn reload_settings(host: &host::Host, folder: Option<&path::Path>) {
    let Some(folder) = folder else {
        log::info!(target: "carobbay", "SIGHUP ignored: the configuration comes from the platform");
        return;
    };
    match check::load(folder) {
        Ok(Ok(configuration)) => {
            host.set_sources(&configuration);
            host.replace_settings(sync::Arc::new(configuration.settings));
            log::info!(target: "carobbay", "settings of {} are in force", folder.display());
        }
        Ok(Err(problems)) => {
            for problem in &problems {
                log::error!(target: "carobbay", "settings refused: {problem}");
            }
        }
        Err(cause) => log::error!(target: "carobbay", "cannot reload the settings: {cause:#}"),
    }
}

/// Returns the initial settings of a host whose configuration comes from the platform.
///
/// They define no model and no service; the configuration adds these.
///
/// # Errors
///
/// Returns an error if the file with the peer keys cannot be read.
fn initial(
    arguments: &cli::Serve,
) -> anyhow::Result<Result<conf::Configuration, Vec<conf::Problem>>> {
    let mut text = INITIAL.to_owned();
    text.push_str(&list("platform", &arguments.platform));
    text.push_str(&list("seeds", &arguments.seeds));
    if let Some(file) = &arguments.peer_key_file {
        let keys =
            fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
        let keys: Vec<&str> = keys.split_whitespace().collect();
        text.push_str(&list("peer_keys", &keys));
    }
    Ok(conf::load(&[conf::File::new("command line", text)]))
}

/// Returns a settings line with a list of values, or nothing for an empty list.
fn list(key: &str, values: &[impl ToString]) -> String {
    let values: Vec<String> = values.iter().map(ToString::to_string).collect();
    match values.is_empty() {
        true => String::new(),
        false => format!("{key} = {}\n", values.join(", ")),
    }
}

/// Minimal settings that pass validation.
const INITIAL: &str = "[class initial]
tier = 0
target_first = 1s
deadline = 10s
[anonymous]
class = initial
[fleet]
";

/// Combines the arguments with the settings; arguments take precedence.
///
/// # Errors
///
/// Returns an error if the name, data centre, region or address for callers is missing.
fn options(arguments: cli::Serve, settings: conf::Settings) -> anyhow::Result<host::Options> {
    let own = settings.host.clone();
    let loopback = net::SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(host::Options {
        name: arguments
            .name
            .or(own.name)
            .context("the host has no name: set --name or [host] name")?,
        data_centre: arguments
            .data_centre
            .or(own.data_centre)
            .context("the host has no data centre: set --data-centre or [host] data_centre")?,
        region: arguments
            .region
            .or(own.region)
            .context("the host has no region: set --region or [host] region")?,
        listen: arguments
            .listen
            .or(own.listen)
            .context("no address for callers: set --listen or [host] listen")?,
        peer_listen: arguments
            .peer_listen
            .or(own.peer_listen)
            .unwrap_or(loopback),
        peer_advertise: arguments.peer_advertise,
        admin_listen: arguments.admin_listen.or(own.admin_listen),
        policy: host::Policy::Current,
        stall_timeout: host::STALL_TIMEOUT,
        settings: sync::Arc::new(settings),
    })
}
