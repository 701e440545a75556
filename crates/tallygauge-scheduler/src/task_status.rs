//! Task statuses in heartbeats: attempts that run, have ended or are absent, and attempts
//! that no leader placed.

use crate::{
    cluster_state::ClusterState,
    events::{AttemptEvent, ClusterEvent, JobEvent},
    heartbeats::HeartbeatSource,
    model::*,
};
use std::collections::HashMap;
use tallygauge_protocol::workers::{EndCause, Heartbeat, TaskState, TaskStatus, parse_task_name};

/// Lower bound of the fetch rate in estimates of fetch times, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

impl ClusterState {
    /// Applies the task statuses of a heartbeat.
    pub(crate) fn apply_task_statuses(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) {
        let machine = heartbeat.machine.as_str();
        self.requeue_absent(now, heartbeat, source);
        let mut orphans = Vec::new();
        for status in &heartbeat.tasks {
            self.apply_task_status(now, machine, heartbeat.incarnation, status, &mut orphans);
        }
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.orphaned_attempts = orphans;
        }
    }

    /// Requeues the tasks of attempts that a heartbeat should report but does not. A
    /// heartbeat without this leader's fencing token does not prove that an attempt is
    /// absent: an earlier start command may still be executed after the heartbeat was sent.
    fn requeue_absent(&mut self, now: f64, heartbeat: &Heartbeat, source: HeartbeatSource) {
        let machine = heartbeat.machine.as_str();
        let is_fenced = heartbeat.token == self.config.term;
        let reported: HashMap<u64, &TaskStatus> = heartbeat
            .tasks
            .iter()
            .map(|status| (status.attempt, status))
            .collect();
        let absent = self.remove_attempts(machine, |attempt| {
            let is_reported = reported
                .get(&attempt.number)
                .is_some_and(|status| attempt.has_task_name(&status.task));
            // An attempt of an earlier leader may be recorded with a higher incarnation
            // than that of an agent with this leader's token. That incarnation belongs to
            // an earlier run of the agent, which has restarted since.
            let is_comparable = attempt.incarnation == heartbeat.incarnation || attempt.restored;
            !is_reported
                && is_fenced
                && is_comparable
                && !attempt.start_undelivered
                && is_lost_when_absent(attempt, source)
        });
        for attempt in absent.iter().filter(|attempt| attempt.occupies_capacity()) {
            self.requeue_lost(machine, attempt, now);
        }
        // An agent that lacks what it had has restarted unnoticed.
        if is_fenced {
            self.repeat_attempts(machine, heartbeat.incarnation, now, |attempt| {
                attempt.incarnation == heartbeat.incarnation
                    && matches!(attempt.phase, AttemptPhase::Observed(_))
                    && !reported.contains_key(&attempt.number)
            });
        }
    }

    /// Applies the status of one attempt, or appends the attempt to `orphans` if it is
    /// neither among the worker's attempts nor can be adopted.
    fn apply_task_status(
        &mut self,
        now: f64,
        machine: &str,
        incarnation: u64,
        status: &TaskStatus,
        orphans: &mut Vec<OrphanedAttempt>,
    ) {
        let Some(position) = self.find_or_adopt_attempt(now, machine, incarnation, status) else {
            orphans.push(OrphanedAttempt {
                task: status.task.clone(),
                attempt: status.attempt,
                ended: status.state == TaskState::Ended,
            });
            return;
        };
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let attempt = &mut worker.attempts[position];
        if attempt.phase == AttemptPhase::Recorded {
            self.events
                .push(ClusterEvent::Attempt(AttemptEvent::FirstObserved {
                    task: status.task.clone(),
                    machine: machine.to_string(),
                    attempt: status.attempt,
                    state: status.state,
                }));
        }
        attempt.incarnation = incarnation;
        attempt.start_sent = true;
        if attempt.is_ended() {
            return;
        }
        if status.state == TaskState::Ended {
            self.apply_end(now, machine, position, status);
        } else {
            self.apply_observed_state(now, machine, position, status.state);
        }
    }

    /// Index of a reported attempt in the attempts of its worker. An attempt that is not
    /// among these is adopted if its job is open, so that it is accounted for. Otherwise
    /// returns `None`, and the worker is to be told to stop and forget the attempt.
    fn find_or_adopt_attempt(
        &mut self,
        now: f64,
        machine: &str,
        incarnation: u64,
        status: &TaskStatus,
    ) -> Option<usize> {
        let (job_id, index) = parse_task_name(&status.task)?;
        let worker = self.workers.get(machine)?;
        let position = worker.attempts.iter().position(|attempt| {
            attempt.number == status.attempt && attempt.spec.id == job_id && attempt.index == index
        });
        if position.is_some() {
            return position;
        }
        self.report_reappeared(machine, status);
        let job = self.jobs.get(job_id).filter(|job| index < job.spec.tasks)?;
        let spec = job.spec.clone();
        let attempt = Attempt::restored(spec, index, status.attempt, incarnation, now);
        self.add_attempt(machine, attempt);
        // Without a durable record, the next leader would not know of the attempt.
        if status.state != TaskState::Ended {
            self.unbatched_attempts.push(UnbatchedAttempt {
                worker: machine.to_string(),
                attempt: status.attempt,
            });
        }
        let worker = self.workers.get(machine)?;
        Some(worker.attempts.len() - 1)
    }

    /// Reports an attempt of this term that a worker has although it is not among the worker's
    /// attempts. Attempts are removed when their worker no longer has them. A refused start is that
    /// of a heartbeat request.
    fn report_reappeared(&mut self, machine: &str, status: &TaskStatus) {
        let is_refused = status.cause == Some(EndCause::NoSuch);
        if is_refused || !self.is_number_of_this_term(status.attempt) {
            return;
        }
        self.reappeared_attempts += 1;
        self.events
            .push(ClusterEvent::Attempt(AttemptEvent::Reappeared {
                task: status.task.clone(),
                machine: machine.to_string(),
                attempt: status.attempt,
                state: status.state,
            }));
    }

    /// Applies a status which shows that an attempt has not ended.
    fn apply_observed_state(&mut self, now: f64, machine: &str, position: usize, state: TaskState) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let machine_type = self.machine_types.get(worker.machine_type.as_str());
        let attempt = &mut worker.attempts[position];
        attempt.observe(state);
        let spec = &attempt.spec;
        if state == TaskState::Fetching {
            let gb_per_s =
                machine_type.map_or(f64::MAX, |t| t.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S));
            let fetched_at = now + spec.image_gb / gb_per_s;
            worker.images.record_fetch(&spec.image, fetched_at);
        }
        let is_running = matches!(state, TaskState::Running | TaskState::Saving);
        if is_running && attempt.running_since.is_none() {
            // After a failover the best known start time is that of the placement.
            attempt.running_since = Some(if attempt.restored {
                attempt.placed_at
            } else {
                now
            });
            if let Some(job) = self.jobs.get_mut(&spec.id)
                && !std::mem::replace(&mut job.started, true)
            {
                self.events.push(ClusterEvent::Job(JobEvent::Started {
                    job: spec.id.clone(),
                    wait_s: now - job.accepted_at,
                    class: job.spec.class.clone(),
                    tasks: job.spec.tasks,
                }));
            }
            let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
            worker.images.fetching.remove(&spec.image);
            worker
                .images
                .mark_used(&spec.image, spec.image_gb, cache_gb);
        }
        let is_completed = self
            .jobs
            .get(&spec.id)
            .is_some_and(|job| job.completed.contains(attempt.index));
        if is_completed && attempt.stop.is_none() {
            attempt.request_stop(StopReason::Duplicate, now);
        }
    }

    /// Applies the first status which shows that an attempt has ended.
    fn apply_end(&mut self, now: f64, machine: &str, position: usize, status: &TaskStatus) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let cause = status.cause.unwrap_or(EndCause::Unknown);
        worker.attempts[position].end(cause);
        let attempt = worker.attempts[position].clone();
        if cause != EndCause::Done {
            self.events.push(ClusterEvent::Attempt(AttemptEvent::Ended {
                task: status.task.clone(),
                machine: machine.to_string(),
                cause,
                checkpointed: status.checkpointed,
            }));
        }
        let is_checkpointed = status.checkpointed.unwrap_or(false);
        if self.must_retain_after_end(&attempt, cause) {
            self.retain_after_end(now, machine, position, is_checkpointed);
            return;
        }
        self.release_attempt(machine, &attempt, now);
        self.handle_task_end(now, machine, position, &attempt, cause, is_checkpointed);
    }
}

/// Whether an attempt in its phase counts as lost if a heartbeat does not report it.
fn is_lost_when_absent(attempt: &Attempt, source: HeartbeatSource) -> bool {
    match attempt.phase {
        AttemptPhase::Planned => false,
        // A start command of this term is sent again until a heartbeat reports the
        // attempt, unless the attempt is to be stopped.
        AttemptPhase::Recorded => {
            attempt.restored || (attempt.stop.is_some() && source == HeartbeatSource::Periodic)
        }
        AttemptPhase::Observed(_) | AttemptPhase::Ended(_) => true,
    }
}

/// Whether a heartbeat with these task statuses reports nothing new: it reports exactly the
/// attempts of the worker, each in the state that was last observed, and none of them is
/// to be stopped or has a start time that is still to be recorded.
pub(crate) fn is_unchanged(worker: &Worker, statuses: &[TaskStatus]) -> bool {
    worker.orphaned_attempts.is_empty()
        && worker.attempts.len() == statuses.len()
        && statuses.iter().all(|status| {
            let reported = worker
                .attempts
                .iter()
                .find(|attempt| attempt.number == status.attempt);
            reported.is_some_and(|attempt| {
                attempt.phase == AttemptPhase::Observed(status.state)
                    && attempt.stop.is_none()
                    && (status.state == TaskState::Fetching || attempt.running_since.is_some())
                    && attempt.has_task_name(&status.task)
            })
        })
}
