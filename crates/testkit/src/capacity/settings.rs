use core::time;
use std::fmt::Write as _;
use std::net;
use std::sync;

use anyhow::anyhow;

/// Settings that all hosts of a run share.
const COMMON: &str = "
[fleet]
peer_keys = capacity-key-capacity-key-capacity
[class open]
tier = 1
target_first = 5s
deadline = 600s
[anonymous]
class = open
[pool model]
kind = model
";

/// Returns the settings sections of model endpoints with `slots` slots each.
pub fn endpoints(addresses: &[net::SocketAddr], slots: usize) -> String {
    let mut text = String::new();
    for (index, address) in addresses.iter().enumerate() {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[endpoint source-{index}]\npool = model\naddress = {address}\n\
             data_centre = dc-0\nslots = {slots}\n"
        );
    }
    text
}

/// Returns the common settings followed by additional lines.
pub(super) fn text(further: &str) -> String {
    format!("{COMMON}{further}")
}

/// Returns the options of host `number` with additional settings lines.
///
/// # Errors
///
/// Returns an error if the settings are invalid.
pub fn host_options(
    number: usize,
    further: &str,
    seeds: &[net::SocketAddr],
    platform: &[net::SocketAddr],
) -> anyhow::Result<host::Options> {
    let files = [conf::File::new("10-capacity.ini", text(further))];
    let mut settings = conf::load(&files)
        .map_err(|problems| anyhow!("the settings of the host are invalid: {problems:?}"))?
        .settings;
    settings.fleet.seeds = seeds.to_vec();
    settings.fleet.platform = platform.to_vec();
    settings.limits.shutdown_max = time::Duration::from_secs(2);
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    Ok(host::Options {
        settings: sync::Arc::new(settings),
        name: format!("host-{number}"),
        data_centre: format!("dc-{}", number % 3),
        region: "region-0".to_owned(),
        listen: any,
        peer_listen: any,
        peer_advertise: None,
        admin_listen: None,
        policy: host::Policy::Current,
        stall_timeout: host::STALL_TIMEOUT,
    })
}
