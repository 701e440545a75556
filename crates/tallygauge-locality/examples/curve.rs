//! Prints a table of the number of image fetches and of the replicas that a single failure
//! would take down, by the weight of a replica at risk.
//!
//! `cargo run --release -p tallygauge-locality --example curve`
//!
//! Replicas are placed one after the other on machines in two or three zones. There are
//! twice as many machines as replicas, with a capacity of eight replicas each. A quarter of
//! the machines, all in the first zone, hold the image at the start.

use tallygauge_locality::{ReplicaCounts, ReplicaSpread};

/// Duration of an image fetch, seconds.
const FETCH_S: f64 = 120.0;

/// Maximum number of replicas on a machine.
const MAX_REPLICAS_PER_MACHINE: u32 = 8;

struct PlacementOutcome {
    fetches: u32,
    max_on_machine: u32,
    max_in_zone: u32,
}

fn place_replicas(risk_s: f64, replicas: u32, zones: u32) -> PlacementOutcome {
    let spread = ReplicaSpread { risk_s };
    let machines = replicas as usize * 2;
    let zone = |m: usize| m as u32 % zones;
    let first_zone = (0..machines).filter(|m| zone(*m) == 0);
    let cached_at_start: Vec<usize> = first_zone.take(machines / 4).collect();
    let mut has_image: Vec<bool> = (0..machines)
        .map(|m| cached_at_start.contains(&m))
        .collect();
    let mut on_machine = vec![0u32; machines];
    let mut in_zone = vec![0u32; zones as usize];
    let mut fetches = 0;
    for in_all_zones in 0..replicas {
        let cost = |m: usize| {
            let replicas = ReplicaCounts {
                on_machine: on_machine[m],
                in_zone: in_zone[zone(m) as usize],
                in_all_zones,
                zones,
            };
            spread.cost_s(replicas) + if has_image[m] { 0.0 } else { FETCH_S }
        };
        let with_capacity = (0..machines).filter(|m| on_machine[*m] < MAX_REPLICAS_PER_MACHINE);
        let best = with_capacity.min_by(|a, b| cost(*a).total_cmp(&cost(*b)).then(a.cmp(b)));
        let Some(best) = best else { break };
        fetches += u32::from(!has_image[best]);
        has_image[best] = true;
        on_machine[best] += 1;
        in_zone[zone(best) as usize] += 1;
    }
    PlacementOutcome {
        fetches,
        max_on_machine: on_machine.into_iter().max().unwrap_or(0),
        max_in_zone: in_zone.into_iter().max().unwrap_or(0),
    }
}

fn main() {
    println!(
        "| replicas | zones | risk, s | fetches of {FETCH_S:.0} s | most on a machine | most in a zone |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (replicas, zones) in [(4, 2), (12, 2), (12, 3), (48, 3)] {
        for risk_s in [0.0, 10.0, 30.0, 60.0, 120.0, 600.0] {
            let outcome = place_replicas(risk_s, replicas, zones);
            println!(
                "| {replicas} | {zones} | {risk_s:.0} | {} | {} | {} |",
                outcome.fetches, outcome.max_on_machine, outcome.max_in_zone
            );
        }
    }
}
