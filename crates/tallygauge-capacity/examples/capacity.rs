//! Prints the tables of `docs/CAPACITY.md`.
//!
//! `cargo run -p tallygauge-capacity --example capacity`

use tallygauge_capacity::{demand, target::Target};

fn main() {
    let target = Target::operator_target();
    for table in demand::tables(&target) {
        println!("{table}");
    }
    println!("leader's loss: {:.1} s", demand::failover_s(&target));
}
