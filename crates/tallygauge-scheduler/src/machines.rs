//! Machines: which there are, when their leases expire, and which are to be returned
//! to the cloud.

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};
use std::collections::{BTreeSet, HashMap};
use tallygauge_protocol::{
    cloud::{Machine, MachineState},
    users::Shape,
    workers::TaskState,
};

/// Leases without contact after which a machine is returned.
const SILENT_LEASES: f64 = 4.0;

/// Boot times of its type after which a machine that never came up is returned.
const BOOT_TIMEOUT_FACTOR: f64 = 4.0;

/// Boot time of a machine whose type is not known.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Compared tasks after which a machine may be found slow.
const SLOW_AFTER_TASKS: u32 = 3;

/// Mean of its run times over those on other machines above which a machine is slow.
const SLOW_RUNTIME_RATIO: f64 = 1.8;

/// Part of the cancel timeout after which a machine that has not confirmed the end of
/// a cancelled attempt is returned.
const UNCONFIRMED_TIMEOUT_PART: f64 = 0.7;

/// What the CPUs of machines that are up are used for, in CPUs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CpuUsage {
    /// By tasks that are starting or being stopped.
    pub starting: f64,
    /// By tasks whose image is being fetched.
    pub fetching: f64,
    /// By running tasks.
    pub running: f64,
    /// By none.
    pub free: f64,
}

impl ClusterState {
    /// Adds a machine unless it is known. Fills in its endpoint if that is not known.
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

    /// Applies a complete machine list that was requested at `asked_at`. A machine
    /// that was known well before that, allowing for the list's lag, and is not in it
    /// is gone: once listed, a machine stays listed until then. Returns the names of
    /// those that are gone.
    pub fn apply_machine_list(
        &mut self,
        machines: &[Machine],
        asked_at: f64,
        now: f64,
    ) -> Vec<String> {
        // The list shows all machines known at that time, and none gone by then.
        let certain_before =
            asked_at - 2.0 * self.config.list_lag_s - self.config.timing_margin_s();
        self.tombstones.expire(now);
        let mut listed = BTreeSet::new();
        for machine in machines {
            listed.insert(machine.name.as_str());
            if self
                .tombstones
                .overrules_listing(&machine.name, certain_before)
            {
                continue;
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
                continue;
            };
            worker.rented_at = worker.rented_at.min(now - machine.age_s);
            if machine.state == MachineState::Running {
                worker.booted_at.get_or_insert(now);
            }
            if machine.state == MachineState::Failed
                && worker.decide_return(ReturnReason::Failed, now)
            {
                worker.last_dead_incarnation = worker.last_dead_incarnation.max(worker.incarnation);
                self.end_incarnation(&machine.name, u64::MAX, now);
            }
        }
        let gone: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.known_at < certain_before && !listed.contains(w.name.as_str()))
            .map(|w| w.name.clone())
            .collect();
        for name in &gone {
            self.deregister_machine(name, now);
        }
        gone
    }

    /// A machine is certainly gone, with everything on it.
    pub fn deregister_machine(&mut self, name: &str, now: f64) {
        self.end_incarnation(name, u64::MAX, now);
        self.tombstones.record_deregistration(name, now);
        self.workers.remove(name);
    }

    /// When the lease of the worker's present incarnation expires at the latest, if no
    /// further heartbeat is answered.
    #[must_use]
    pub fn lease_expiry(&self, worker: &Worker) -> f64 {
        let last_renewal = worker.fencing_token_seen_at.unwrap_or_else(|| {
            // An earlier leader may have answered until it had to stop as it could not
            // confirm its term.
            self.term_started_at + self.config.with_clock_drift(self.config.fencing_timeout_s)
        });
        worker
            .lease_renewed_at
            .max(last_renewal)
            .max(worker.incarnation_seen_at)
            + self.config.with_clock_drift(self.config.lease_s)
    }

    /// Applies the passage of time: leases expire, spot notices run out, machines are
    /// to be returned.
    pub fn advance_time(&mut self, now: f64) {
        self.expire_leases(now);
        let unwanted: Vec<String> = self
            .workers
            .values()
            .filter(|worker| {
                worker.return_decision.is_some()
                    || worker.spot_reclaim_at.is_some()
                    || self.decommission_reason(worker, now).is_some()
            })
            .map(|worker| worker.name.clone())
            .collect();
        for machine in unwanted {
            self.stop_unwanted_attempts(&machine, now);
        }
    }

    /// Ends the attempts on workers whose lease has expired.
    fn expire_leases(&mut self, now: f64) {
        let expired: Vec<String> = self
            .workers
            .values()
            .filter(|worker| !worker.attempts.is_empty() && now > self.lease_expiry(worker))
            .map(|worker| worker.name.clone())
            .collect();
        let lease_s = self.config.with_clock_drift(self.config.lease_s);
        for machine in expired {
            let Some(worker) = self.workers.get(&machine) else {
                continue;
            };
            let incarnations = worker.attempts.iter().map(|attempt| attempt.incarnation);
            let last = incarnations.max().unwrap_or(0).max(worker.incarnation);
            let lease_expiry = self.lease_expiry(worker);
            if let Some(worker) = self.workers.get_mut(&machine) {
                worker.last_dead_incarnation = worker.last_dead_incarnation.max(last);
            }
            self.end_attempts(&machine, now, |attempt| {
                now > attempt.latest_end(lease_expiry, lease_s)
            });
        }
    }

    /// Why a machine should be returned, if it should.
    fn decommission_reason(&self, worker: &Worker, now: f64) -> Option<ReturnReason> {
        let config = &self.config;
        // A new leader has had no heartbeat of any worker yet: that alone does not mean that
        // an old machine never came up.
        if !worker.has_reported() && worker.booted_at.is_none() {
            return self
                .has_boot_timed_out(worker, now)
                .then_some(ReturnReason::BootTimeout);
        }
        // Whole zones are cut off for several leases and come back: until then others
        // are rented where work needs them, but none is returned.
        let last_contact = worker
            .last_heartbeat_at
            .max(worker.booted_at.unwrap_or(f64::NEG_INFINITY))
            .max(self.term_started_at);
        let max_silence_s = config.lease_s * SILENT_LEASES;
        if worker.attempts.is_empty() && now - last_contact > max_silence_s {
            return Some(ReturnReason::Silent);
        }
        // The same holds for those that don't receive: a zone may be cut off in one
        // direction.
        let unreachable_for = worker.reachability.unreachable_for(now);
        if unreachable_for.is_some_and(|s| s > max_silence_s) {
            return Some(ReturnReason::Unreachable);
        }
        if worker.runtime_ratio.count >= SLOW_AFTER_TASKS
            && worker.runtime_ratio.mean() > SLOW_RUNTIME_RATIO
        {
            return Some(ReturnReason::Slow);
        }
        has_unconfirmed_cancellation(worker, config, now).then_some(ReturnReason::Unconfirmed)
    }

    /// Whether a machine that never came up has had enough time for it.
    fn has_boot_timed_out(&self, worker: &Worker, now: f64) -> bool {
        let boot_s = self
            .machine_types
            .get(&worker.machine_type)
            .map_or(DEFAULT_BOOT_S, |t| t.boot_s);
        now - worker.rented_at > boot_s * BOOT_TIMEOUT_FACTOR
            && now - self.term_started_at > self.config.lease_s
    }

    /// Stops the attempts that should not stay on a machine that is to be returned or
    /// reclaimed; decides first whether it is to be returned.
    pub(crate) fn stop_unwanted_attempts(&mut self, machine: &str, now: f64) {
        let reason = self.decommission_reason(&self.workers[machine], now);
        let runtime_ratios = self.runtime_ratios_if_reclaimed(machine);
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if let Some(reason) = reason
            && worker.decide_return(reason, now)
        {
            self.events.push(ClusterEvent::MachineReturnDecided {
                machine: machine.to_string(),
                reason,
            });
        }
        self.needs_direct_message.insert(machine.to_string());
        let (reclaimed_at, leaving) = (worker.spot_reclaim_at, worker.return_decision);
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
            } else if let Some(ReturnDecision { reason, .. }) = leaving
                && must_stop_before_return(attempt, reason)
            {
                attempt.request_stop(StopReason::Drained, now);
            }
        }
    }

    /// Measured over expected run times of the classes on a machine that has a spot
    /// notice; empty for the others, which do not need them.
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

    /// What the CPUs of machines that are up are used for.
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

/// Whether a cancelled attempt is overdue on a machine that has sent a heartbeat since.
/// One that has not was not answered either, so its lease expires in time: most such
/// machines are in a zone that is cut off, with other jobs running.
fn has_unconfirmed_cancellation(worker: &Worker, config: &Config, now: f64) -> bool {
    let is_overdue = |stop: StopDecision| {
        stop.reason == StopReason::Cancelled
            && worker.last_heartbeat_at >= stop.at
            && now - stop.at > config.cancel_timeout_s * UNCONFIRMED_TIMEOUT_PART
    };
    worker
        .attempts
        .iter()
        .any(|attempt| attempt.stop.is_some_and(is_overdue) && attempt.occupies_capacity())
}

/// Whether an attempt is to be stopped before its spot instance is reclaimed. One
/// that saves checkpoints is stopped while there is time to save twice over, unless
/// it will have ended by then. The notice may turn out half as long as announced, so
/// it is acted on early.
fn must_stop_before_reclaim(
    attempt: &Attempt,
    reclaimed_at: f64,
    runtime_ratio: f64,
    now: f64,
) -> bool {
    let notice_left_s = reclaimed_at - now;
    let remaining_s = (attempt.spec.expected_s * runtime_ratio
        - attempt.checkpointed_s
        - attempt.run_time_s(now))
    .max(0.0);
    let saves_checkpoints = attempt.spec.checkpoint_every_s > 0.0;
    let is_starting = attempt.running_since.is_none();
    (saves_checkpoints && remaining_s > notice_left_s * 0.5) || is_starting
}

/// Whether an attempt is to be stopped so that its machine can be returned; else the
/// machine waits for its end.
fn must_stop_before_return(attempt: &Attempt, reason: ReturnReason) -> bool {
    let is_urgent = matches!(reason, ReturnReason::Unconfirmed | ReturnReason::Faulty);
    let saves_checkpoints = attempt.spec.checkpoint_every_s > 0.0;
    let is_starting = attempt.running_since.is_none();
    saves_checkpoints || is_urgent || is_starting || attempt.spec.shape == Shape::Service
}
