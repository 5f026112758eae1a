//! Compares policies for expert maps over seeded traces, and prints one row for each.
//!
//! `cargo run --release -p auburnline-rebalance --example table -- [--csv] [--trace NAME]
//! [--layers N] [--hours N] [--seed N]`

mod policy;
mod simulation;
mod trace;

use auburnline_core::published::Rebalance;
use auburnline_rebalance::counts::Shape;

use crate::simulation::Row;
use crate::trace::Kind;

/// Weights of a preset for which skew is expensive compared with loads and disruption.
pub(crate) const DIALLO: Rebalance = Rebalance {
    skew_weight: 1.0,
    move_weight: 0.6,
    disruption_weight: 0.05,
};
/// Weights of a preset for which loads and disruption are expensive compared with skew.
pub(crate) const NAIROBI: Rebalance = Rebalance {
    skew_weight: 0.5,
    move_weight: 1.0,
    disruption_weight: 0.5,
};

/// Command line options.
struct Options {
    csv: bool,
    trace: Option<String>,
    layers: usize,
    hours: u32,
    seed: u64,
}

fn options() -> Result<Options, String> {
    let mut options = Options {
        csv: false,
        trace: None,
        layers: 58,
        hours: 24,
        seed: 7,
    };
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        if argument == "--csv" {
            options.csv = true;
            continue;
        }
        let value = arguments
            .next()
            .ok_or(format!("{argument} needs a value"))?;
        let number = || value.parse::<u32>().map_err(|error| error.to_string());
        match argument.as_str() {
            "--trace" => options.trace = Some(value),
            "--layers" => options.layers = number()? as usize,
            "--hours" => options.hours = number()?,
            "--seed" => options.seed = u64::from(number()?),
            _ => return Err(format!("unknown option {argument}")),
        }
    }
    Ok(options)
}

fn main() -> Result<(), String> {
    let options = options()?;
    let shape = Shape {
        layers: options.layers,
        experts: 256,
        ranks: 64,
    };
    println!("{}", Row::header(options.csv));
    for kind in Kind::ALL {
        if options
            .trace
            .as_ref()
            .is_some_and(|name| name != kind.name())
        {
            continue;
        }
        for row in simulation::run(kind, shape, options.hours, options.seed) {
            println!("{}", row.format(options.csv));
        }
    }
    Ok(())
}
