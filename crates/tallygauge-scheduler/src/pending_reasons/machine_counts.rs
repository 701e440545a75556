//! Counts the machines that a job may use, by what keeps its tasks from them.

use super::PendingReason;
use crate::{cluster_state::ClusterState, model::*};

/// Numbers of machines that a job may use, by state.
#[derive(Default)]
pub(super) struct MachineCounts {
    usable: usize,
    /// Those of the usable machines that can take a task now.
    pub(super) with_room: usize,
    /// Those of the usable machines with enough free resources that have as many attempts as
    /// they may have.
    at_attempt_limit: usize,
    /// Ended attempts that can't be cleared on machines at the attempt limit.
    uncleared_attempts: usize,
    /// Those of the usable machines with enough free resources that every pending task avoids.
    avoided: usize,
    /// Those of the usable machines with room that are reserved for other jobs.
    reserved: usize,
    booting: usize,
    /// Being returned to the cloud or reclaimed by it.
    leaving: usize,
}

impl MachineCounts {
    /// Counts a machine that accepts work.
    fn add_usable(
        &mut self,
        worker: &Worker,
        job: &Job,
        is_reserved: bool,
        now: f64,
        config: &Config,
    ) {
        self.usable += 1;
        let room = worker.room(config);
        if !room.resources.can_fit(&job.spec) {
            return;
        }
        if room.attempts == 0 {
            self.at_attempt_limit += 1;
            self.uncleared_attempts += worker.undelivered_ended_attempts();
        } else if job.all_pending_tasks_avoid(&worker.name, now) {
            self.avoided += 1;
        } else if is_reserved {
            self.reserved += 1;
        } else {
            self.with_room += 1;
        }
    }

    /// The reasons for which none of the machines can take a task.
    pub(super) fn reasons_without_room(&self) -> Vec<PendingReason> {
        let mut reasons = Vec::new();
        if self.at_attempt_limit > 0 {
            reasons.push(PendingReason::AttemptLimit {
                machines: self.at_attempt_limit,
                uncleared_attempts: self.uncleared_attempts,
            });
        }
        if self.avoided > 0 {
            reasons.push(PendingReason::AvoidedMachines {
                machines: self.avoided,
            });
        }
        if self.reserved > 0 {
            reasons.push(PendingReason::ReservedMachines {
                machines: self.reserved,
            });
        }
        if reasons.is_empty() {
            reasons.push(PendingReason::InsufficientResources {
                machines: self.usable,
                booting: self.booting,
                leaving: self.leaving,
            });
        }
        reasons
    }
}

impl ClusterState {
    /// Numbers of the machines that the job may use.
    pub(super) fn count_machines(&self, job: &Job, now: f64) -> MachineCounts {
        let mut counts = MachineCounts::default();
        let precedence = self.precedence_of(job);
        for worker in self.workers.values() {
            let (machine_type, zone) = (&worker.machine_type, &worker.zone);
            if !job.allows(machine_type, zone, worker.spot, &job.attempts_by_zone)
                || !self.task_fits_type(machine_type, job)
            {
                continue;
            }
            if worker.accepts_work(now, &self.config) {
                let reservations = self.reservations_on(&worker.name);
                let is_reserved = !reservations.allow(job.spec.cpus, precedence);
                counts.add_usable(worker, job, is_reserved, now, &self.config);
            } else if worker.is_being_returned() || worker.spot_reclaim_at.is_some() {
                counts.leaving += 1;
            } else if !worker.has_reported() {
                counts.booting += 1;
            }
        }
        counts
    }

    /// Whether a task of the job fits an empty machine of this type.
    pub(super) fn task_fits_type(&self, machine_type: &str, job: &Job) -> bool {
        let machine_type = self.machine_types.get(machine_type);
        machine_type.is_some_and(|t| Resources::of_type(t).can_fit(&job.spec))
    }
}
