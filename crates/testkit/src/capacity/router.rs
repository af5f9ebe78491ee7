use core::time;
use std::net;

use crate::capacity::process::Process;
use crate::capacity::settings;

/// Slots per endpoint, more than any run uses.
const SLOTS: usize = 20_000;

/// Single host in its own process.
pub struct Router(host::Host);

/// Starts a host in front of the endpoints at `sources`.
///
/// `resume` sets whether interrupted streams are resumed on another endpoint.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn start_router(
    sources: &[net::SocketAddr],
    policy: host::Policy,
    resume: bool,
) -> anyhow::Result<Router> {
    let further = format!("resume = {resume}\n{}", settings::endpoints(sources, SLOTS));
    let mut options = settings::host_options(0, &further, &[], &[])?;
    options.policy = policy;
    Ok(Router(host::Host::start(options).await?))
}

impl Router {
    /// Returns the address on which the host accepts callers.
    pub const fn address(&self) -> net::SocketAddr {
        self.0.caller_addr()
    }

    /// Prints memory and processor time every second for `seconds` seconds.
    pub async fn print(&self, seconds: u32) {
        let mut before = Process::cpu_time("");
        let mut at = std::time::Instant::now();
        for second in 1..=seconds {
            tokio::time::sleep(time::Duration::from_secs(1)).await;
            let (now, processor) = (std::time::Instant::now(), Process::cpu_time(""));
            let share = (processor - before).as_secs_f64() / (now - at).as_secs_f64();
            println!(
                "second {second}: resident {} KiB, {share:.3} cores",
                Process::resident_bytes() / 1024
            );
            (before, at) = (processor, now);
        }
    }
}
