//! Which kind of machine serves a job's tasks at the lowest price.

use super::market::KindRef;
use crate::{cluster_state::ClusterState, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Part of a spot machine's price that its interruptions are expected to cost.
const SPOT_RISK: f64 = 0.15;

/// Lowest fetch rate that is reckoned with, GB/s.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// Relative cost of each machine that is in a zone already: between zones that cost
/// the same, machines are spread.
const ZONE_SPREAD_COST: f64 = 1e-4;

/// A kind of machine that can be rented.
#[derive(Clone, Copy)]
pub(super) struct Offer<'a> {
    pub(super) machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
}

impl<'a> Offer<'a> {
    pub(super) fn kind(&self) -> KindRef<'a> {
        KindRef {
            machine_type: &self.machine_type.name,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Price of the machine per second, with the expected cost of interruptions.
    fn price(&self) -> f64 {
        if self.spot {
            self.machine_type.spot_price * (1.0 + SPOT_RISK)
        } else {
            self.machine_type.price
        }
    }
}

impl ClusterState {
    /// The kind of machine that serves the job's tasks at the lowest price, of those
    /// too small for a task of `too_small_for`, if given.
    pub(super) fn cheapest_kind(
        &self,
        job: &Job,
        task_count: u32,
        now: f64,
        machines_by_zone: &BTreeMap<&str, usize>,
        too_small_for: Option<&JobSpec>,
    ) -> Option<Offer<'_>> {
        let mut best: Option<(f64, Offer)> = None;
        let mut types: Vec<&MachineType> = self.machine_types.values().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        for machine_type in types {
            let whole = Resources::of_type(machine_type);
            if !whole.can_fit(&job.spec) || too_small_for.is_some_and(|s| whole.can_fit(s)) {
                continue;
            }
            let slots = whole.count_fitting_tasks(&job.spec).min(task_count);
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let offer = Offer {
                        machine_type,
                        zone,
                        spot,
                    };
                    if !self.can_rent(offer, job, now) {
                        continue;
                    }
                    let in_zone = machines_by_zone.get(zone.as_str()).copied().unwrap_or(0);
                    let cost = self.cost_per_task(offer, job, slots)
                        * (1.0 + in_zone as f64 * ZONE_SPREAD_COST);
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// Whether the job may use such a machine, and the cloud has not refused one of
    /// late.
    fn can_rent(&self, offer: Offer, job: &Job, now: f64) -> bool {
        let Offer {
            machine_type: t,
            zone,
            spot,
        } = offer;
        if !job.allows(&t.name, zone, spot, &job.attempts_by_zone) {
            return false;
        }
        let kind = MachineKind {
            machine_type: t.name.clone(),
            zone: zone.to_string(),
            spot,
        };
        let backoff = self.capacity_backoff.get(&kind);
        !backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Cost of one task of the job on a new machine with so many slots, with the time
    /// that is paid for before the first task runs.
    fn cost_per_task(&self, offer: Offer, job: &Job, slots: u32) -> f64 {
        let machine_type = offer.machine_type;
        let gb_per_s = machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        let fetch_s = job.spec.image_gb / gb_per_s;
        let run_s = job.spec.expected_s.max(self.config.min_remaining_s);
        offer.price() * (machine_type.boot_s + fetch_s + run_s) / f64::from(slots).max(1.0)
    }
}
