//! Determines which kind of machine runs a job's tasks at the lowest cost.

use super::rental_plan::KindRef;
use crate::{cluster_state::ClusterState, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Expected cost of the interruptions of a spot machine, as a fraction of its price.
const SPOT_INTERRUPTION_COST: f64 = 0.15;

/// Minimum rate of image fetches that is assumed for a machine type, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// Fraction by which each machine that is already in a zone increases the cost of further
/// ones there, so that machines are spread between zones that cost the same.
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

    /// Price of the machine per second, including the expected cost of interruptions.
    fn price(&self) -> f64 {
        if self.spot {
            self.machine_type.spot_price * (1.0 + SPOT_INTERRUPTION_COST)
        } else {
            self.machine_type.price
        }
    }
}

impl ClusterState {
    /// Of the kinds of machines that can be rented, the one that runs tasks of the job at
    /// the lowest cost per task. If `too_small_for` is given, only machine types too small
    /// for such a task are considered.
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
            let whole = Room::of_type(machine_type, &self.config);
            if !whole.can_take(&job.spec) || too_small_for.is_some_and(|s| whole.can_take(s)) {
                continue;
            }
            let slots_per_machine = whole.count_takeable_tasks(&job.spec).min(task_count);
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
                    let machines_in_zone =
                        machines_by_zone.get(zone.as_str()).copied().unwrap_or(0);
                    let cost = self.cost_per_task(offer, job, slots_per_machine)
                        * (1.0 + machines_in_zone as f64 * ZONE_SPREAD_COST);
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// Whether the job may use such a machine, and the kind is not in backoff after a
    /// refusal by the cloud.
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

    /// Cost of one task of the job on a new machine that runs `slots` tasks at a time,
    /// including the boot and the image fetch that are paid for before the first task
    /// runs.
    fn cost_per_task(&self, offer: Offer, job: &Job, slots: u32) -> f64 {
        let machine_type = offer.machine_type;
        let gb_per_s = machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        let fetch_s = job.spec.image_gb / gb_per_s;
        let run_s = job.spec.expected_s.max(self.config.min_remaining_s);
        offer.price() * (machine_type.boot_s + fetch_s + run_s) / f64::from(slots).max(1.0)
    }
}
