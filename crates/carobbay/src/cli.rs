use std::net;
use std::path;

/// Appends the table of exit codes to the examples of a command's help text.
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
#[command(name = "carobbay", version, after_help = AFTER_HELP)]
pub(crate) struct Arguments {
    /// Subcommand to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Text after the help of the program itself.
const AFTER_HELP: &str = help!(
    "Example:
  carobbay check examples/kalahari"
);

/// Subcommand of the program.
#[derive(clap::Subcommand, Debug)]
pub(crate) enum Command {
    /// Runs a router host until SIGTERM, which shuts it down gracefully; SIGHUP
    /// reloads the settings folder.
    #[command(after_help = help!("Examples:
  carobbay serve --settings examples/kalahari --listen 127.0.0.1:8080
  carobbay serve --platform 127.0.0.1:8000 --peer-key-file peer.key \\
    --seeds 127.0.0.1:7101 --name a-1 --data-centre a --region r \\
    --listen 127.0.0.1:8080 --peer-listen 127.0.0.1:8081"))]
    Serve(Box<Serve>),
    /// Runs a router host on the users' platform until SIGTERM. An environment
    /// variable names the platform's settings file (docs/operate/platform.md); logs
    /// are JSON lines on standard output.
    #[command(after_help = help!("Example:
  carobbay platform --metrics-port 9464"))]
    Platform(Platform),
    /// Checks a settings folder and prints every problem.
    #[command(after_help = help!("Examples:
  carobbay check examples/kalahari
  carobbay check --print examples/kalahari"))]
    Check(Check),
    /// Shows the configuration, peers and leases of running hosts.
    #[command(after_help = help!("Example:
  carobbay status --admin 127.0.0.1:7102 --admin 127.0.0.1:7112 \\
    --key-file read.key"))]
    Status(Status),
    /// Explains how a request is served, from settings or from running hosts.
    #[command(after_help = help!("Examples:
  carobbay explain --settings examples/kalahari --model proofing \\
    --key kalahari-label-printers
  carobbay explain --admin 127.0.0.1:7102 --key-file read.key \\
    --request 0123456789abcdef
  carobbay explain --at 127.0.0.1:7401 --path /chat/ --header 'Host: shop.example' \
    --body request.json --save-state case.json
  carobbay explain --state case.json --format json"))]
    Explain(Box<Explain>),
    /// Reports how well running hosts together meet the service levels.
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
        /// Shell to print the script for.
        shell: clap_complete::Shell,
    },
}

/// Arguments of `platform`.
#[derive(clap::Args, Debug)]
pub(crate) struct Platform {
    /// Port that serves metrics as text; without it no metrics are served.
    #[arg(long, value_name = "PORT")]
    pub(crate) metrics_port: Option<u16>,
    /// Minimum level of log lines: error, warn, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub(crate) log_level: log::LevelFilter,
}

/// Arguments of `serve`.
#[derive(clap::Args, Debug)]
pub(crate) struct Serve {
    /// Folder with the settings files.
    #[arg(
        long,
        value_name = "DIR",
        required_unless_present = "platform",
        conflicts_with_all = ["platform", "seeds", "peer_key_file"]
    )]
    pub(crate) settings: Option<path::PathBuf>,
    /// Addresses of the platform, separated by commas. The configuration then comes
    /// from the platform or from other hosts.
    #[arg(long, value_name = "ADDR", value_delimiter = ',')]
    pub(crate) platform: Vec<net::SocketAddr>,
    /// Addresses of other hosts to contact at start, separated by commas.
    #[arg(long, value_name = "ADDR", value_delimiter = ',')]
    pub(crate) seeds: Vec<net::SocketAddr>,
    /// File with the keys that the hosts share, one per line; the first key signs.
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
    /// Address at which other hosts reach this one, if it differs from the address
    /// that this host listens on.
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
    /// Folder with the settings files.
    #[arg(value_name = "DIR")]
    pub(crate) folder: path::PathBuf,
    /// Prints the merged settings and the file that each value comes from.
    #[arg(long)]
    pub(crate) print: bool,
}

/// Hosts to query, and how to authenticate.
#[derive(clap::Args, Debug)]
pub(crate) struct Hosts {
    /// Address of a host's administration API; may be given several times.
    #[arg(long, value_name = "ADDR")]
    pub(crate) admin: Vec<net::SocketAddr>,
    /// Bearer key of the API; with `explain --settings`, the caller's key.
    /// Other users of the machine can see it in the process list; prefer a file.
    #[arg(long, value_name = "KEY", conflicts_with = "key_file")]
    pub(crate) key: Option<String>,
    /// File with the bearer key.
    #[arg(long, value_name = "FILE")]
    pub(crate) key_file: Option<path::PathBuf>,
    /// PEM file with the certificates to trust; enables TLS to the hosts.
    #[arg(long, value_name = "FILE")]
    pub(crate) ca_file: Option<path::PathBuf>,
    /// Name in the hosts' certificates, if it differs from their address.
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
    /// Folder with the settings files.
    #[arg(
        long,
        value_name = "DIR",
        required_unless_present_any = ["request", "at", "state"],
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
    /// Address for readiness checks of a host on the platform, which is asked what it
    /// would do with a request. The request is not sent.
    #[arg(long, value_name = "ADDR", requires = "path", conflicts_with_all = ["request", "settings"])]
    pub(crate) at: Option<net::SocketAddr>,
    /// Path of the request, with its query.
    #[arg(long, value_name = "PATH", requires = "at")]
    pub(crate) path: Option<String>,
    /// Method of the request.
    #[arg(long, value_name = "METHOD", default_value = "POST")]
    pub(crate) method: String,
    /// Header of the request; may be given several times.
    #[arg(long, value_name = "NAME: VALUE", requires = "at")]
    pub(crate) header: Vec<String>,
    /// File with the body of the request, of which the host is told the prompt parts and a
    /// hash.
    #[arg(long, value_name = "FILE", requires = "at")]
    pub(crate) body: Option<path::PathBuf>,
    /// File for the state by which the host decides; `--state` explains from it again.
    #[arg(long, value_name = "FILE", requires = "at")]
    pub(crate) save_state: Option<path::PathBuf>,
    /// File that `--save-state` wrote, to explain its request again without a host.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["at", "request", "settings"])]
    pub(crate) state: Option<path::PathBuf>,
    /// Format of the output of `--at` and `--state`.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub(crate) format: Format,
}

/// Arguments of `demo`.
#[derive(clap::Args, Debug)]
pub(crate) struct Demo {
    /// Sends no load and runs until SIGINT or SIGTERM, for requests sent by hand.
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
    #[arg(long, value_enum, default_value_t = ReportFormat::Text)]
    pub(crate) format: ReportFormat,
    /// File for the output; the default is standard output.
    #[arg(long, value_name = "FILE")]
    pub(crate) output: Option<path::PathBuf>,
}

/// Format of `status`.
#[derive(clap::ValueEnum, Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    /// Lines of text.
    Text,
    /// One JSON document.
    Json,
}

/// Format of `report`.
#[derive(clap::ValueEnum, Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReportFormat {
    /// A table as text.
    Text,
    /// One JSON document.
    Json,
    /// An SVG image.
    Svg,
}
