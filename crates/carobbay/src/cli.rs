use std::net;
use std::path;

macro_rules! help {
    ($examples:literal) => {
        concat!(
            $examples,
            "

Exit codes:
  0  success
  1  failure while running
  2  wrong arguments
  3  settings with problems"
        )
    };
}

/// Routes language-model traffic with service levels and priorities.
#[derive(clap::Parser, Debug)]
#[command(name = "carobbay", version, after_help = EXIT_CODES)]
pub(crate) struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXIT_CODES: &str = help!(
    "Example:
  carobbay check examples/kalahari"
);

/// A subcommand.
#[derive(clap::Subcommand, Debug)]
pub(crate) enum Command {
    /// Runs a router host until SIGTERM, which shuts it down gracefully; SIGHUP
    /// reads the settings folder again.
    #[command(after_help = help!("Examples:
  carobbay serve --settings examples/kalahari --listen 127.0.0.1:8080
  carobbay serve --platform 127.0.0.1:8000 --peer-key-file peer.key \\
    --seeds 127.0.0.1:7101 --name a-1 --data-centre a --region r \\
    --listen 127.0.0.1:8080 --peer-listen 127.0.0.1:8081"))]
    Serve(Box<Serve>),
    /// Serves on the users' platform until SIGTERM. The environment names the
    /// platform's settings file (docs/operate/platform.md); logs are JSON lines
    /// on standard output.
    #[command(after_help = help!("Example:
  carobbay platform --metrics-port 9464"))]
    Platform(Platform),
    /// Checks a settings folder and prints every problem.
    #[command(after_help = help!("Examples:
  carobbay check examples/kalahari
  carobbay check --print examples/kalahari"))]
    Check(Check),
    /// Shows configuration, peers and leases of running hosts.
    #[command(after_help = help!("Example:
  carobbay status --admin 127.0.0.1:7102 --admin 127.0.0.1:7112 \\
    --key-file read.key"))]
    Status(Status),
    /// Explains how a request is served, from settings or from a running host.
    #[command(after_help = help!("Examples:
  carobbay explain --settings examples/kalahari --model proofing \\
    --key kalahari-label-printers
  carobbay explain --admin 127.0.0.1:7102 --key-file read.key \\
    --request 0123456789abcdef"))]
    Explain(Explain),
    /// Reports how running hosts together meet the service levels.
    #[command(after_help = help!("Example:
  carobbay report --admin 127.0.0.1:7102 --admin 127.0.0.1:7112 \\
    --key-file read.key --format svg --output burn.svg"))]
    Report(Report),
    /// Runs two hosts with stand-in endpoints under a mixed load for some seconds.
    #[command(after_help = help!("Examples:
  carobbay demo
  carobbay demo --stay --listen 127.0.0.1:8080 --admin-listen 127.0.0.1:8090"))]
    Demo(Demo),
    /// Prints a completion script for a shell.
    #[command(after_help = help!("Example:
  carobbay completions bash > /etc/bash_completion.d/carobbay"))]
    Completions {
        /// Shell.
        shell: clap_complete::Shell,
    },
}

/// Arguments of `platform`.
#[derive(clap::Args, Debug)]
pub(crate) struct Platform {
    /// Port at which metrics are served as text; without it they are not.
    #[arg(long, value_name = "PORT")]
    pub(crate) metrics_port: Option<u16>,
    /// Least level of the lines that are written: error, warn, info, debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub(crate) log_level: log::LevelFilter,
}

/// Arguments of `serve`.
#[derive(clap::Args, Debug)]
pub(crate) struct Serve {
    /// Folder with the settings.
    #[arg(
        long,
        value_name = "DIR",
        required_unless_present = "platform",
        conflicts_with_all = ["platform", "seeds", "peer_key_file"]
    )]
    pub(crate) settings: Option<path::PathBuf>,
    /// Addresses of the platform, separated by commas. The configuration comes
    /// from there or from other hosts.
    #[arg(long, value_name = "ADDR", value_delimiter = ',')]
    pub(crate) platform: Vec<net::SocketAddr>,
    /// Addresses of other hosts to contact first, separated by commas.
    #[arg(long, value_name = "ADDR", value_delimiter = ',')]
    pub(crate) seeds: Vec<net::SocketAddr>,
    /// File with the keys that the hosts share, one a line; the first one signs.
    #[arg(long, value_name = "FILE", requires = "platform")]
    pub(crate) peer_key_file: Option<path::PathBuf>,
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

/// Which hosts are asked, and with which key.
#[derive(clap::Args, Debug)]
pub(crate) struct Hosts {
    /// Address of a host's administration API; may be given several times.
    #[arg(long, value_name = "ADDR")]
    pub(crate) admin: Vec<net::SocketAddr>,
    /// Bearer key of the API; with `explain --settings`, that of the caller.
    /// Other users of the machine can see it; prefer a file.
    #[arg(long, value_name = "KEY", conflicts_with = "key_file")]
    pub(crate) key: Option<String>,
    /// File with the bearer key.
    #[arg(long, value_name = "FILE")]
    pub(crate) key_file: Option<path::PathBuf>,
    /// PEM file with the certificates to trust; the hosts are asked over TLS.
    #[arg(long, value_name = "FILE")]
    pub(crate) ca_file: Option<path::PathBuf>,
    /// Name in the hosts' certificates, if it is not their address.
    #[arg(long, value_name = "NAME", requires = "ca_file")]
    pub(crate) server_name: Option<String>,
}

/// Arguments of `status`.
#[derive(clap::Args, Debug)]
pub(crate) struct Status {
    #[command(flatten)]
    pub(crate) hosts: Hosts,
    /// Format of the output.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub(crate) format: Format,
}

/// Arguments of `explain`.
#[derive(clap::Args, Debug)]
pub(crate) struct Explain {
    #[command(flatten)]
    pub(crate) hosts: Hosts,
    /// Id of a request, from the header `x-request-id`.
    #[arg(long, value_name = "ID", requires = "admin")]
    pub(crate) request: Option<String>,
    /// Folder with the settings.
    #[arg(
        long,
        value_name = "DIR",
        required_unless_present = "request",
        conflicts_with = "request"
    )]
    pub(crate) settings: Option<path::PathBuf>,
    /// Model that the request names.
    #[arg(long, value_name = "MODEL", requires = "settings")]
    pub(crate) model: Option<String>,
    /// Service that the request names.
    #[arg(
        long,
        value_name = "SERVICE",
        requires = "settings",
        conflicts_with = "model"
    )]
    pub(crate) service: Option<String>,
    /// Address of the caller.
    #[arg(long, value_name = "IP", default_value = "127.0.0.1")]
    pub(crate) address: net::IpAddr,
}

/// Arguments of `demo`.
#[derive(clap::Args, Debug)]
pub(crate) struct Demo {
    /// Sends no load; runs until SIGINT or SIGTERM, to be tried by hand.
    #[arg(long)]
    pub(crate) stay: bool,
    /// Address for callers of the first host.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:0")]
    pub(crate) listen: net::SocketAddr,
    /// Address of the administration API of the first host; the key is `demo`.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:0")]
    pub(crate) admin_listen: net::SocketAddr,
}

/// Arguments of `report`.
#[derive(clap::Args, Debug)]
pub(crate) struct Report {
    #[command(flatten)]
    pub(crate) hosts: Hosts,
    /// Format of the output.
    #[arg(long, value_enum, default_value_t = Picture::Text)]
    pub(crate) format: Picture,
    /// File for the output; standard output without it.
    #[arg(long, value_name = "FILE")]
    pub(crate) output: Option<path::PathBuf>,
}

/// Format of `status`.
#[derive(clap::ValueEnum, Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    /// Lines for terminals.
    Text,
    /// One JSON document.
    Json,
}

/// Format of `report`.
#[derive(clap::ValueEnum, Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Picture {
    /// A table for terminals.
    Text,
    /// One JSON document.
    Json,
    /// A picture.
    Svg,
}
