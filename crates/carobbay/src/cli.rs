use std::net;
use std::path;

/// Routes language-model traffic with service levels and priorities.
#[derive(clap::Parser, Debug)]
#[command(name = "carobbay", version, after_help = EXIT_CODES)]
pub(crate) struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  failure while running
  2  wrong arguments
  3  settings with problems";

/// A subcommand.
#[derive(clap::Subcommand, Debug)]
pub(crate) enum Command {
    /// Runs a router host until SIGTERM, which shuts it down gracefully; SIGHUP
    /// reads the settings folder again.
    #[command(after_help = "Example:
  carobbay serve --settings examples/kalahari --listen 127.0.0.1:8080")]
    Serve(Serve),
    /// Checks a settings folder and prints every problem.
    #[command(after_help = "Examples:
  carobbay check examples/kalahari
  carobbay check --print examples/kalahari")]
    Check(Check),
    /// Prints a completion script for a shell.
    #[command(after_help = "Example:
  carobbay completions bash > /etc/bash_completion.d/carobbay")]
    Completions {
        /// Shell.
        shell: clap_complete::Shell,
    },
}

/// Arguments of `serve`.
#[derive(clap::Args, Debug)]
pub(crate) struct Serve {
    /// Folder with the settings.
    #[arg(long, value_name = "DIR")]
    pub(crate) settings: path::PathBuf,
    /// Name of the host; overrides the settings.
    #[arg(long)]
    pub(crate) name: Option<String>,
    /// Address for callers; overrides the settings.
    #[arg(long, value_name = "ADDR")]
    pub(crate) listen: Option<net::SocketAddr>,
    /// Address for other hosts; overrides the settings.
    #[arg(long, value_name = "ADDR")]
    pub(crate) peer_listen: Option<net::SocketAddr>,
    /// Address at which other hosts reach this one, if it is not the address
    /// that it listens on.
    #[arg(long, value_name = "ADDR")]
    pub(crate) peer_advertise: Option<net::SocketAddr>,
    /// Address of the administration API; overrides the settings.
    #[arg(long, value_name = "ADDR")]
    pub(crate) admin_listen: Option<net::SocketAddr>,
    /// Data centre; overrides the settings.
    #[arg(long, value_name = "NAME")]
    pub(crate) data_centre: Option<String>,
    /// Region; overrides the settings.
    #[arg(long, value_name = "NAME")]
    pub(crate) region: Option<String>,
}

/// Arguments of `check`.
#[derive(clap::Args, Debug)]
pub(crate) struct Check {
    /// Folder with the settings.
    #[arg(value_name = "DIR")]
    pub(crate) folder: path::PathBuf,
    /// Prints the merged settings with the file that each value comes from.
    #[arg(long)]
    pub(crate) print: bool,
}
