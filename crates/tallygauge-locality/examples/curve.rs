//! What the weight on replicas at risk buys: fetches against replicas that one
//! failure takes.
//!
//! `cargo run --release -p tallygauge-locality --example curve`
//!
//! Replicas of a model are placed one after the other on machines in two or three
//! zones, a quarter of which, all in the first zone, hold the weights; twice as
//! many machines as replicas, room for eight on each.

use tallygauge_locality::{ReplicaCounts, ReplicaSpread};

const FETCH_S: f64 = 120.0;
const ROOM: u32 = 8;

struct Outcome {
    fetched: u32,
    machine: u32,
    zone: u32,
}

fn place(risk_s: f64, replicas: u32, zones: u32) -> Outcome {
    let spread = ReplicaSpread { risk_s };
    let machines = replicas as usize * 2;
    let zone = |m: usize| m as u32 % zones;
    let first = (0..machines).filter(|m| zone(*m) == 0);
    let warm: Vec<usize> = first.take(machines / 4).collect();
    let mut there: Vec<bool> = (0..machines).map(|m| warm.contains(&m)).collect();
    let (mut on, mut in_zone) = (vec![0u32; machines], vec![0u32; zones as usize]);
    let mut fetched = 0;
    for running in 0..replicas {
        let cost = |m: usize| {
            let place = ReplicaCounts {
                on_machine: on[m],
                in_zone: in_zone[zone(m) as usize],
                running,
                zones,
            };
            spread.cost_s(place) + if there[m] { 0.0 } else { FETCH_S }
        };
        let free = (0..machines).filter(|m| on[*m] < ROOM);
        let best = free.min_by(|a, b| cost(*a).total_cmp(&cost(*b)).then(a.cmp(b)));
        let Some(best) = best else { break };
        fetched += u32::from(!there[best]);
        there[best] = true;
        on[best] += 1;
        in_zone[zone(best) as usize] += 1;
    }
    Outcome {
        fetched,
        machine: on.into_iter().max().unwrap_or(0),
        zone: in_zone.into_iter().max().unwrap_or(0),
    }
}

fn main() {
    println!(
        "| replicas | zones | risk, s | fetches of {FETCH_S:.0} s | most on a machine | most in a zone |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (replicas, zones) in [(4, 2), (12, 2), (12, 3), (48, 3)] {
        for risk_s in [0.0, 10.0, 30.0, 60.0, 120.0, 600.0] {
            let o = place(risk_s, replicas, zones);
            println!(
                "| {replicas} | {zones} | {risk_s:.0} | {} | {} | {} |",
                o.fetched, o.machine, o.zone
            );
        }
    }
}
