use answer::{Kind, Refusal};

use crate::console::lists;
use crate::console::source;

/// Starts or ends the draining of the host or endpoint in the order.
///
/// # Errors
///
/// Refuses an order for another host or an unknown endpoint with `NotFound`, and
/// one that ends the draining of this host with `BadRequest`.
pub(super) fn set(
    console: &source::Console,
    order: &admin::Drain,
    draining: bool,
) -> Result<admin::Drained, Refusal> {
    let in_flight = match order.target {
        admin::Target::Host => host(console, &order.name, draining)?,
        admin::Target::Endpoint => endpoint(console, &order.name, draining)?,
    };
    Ok(admin::Drained {
        target: order.target,
        name: order.name.clone(),
        draining,
        in_flight,
    })
}

fn host(console: &source::Console, name: &str, draining: bool) -> Result<u64, Refusal> {
    let own = console
        .view
        .with(|membership| membership.own().name.clone());
    if own != name {
        let text = format!("this is host {own}; send the order to host {name} itself");
        return Err(Refusal::new(Kind::NotFound, text));
    }
    if !draining && console.view.is_leaving() {
        // For other hosts, leaving is final for this incarnation.
        let text = "a leaving host cannot return to service; restart it";
        return Err(Refusal::new(Kind::BadRequest, text));
    }
    if draining {
        console.view.leave();
        console.peers.leave();
    }
    Ok(console.state.records().count_open() as u64)
}

fn endpoint(console: &source::Console, name: &str, draining: bool) -> Result<u64, Refusal> {
    let active = console.state.active();
    if !active.settings.endpoints.contains_key(name) {
        let text = "there is no such endpoint in the settings in force";
        return Err(Refusal::new(Kind::NotFound, text));
    }
    console.state.set_drained(name, draining);
    let endpoints = lists::endpoints(console);
    let endpoint = endpoints.iter().find(|endpoint| endpoint.name == name);
    Ok(endpoint.map_or(0, |endpoint| endpoint.in_flight.into()))
}
