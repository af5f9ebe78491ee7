use std::net;
use std::process;
use std::sync;

use anyhow::Context;
use tokio::signal::unix;

use crate::check;
use crate::cli;
use crate::logging;

/// Runs a host until it is told to stop.
pub(crate) fn run(arguments: cli::Serve) -> anyhow::Result<process::ExitCode> {
    let outcome = match check::load(&arguments.settings)? {
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

async fn serve(arguments: cli::Serve, outcome: conf::Outcome) -> anyhow::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut reload = unix::signal(unix::SignalKind::hangup())?;
    let folder = arguments.settings.clone();
    let host = host::Host::start(options(arguments, outcome.settings)?).await?;
    // Whoever starts the process learns the bound addresses from this line.
    println!(
        "listening callers={} peers={}",
        host.caller_addr(),
        host.peer_addr()
    );
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => read_again(&host, &folder),
        }
    }
    log::info!(target: "carobbay", "shutting down");
    host.shutdown().await;
    Ok(())
}

/// Reads the folder again; settings with problems change nothing.
fn read_again(host: &host::Host, folder: &std::path::Path) {
    match check::load(folder) {
        Ok(Ok(outcome)) => {
            host.replace(sync::Arc::new(outcome.settings));
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
        policy: host::Choice::Current,
        settings: sync::Arc::new(settings),
    })
}
