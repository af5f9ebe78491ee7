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

/// Runs a host until it is told to stop.
pub(crate) fn run(arguments: cli::Serve) -> anyhow::Result<process::ExitCode> {
    let loaded = match &arguments.settings {
        Some(folder) => check::load(folder)?,
        None => initial(&arguments)?,
    };
    let outcome = match loaded {
        Ok(outcome) => outcome,
        Err(problems) => {
            for problem in &problems {
                eprintln!("{problem}");
            }
            return Ok(process::ExitCode::from(check::PROBLEMS));
        }
    };
    logging::start(&outcome.settings.log)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(serve(arguments, outcome))?;
    Ok(process::ExitCode::SUCCESS)
}

async fn serve(arguments: cli::Serve, outcome: conf::Configuration) -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut reload = unix::signal(unix::SignalKind::hangup())?;
    let folder = arguments.settings.clone();
    let host = host::Host::start(options(arguments, outcome.settings.clone())?).await?;
    host.set_sources(&outcome);
    // Whoever starts the process learns the bound addresses from this line.
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
            _ = reload.recv() => read_again(&host, folder.as_deref()),
        }
    }
    log::info!(target: "carobbay", "shutting down");
    host.shutdown().await;
    Ok(())
}

/// Reads the folder again; settings with problems change nothing.
fn read_again(host: &host::Host, folder: Option<&path::Path>) {
    let Some(folder) = folder else {
        log::info!(target: "carobbay", "nothing to read: the configuration comes from the platform");
        return;
    };
    match check::load(folder) {
        Ok(Ok(outcome)) => {
            host.set_sources(&outcome);
            host.replace_settings(sync::Arc::new(outcome.settings));
            log::info!(target: "carobbay", "settings of {} are in force", folder.display());
        }
        Ok(Err(problems)) => {
            for problem in &problems {
                log::error!(target: "carobbay", "settings refused: {problem}");
            }
        }
        Err(cause) => log::error!(target: "carobbay", "settings not read: {cause:#}"),
    }
}

/// Returns the settings of a host whose configuration comes from the platform.
///
/// Until it comes, no model and no service is known here.
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

fn list(key: &str, values: &[impl ToString]) -> String {
    let values: Vec<String> = values.iter().map(ToString::to_string).collect();
    match values.is_empty() {
        true => String::new(),
        false => format!("{key} = {}\n", values.join(", ")),
    }
}

/// Least settings that pass the check.
const INITIAL: &str = "[class initial]
tier = 0
target_first = 1s
deadline = 10s
[anonymous]
class = initial
[fleet]
";

fn options(arguments: cli::Serve, settings: conf::Settings) -> anyhow::Result<host::Options> {
    let own = settings.host.clone();
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
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
        peer_listen: arguments.peer_listen.or(own.peer_listen).unwrap_or(any),
        peer_advertise: arguments.peer_advertise,
        admin_listen: arguments.admin_listen.or(own.admin_listen),
        policy: host::Policy::Current,
        settings: sync::Arc::new(settings),
    })
}
