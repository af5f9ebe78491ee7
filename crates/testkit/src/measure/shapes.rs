use core::time;

use crate::engine;
use crate::measure::class::{Class, Work};
use crate::measure::shape::Shape;
use crate::measure::team::Team;

/// Seed of the output lengths, the same for all engines.
const ENGINE_SEED: u64 = 0x5eed;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

impl Shape {
    /// Returns the shape Kalahari: 20 proofing engines and 4 order-desk endpoints.
    pub fn kalahari() -> Self {
        Self {
            name: "kalahari",
            model: "proofing",
            engines: 20,
            engine: engine(vec![length(10.0, 0.4), stragglers(60.0, 0.05, 12.0)]),
            service_slots: 2,
            classes: vec![
                model(
                    "door-label",
                    1,
                    (ms(300), ms(10), ms(2_000)),
                    0.3,
                    (200, 400),
                ),
                model(
                    "plate-check",
                    3,
                    (ms(2_000), ms(20), ms(15_000)),
                    0.7,
                    (800, 2_400),
                ),
                service("booking", 0, (ms(250), ms(3_000)), 2, false),
                service("status", 2, (ms(400), ms(2_000)), 2, true),
            ],
            teams: vec![
                team("press-north", 0, 4.0),
                team("press-south", 0, 1.0),
                team("press-east", 0, 1.0),
                team("press-west", 0, 1.0),
                team("plates-large", 1, 4.0),
                team("plates-small", 1, 1.0),
                team("plates-proof", 1, 1.0),
                team("desk-day", 2, 2.0),
                team("desk-night", 2, 1.0),
                team("tracking", 3, 1.0),
            ],
            anonymous: 1,
            greedy: 5,
            data_centres: vec!["k1", "k2", "k3", "k4"],
            swing: (0.5, ms(5_000)),
        }
    }

    /// Returns the shape Ganci Alpini: 10 engines and 3 endpoints for orders and stock.
    pub fn ganci_alpini() -> Self {
        Self {
            name: "ganci-alpini",
            model: "fitting",
            engines: 10,
            engine: engine(vec![length(25.0, 0.5), stragglers(50.0, 0.03, 10.0)]),
            service_slots: 2,
            classes: vec![
                model("quote", 1, (ms(300), ms(10), ms(2_500)), 0.6, (300, 900)),
                model(
                    "catalogue",
                    3,
                    (ms(2_000), ms(20), ms(15_000)),
                    0.4,
                    (400, 1_600),
                ),
                service("confirmation", 0, (ms(250), ms(3_000)), 2, false),
                service("stock", 2, (ms(400), ms(2_000)), 1, true),
            ],
            teams: vec![
                team("milan", 0, 4.0),
                team("turin", 0, 1.0),
                team("verona", 0, 1.0),
                team("bergamo", 0, 1.0),
                team("web", 1, 3.0),
                team("print", 1, 1.0),
                team("partners", 1, 1.0),
                team("orders-day", 2, 2.0),
                team("orders-night", 2, 1.0),
                team("stockroom", 3, 1.0),
            ],
            anonymous: 1,
            greedy: 5,
            data_centres: vec!["g1", "g2", "g3"],
            swing: (0.7, ms(4_000)),
        }
    }
}

fn engine(lengths: Vec<engine::Length>) -> engine::Options {
    engine::Options {
        slots: 6,
        prefill: time::Duration::from_micros(10),
        decode: ms(4),
        batch_growth: 1.0,
        seed: ENGINE_SEED,
        lengths,
        report_lag: ms(500),
        ..engine::Options::default()
    }
}

fn length(median: f64, sigma: f64) -> engine::Length {
    engine::Length {
        median,
        sigma,
        ..engine::Length::default()
    }
}

fn stragglers(median: f64, share: f64, factor: f64) -> engine::Length {
    engine::Length {
        straggler_share: share,
        straggler_factor: factor,
        max: 1_000,
        ..length(median, 0.5)
    }
}

const fn model(
    name: &'static str,
    tier: u8,
    (first, gap, deadline): (time::Duration, time::Duration, time::Duration),
    share: f64,
    prompt: (usize, usize),
) -> Class {
    Class {
        name,
        tier,
        first,
        gap: Some(gap),
        deadline,
        floor: 0.1,
        idempotent: true,
        work: Work::Model { share, prompt },
    }
}

const fn service(
    name: &'static str,
    tier: u8,
    (first, deadline): (time::Duration, time::Duration),
    endpoints: usize,
    idempotent: bool,
) -> Class {
    Class {
        name,
        tier,
        first,
        gap: None,
        deadline,
        floor: 0.1,
        idempotent,
        work: Work::Service {
            endpoints,
            delay: ms(40),
        },
    }
}

const fn team(name: &'static str, class: usize, weight: f64) -> Team {
    Team {
        name,
        class,
        weight,
    }
}
