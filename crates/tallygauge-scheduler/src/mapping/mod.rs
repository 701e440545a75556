//! Maps pending tasks to workers with the Max UPT Preempt Greedy heuristic: decides
//! which task starts on which worker, and which running tasks are preempted for it.
//!
//! Tasks are placed in the order of their utility per time (UPT, see
//! [`utility`]). While a scheduling round is computed, the cluster state stays
//! unchanged and the round's own changes are kept in [`round_state::Round`]; its
//! decisions are applied to the cluster state at the end.
//!
//! The modules, each of which depends only on earlier ones:
//! - `utility` and `ordering`: utility per time, and the order of tasks and slots;
//! - `round_state`: the data of a round;
//! - `round_setup`: fills in that data from the cluster state;
//! - `candidates`: finds free slots for tasks;
//! - `preemption`: selects running attempts to stop, to free slots;
//! - `round`: runs the phases of a round.

mod candidates;
mod ordering;
mod preemption;
mod round;
mod round_setup;
mod round_state;
mod utility;

use crate::{
    cluster_state::ClusterState,
    events::{AttemptEvent, ClusterEvent, JobEvent},
    model::*,
};
use round_state::{PlannedStart, PlannedStop, Round};

/// What a scheduling round did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoundOutcome {
    /// Tasks placed.
    pub placed: usize,
    /// Attempts marked for preemption.
    pub preempted: usize,
}

/// Pending tasks of one job that are interchangeable to the scheduler.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskGroup<'a> {
    pub(crate) job: &'a Job,
    /// The only task of the group, if it has a checkpoint or a retry restriction (a
    /// backoff or a machine to avoid). `None`: the group consists of all pending tasks
    /// of the job that have neither.
    pub(crate) resumable: Option<&'a ResumableTask>,
}

/// Pending tasks, as groups.
pub(crate) struct PendingTasks<'a> {
    /// Groups whose tasks may start now, ordered by job id.
    pub(crate) groups: Vec<TaskGroup<'a>>,
    /// Earliest end of a retry restriction: of a backoff, or of the time for which a task avoids
    /// a machine.
    pub(crate) next_restriction_end: Option<f64>,
}

impl TaskGroup<'_> {
    /// Run time saved in the group's checkpoint, in seconds, if the checkpoint can be
    /// used on this machine type; otherwise 0.
    fn checkpointed_s_on(&self, machine_type: &str) -> f64 {
        self.resumable
            .filter(|r| r.machine_type.as_deref() == Some(machine_type))
            .map_or(0.0, |r| r.checkpointed_s)
    }

    /// Run time saved in the group's checkpoint, in seconds, regardless of the machine
    /// type that the checkpoint is for.
    pub(crate) fn checkpointed_s(&self) -> f64 {
        self.resumable.map_or(0.0, |r| r.checkpointed_s)
    }

    /// Whether the group's tasks must not be placed on the machine now.
    pub(crate) fn avoids(&self, machine: &str, now: f64) -> bool {
        self.resumable
            .is_some_and(|resumable| resumable.avoids(machine, now))
    }

    /// Number of pending tasks in the group.
    pub(crate) fn task_count(&self) -> u32 {
        match self.resumable {
            Some(_) => 1,
            None => self.job.pending.len(),
        }
    }
}

impl ClusterState {
    /// All groups of pending tasks that may start now, and when the next retry restriction
    /// ends.
    pub(crate) fn pending_groups(&self, now: f64) -> PendingTasks<'_> {
        let mut groups = Vec::new();
        let mut restriction_ends = Vec::new();
        for job in self.jobs.values() {
            if !job.pending.is_empty() {
                groups.push(TaskGroup {
                    job,
                    resumable: None,
                });
            }
            for resumable in job.resumable.values() {
                if resumable.not_before <= now {
                    groups.push(TaskGroup {
                        job,
                        resumable: Some(resumable),
                    });
                }
                restriction_ends.extend(resumable.next_restriction_end(now));
            }
        }
        PendingTasks {
            groups,
            next_restriction_end: restriction_ends.into_iter().reduce(f64::min),
        }
    }

    /// Earliest time at which a retry restriction of a task ends, as found by the last
    /// scheduling round.
    #[must_use]
    pub fn next_restriction_end(&self) -> Option<f64> {
        self.next_restriction_end
    }

    /// Runs one scheduling round: adds `Planned` attempts for pending tasks, and, if
    /// `preempt` is set, marks running attempts for preemption.
    pub fn run_round(&mut self, now: f64, preempt: bool) -> RoundOutcome {
        let PendingTasks {
            groups,
            next_restriction_end,
        } = self.pending_groups(now);
        let (starts, stops) = if groups.is_empty() {
            (Vec::new(), Vec::new())
        } else {
            let (mut round, pending) = Round::new(self, now, groups);
            round.run(pending, preempt);
            (round.planned_starts(), round.planned_stops())
        };
        self.next_restriction_end = next_restriction_end;
        self.rounds_run += 1;
        for stop in &stops {
            self.preempt(stop, now);
        }
        for start in &starts {
            self.place(start, now);
        }
        RoundOutcome {
            placed: starts.len(),
            preempted: stops.len(),
        }
    }

    /// Requests the stop of a running attempt in favor of another job.
    fn preempt(&mut self, stop: &PlannedStop, now: f64) {
        let PlannedStop {
            worker: worker_name,
            attempt: attempt_number,
            preemptor: preemptor_job,
        } = stop;
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        for attempt in worker
            .attempts
            .iter_mut()
            .filter(|a| a.number == *attempt_number)
        {
            attempt.request_stop(StopReason::Preempted, now);
            self.events
                .push(ClusterEvent::Attempt(AttemptEvent::Preempted {
                    task: attempt.task_name(),
                    machine: worker_name.clone(),
                    preempted_by: preemptor_job.clone(),
                }));
        }
        self.needs_direct_message.insert(worker_name.clone());
    }

    /// Adds a planned attempt to its worker. It becomes durable with the next placement
    /// batch.
    fn place(&mut self, start: &PlannedStart, now: f64) {
        let number = self.next_attempt_number();
        let Some(job) = self.jobs.get(&start.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(worker) = self.workers.get_mut(&start.worker) else {
            return;
        };
        if let Some(machine_type) = self.machine_types.get(&worker.machine_type) {
            worker.images.request_for(&spec, machine_type, now);
        }
        let mut attempt = Attempt::new(spec, start.task, number, worker.incarnation, now);
        attempt.checkpointed_s = start.checkpointed_s;
        self.add_attempt(&start.worker, attempt);
        self.record_if_fully_placed(&start.job, now);
        self.unbatched_attempts.push(UnbatchedAttempt {
            worker: start.worker.clone(),
            attempt: number,
        });
    }

    /// Records a `JobPlaced` event if no task of the job is pending any more.
    fn record_if_fully_placed(&mut self, id: &str, now: f64) {
        if let Some(job) = self.jobs.get(id)
            && !job.has_pending_tasks()
        {
            let event = ClusterEvent::Job(JobEvent::Placed {
                job: id.to_string(),
                wait_s: now - job.accepted_at,
                class: job.spec.class.clone(),
                tasks: job.spec.tasks,
                is_large: self.is_large(job),
            });
            self.events.push(event);
        }
    }
}
