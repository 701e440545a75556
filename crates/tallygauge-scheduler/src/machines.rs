//! Machines: registration, and the decision to return a machine to the cloud.

use crate::{cluster_state::ClusterState, machine_types::boot_s, model::*};
use std::collections::{BTreeSet, HashMap};
use tallygauge_protocol::{
    cloud::{Machine, MachineState},
    users::Shape,
    workers::TaskState,
};

/// A machine is returned when it has been unreachable for longer than this, or when it has
/// no attempts and has sent no heartbeat for longer than this. In multiples of the worker
/// lease.
const MAX_SILENCE_LEASES: f64 = 4.0;

/// Time after its rental when a machine that has not booted is returned, in multiples
/// of its type's boot time.
const BOOT_TIMEOUT_BOOT_TIMES: f64 = 4.0;

/// Number of tasks whose run times must have been compared with those on other machines
/// before a machine may be returned as slow.
const MIN_COMPARED_TASKS: u32 = 3;

/// Mean ratio of the run times on a machine to those on other machines above which the
/// machine is slow.
const MAX_RUNTIME_RATIO: f64 = 1.8;

/// Fraction of the cancel timeout after which a machine that has not confirmed the end
/// of a cancelled attempt is returned.
const UNCONFIRMED_TIMEOUT_FRACTION: f64 = 0.7;

/// CPUs of the machines that have sent a heartbeat, by what they are used for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CpuUsage {
    /// Used by tasks that are starting or being stopped.
    pub starting: f64,
    /// Used by tasks whose image is being fetched.
    pub fetching: f64,
    /// Used by running tasks.
    pub running: f64,
    /// Not used by any task.
    pub free: f64,
}

impl ClusterState {
    /// Adds a machine unless it is registered already, and sets its endpoint unless it has
    /// one already.
    pub fn register_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        endpoint: &str,
        now: f64,
    ) {
        if !self.workers.contains_key(name) {
            let capacity = self
                .machine_types
                .get(machine_type)
                .map(Resources::of_type)
                .unwrap_or_default();
            let kind = MachineKind {
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
            };
            let mut worker = Worker::new(name, kind, capacity, now);
            worker.images.cached = self.image_index.take_images_of(name);
            self.workers.insert(name.to_string(), worker);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.endpoint.is_empty() {
            worker.endpoint = endpoint.to_string();
        }
    }

    /// Applies a complete machine list that was requested at `requested_at`.
    ///
    /// A machine stays listed for as long as it exists, but the list lags behind. So a
    /// machine that is not listed, although it was known to exist for long enough before
    /// the request, no longer exists. Deregisters such machines, and returns their names.
    pub fn apply_machine_list(
        &mut self,
        machines: &[Machine],
        requested_at: f64,
        now: f64,
    ) -> Vec<String> {
        // The list contains every machine that was known at this time, and none that had
        // ceased to exist by then.
        let accurate_until =
            requested_at - 2.0 * self.config.list_lag_s - self.config.timing_margin_s();
        self.tombstones.expire(now);
        for machine in machines {
            self.apply_listed_machine(machine, accurate_until, now);
        }
        let listed: BTreeSet<&str> = machines.iter().map(|m| m.name.as_str()).collect();
        let nonexistent: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.known_at < accurate_until && !listed.contains(w.name.as_str()))
            .map(|w| w.name.clone())
            .collect();
        for name in &nonexistent {
            self.deregister_machine(name, now);
        }
        self.forget_withdrawn_types(accurate_until > self.term_started_at);
        nonexistent
    }

    /// Applies one entry of a machine list that contains every machine that was known at
    /// `accurate_until`.
    fn apply_listed_machine(&mut self, machine: &Machine, accurate_until: f64, now: f64) {
        if self
            .tombstones
            .overrules_listing(&machine.name, accurate_until)
        {
            return;
        }
        self.register_machine(
            &machine.name,
            &machine.machine_type,
            &machine.zone,
            machine.spot,
            &machine.endpoint,
            now,
        );
        let Some(worker) = self.workers.get_mut(&machine.name) else {
            return;
        };
        worker.rented_at = worker.rented_at.min(now - machine.age_s);
        if machine.state == MachineState::Running {
            worker.booted_at.get_or_insert(now);
        }
        if machine.state == MachineState::Failed
            && worker.decide_return(ReturnReason::Failed, now, &mut self.events)
        {
            worker.last_dead_incarnation = worker.last_dead_incarnation.max(worker.incarnation);
            self.end_all_attempts(&machine.name, now);
        }
    }

    /// Removes a machine that certainly no longer exists, and ends its attempts.
    pub fn deregister_machine(&mut self, name: &str, now: f64) {
        self.end_all_attempts(name, now);
        self.tombstones.record_deregistration(name, now);
        self.workers.remove(name);
    }

    /// Applies the passage of time: ends attempts whose leases have expired, decides
    /// which machines to return, and stops attempts on those and on machines that the
    /// cloud is about to reclaim.
    pub fn advance_time(&mut self, now: f64) {
        self.expire_leases(now);
        let machines_to_check: Vec<String> = self
            .workers
            .values()
            .filter(|worker| {
                worker.is_being_returned()
                    || worker.spot_reclaim_at.is_some()
                    || !self.return_reasons(worker, now).is_empty()
            })
            .map(|worker| worker.name.clone())
            .collect();
        for machine in machines_to_check {
            self.stop_unwanted_attempts(&machine, now);
        }
    }

    /// All reasons for which a machine should be returned to the cloud now; empty if it should
    /// be kept.
    fn return_reasons(&self, worker: &Worker, now: f64) -> Vec<ReturnReason> {
        // A new leader has received no heartbeat from any worker yet, so a missing heartbeat
        // alone does not mean that an old machine has failed to boot.
        if !worker.has_reported() && worker.booted_at.is_none() {
            let has_timed_out = self.has_boot_timed_out(worker, now);
            return has_timed_out
                .then_some(ReturnReason::BootTimeout)
                .into_iter()
                .collect();
        }
        [
            (ReturnReason::Silent, self.is_silent(worker, now)),
            (
                ReturnReason::Unreachable,
                self.stays_unreachable(worker, now),
            ),
            (ReturnReason::Slow, is_slow(worker)),
            (
                ReturnReason::UndeliveredStart,
                worker.must_end_before_late_start(),
            ),
            (
                ReturnReason::CancelUnconfirmed,
                has_unconfirmed_cancellation(worker, &self.config, now),
            ),
        ]
        .into_iter()
        .filter_map(|(reason, applies)| applies.then_some(reason))
        .collect()
    }

    /// Whether a machine that runs nothing has sent no heartbeat for several leases.
    ///
    /// Whole zones may be partitioned for several leases and recover. Until then, other
    /// machines are rented if pending work needs them, but none of the silent ones is
    /// returned.
    fn is_silent(&self, worker: &Worker, now: f64) -> bool {
        let last_contact = worker
            .last_heartbeat_at
            .max(worker.booted_at.unwrap_or(f64::NEG_INFINITY))
            .max(self.term_started_at);
        !worker.has_live_attempts() && now - last_contact > self.max_silence_s()
    }

    /// Whether a machine has sent heartbeats but received nothing for several leases: a zone
    /// may be partitioned in one direction only, and recover.
    fn stays_unreachable(&self, worker: &Worker, now: f64) -> bool {
        let unreachable_for = worker.reachability.unreachable_for(now);
        unreachable_for.is_some_and(|seconds| seconds > self.max_silence_s())
    }

    fn max_silence_s(&self) -> f64 {
        self.config.lease_s * MAX_SILENCE_LEASES
    }

    /// Whether a machine that has not booted has had enough time to, and this leader has
    /// led for longer than a lease.
    fn has_boot_timed_out(&self, worker: &Worker, now: f64) -> bool {
        let boot_s = boot_s(&self.machine_types, &worker.machine_type);
        now - worker.rented_at > boot_s * BOOT_TIMEOUT_BOOT_TIMES
            && now - self.term_started_at > self.config.lease_s
    }

    /// Decides whether a machine is to be returned. If it is, or if the cloud is about to
    /// reclaim it, stops the attempts that must not stay on it.
    pub(crate) fn stop_unwanted_attempts(&mut self, machine: &str, now: f64) {
        let reasons = self.return_reasons(&self.workers[machine], now);
        let runtime_ratios = self.runtime_ratios_if_reclaimed(machine);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if !reasons.contains(&ReturnReason::UndeliveredStart) {
            worker.revoke_return(&[ReturnReason::UndeliveredStart]);
        }
        for reason in reasons {
            worker.decide_return(reason, now, &mut self.events);
        }
        self.needs_direct_message.insert(machine.to_string());
        let reclaimed_at = worker.spot_reclaim_at;
        for attempt in &mut worker.attempts {
            if attempt.stop.is_some()
                || !attempt.occupies_capacity()
                || attempt.phase == AttemptPhase::Planned
            {
                continue;
            }
            if let Some(reclaimed_at) = reclaimed_at {
                let ratio = runtime_ratios.get(&attempt.spec.class).copied();
                if must_stop_before_reclaim(attempt, reclaimed_at, ratio.unwrap_or(1.0), now) {
                    attempt.request_stop(StopReason::SpotNotice, now);
                }
            } else if must_stop_before_return(attempt, &worker.return_decisions) {
                attempt.request_stop(StopReason::Drained, now);
            }
        }
    }

    /// Ratio of measured to expected run time of each class that has an attempt on a
    /// machine with a spot notice; empty for a machine without, which does not need it.
    fn runtime_ratios_if_reclaimed(&self, machine: &str) -> HashMap<String, f64> {
        let worker = &self.workers[machine];
        if worker.spot_reclaim_at.is_none() {
            return HashMap::new();
        }
        worker
            .attempts
            .iter()
            .map(|attempt| {
                let class = &attempt.spec.class;
                (class.clone(), self.runtime_ratio(class))
            })
            .collect()
    }

    /// CPUs of the machines that have sent a heartbeat, by what they are used for.
    #[must_use]
    pub fn cpu_usage(&self) -> CpuUsage {
        let mut usage = CpuUsage::default();
        for worker in self.workers.values().filter(|w| w.has_reported()) {
            usage.free += worker.free_resources.cpus;
            for attempt in worker.attempts.iter().filter(|a| a.occupies_capacity()) {
                let cpus = match attempt.phase {
                    AttemptPhase::Observed(TaskState::Fetching) => &mut usage.fetching,
                    AttemptPhase::Observed(TaskState::Running) => &mut usage.running,
                    _ => &mut usage.starting,
                };
                *cpus += attempt.spec.cpus;
            }
        }
        usage
    }
}

/// Whether tasks take much longer on a machine than on others.
fn is_slow(worker: &Worker) -> bool {
    worker.runtime_ratio.count >= MIN_COMPARED_TASKS
        && worker.runtime_ratio.mean() > MAX_RUNTIME_RATIO
}

/// Whether a machine has sent a heartbeat since an attempt on it was cancelled but has
/// not confirmed the attempt's end in time.
///
/// A machine without a heartbeat since the cancellation does not count, unless the start of the
/// attempt may still arrive. It was not answered either, so its lease expires in time; and most
/// such machines are in a partitioned zone and run tasks of other jobs.
fn has_unconfirmed_cancellation(worker: &Worker, config: &Config, now: f64) -> bool {
    let is_overdue = |attempt: &Attempt, stop: StopDecision| {
        stop.reason == StopReason::Cancelled
            && (worker.last_heartbeat_at >= stop.at || attempt.start_undelivered)
            && now - stop.at > config.cancel_timeout_s * UNCONFIRMED_TIMEOUT_FRACTION
    };
    worker.attempts.iter().any(|attempt| {
        let is_overdue = attempt.stop.is_some_and(|stop| is_overdue(attempt, stop));
        is_overdue && (attempt.occupies_capacity() || attempt.start_undelivered)
    })
}

/// Whether an attempt must be stopped now, before its spot instance is reclaimed.
///
/// - An attempt that is not running yet is stopped.
/// - An attempt that saves checkpoints is stopped while there is still time to save
///   twice, unless it is expected to end within half of the remaining notice: the actual
///   notice may be half as long as announced.
/// - Any other attempt goes on.
fn must_stop_before_reclaim(
    attempt: &Attempt,
    reclaimed_at: f64,
    runtime_ratio: f64,
    now: f64,
) -> bool {
    let remaining_notice_s = reclaimed_at - now;
    let remaining_run_time_s = (attempt.spec.expected_s * runtime_ratio
        - attempt.checkpointed_s
        - attempt.run_time_s(now))
    .max(0.0);
    let saves_checkpoints = attempt.spec.checkpoint_every_s > 0.0;
    let is_starting = attempt.running_since.is_none();
    (saves_checkpoints && remaining_run_time_s > remaining_notice_s * 0.5) || is_starting
}

/// Whether an attempt must be stopped so that its machine can be returned; otherwise the
/// machine is kept until the attempt ends.
fn must_stop_before_return(attempt: &Attempt, decisions: &ReturnDecisions) -> bool {
    let is_urgent = decisions.iter().any(|decision| {
        matches!(
            decision.reason,
            ReturnReason::CancelUnconfirmed | ReturnReason::Faulty
        )
    });
    let saves_checkpoints = attempt.spec.checkpoint_every_s > 0.0;
    let is_starting = attempt.running_since.is_none();
    let is_service = attempt.spec.shape == Shape::Service;
    !decisions.is_empty() && (saves_checkpoints || is_urgent || is_starting || is_service)
}
