//! Maps pending tasks to workers (Max UPT Preempt Greedy): which task starts
//! where, and which running tasks are preempted for it.
//!
//! Tasks are placed in the order of their utility per time (UPT, see
//! [`utility`]). A round is computed on the unchanged cluster state, with its
//! own changes kept in [`round_state::Round`], and applied to the state at the
//! end. The modules depend on each other in one direction: `round_state` holds
//! the data, `round_setup` fills it in, `candidates` finds free slots,
//! `preemption` frees slots, and `round` runs the phases.

mod candidates;
mod ordering;
mod preemption;
mod round;
mod round_setup;
mod round_state;
mod utility;

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};
use round_state::{PlannedStart, PlannedStop, Round};

/// What a scheduling round did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoundOutcome {
    /// Tasks placed.
    pub placed: usize,
    /// Attempts marked to be preempted.
    pub preempted: usize,
}

/// Tasks of one job that are alike to the scheduler.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskGroup<'a> {
    pub(crate) job: &'a Job,
    /// A single task with a checkpoint or a retry restriction; `None`: all pending
    /// tasks of the job that have neither.
    pub(crate) resumable: Option<&'a ResumableTask>,
}

/// What waits to be placed.
pub(crate) struct PendingTasks<'a> {
    /// Groups that may start now, in the order of their jobs' ids.
    pub(crate) groups: Vec<TaskGroup<'a>>,
    /// When the next task's retry backoff ends.
    pub(crate) next_backoff_end: Option<f64>,
}

impl TaskGroup<'_> {
    /// Seconds of run time that are checkpointed, if a checkpoint can be used on
    /// this machine type.
    fn checkpoint_on(&self, machine_type: &str) -> f64 {
        self.resumable
            .filter(|r| r.machine_type.as_deref() == Some(machine_type))
            .map_or(0.0, |r| r.checkpointed_s)
    }

    /// Seconds of run time that are checkpointed, for whichever machine type.
    pub(crate) fn checkpointed_s(&self) -> f64 {
        self.resumable.map_or(0.0, |r| r.checkpointed_s)
    }

    /// How many pending tasks it has.
    pub(crate) fn task_count(&self) -> u32 {
        match self.resumable {
            Some(_) => 1,
            None => self.job.pending.len(),
        }
    }
}

impl ClusterState {
    /// All groups of pending tasks that may start now, and when the next backoff
    /// ends.
    pub(crate) fn pending_groups(&self, now: f64) -> PendingTasks<'_> {
        let mut groups = Vec::new();
        let mut next_backoff_end = None::<f64>;
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
                } else {
                    let end = resumable.not_before;
                    next_backoff_end = Some(next_backoff_end.map_or(end, |e| e.min(end)));
                }
            }
        }
        PendingTasks {
            groups,
            next_backoff_end,
        }
    }

    /// Earliest time at which a task's retry backoff ends, as of the last round.
    #[must_use]
    pub fn next_wake(&self) -> Option<f64> {
        self.next_backoff_end
    }

    /// Runs one scheduling round: places pending tasks as `Planned`, and, if
    /// `preempt` is set, marks running ones to be preempted.
    pub fn run_round(&mut self, now: f64, preempt: bool) -> RoundOutcome {
        let PendingTasks {
            groups,
            next_backoff_end,
        } = self.pending_groups(now);
        let (starts, stops) = if groups.is_empty() {
            (Vec::new(), Vec::new())
        } else {
            let (mut round, pending) = Round::new(self, now, groups);
            round.run(pending, preempt);
            (round.planned_starts(), round.planned_stops())
        };
        self.next_backoff_end = next_backoff_end;
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

    /// Marks an attempt to be stopped for another job.
    fn preempt(&mut self, stop: &PlannedStop, now: f64) {
        let PlannedStop {
            worker: name,
            attempt: number,
            preemptor: newcomer,
        } = stop;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for attempt in worker.attempts.iter_mut().filter(|a| a.number == *number) {
            attempt.request_stop(StopReason::Preempted, now);
            self.events.push(ClusterEvent::AttemptPreempted {
                task: attempt.task_name(),
                machine: name.clone(),
                preempted_by: newcomer.clone(),
            });
        }
        self.needs_direct_message.insert(name.clone());
    }

    /// Adds a planned attempt to its worker, to be made durable with the next
    /// placement batch.
    fn place(&mut self, start: &PlannedStart, now: f64) {
        let number = self.next_attempt();
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
        self.log_if_fully_placed(&start.job, now);
        self.unbatched_attempts.push(UnbatchedAttempt {
            worker: start.worker.clone(),
            attempt: number,
        });
    }

    /// Records an event if no task of the job is pending any more.
    fn log_if_fully_placed(&mut self, id: &str, now: f64) {
        if let Some(job) = self.jobs.get(id)
            && !job.has_pending_tasks()
        {
            let event = ClusterEvent::JobPlaced {
                job: id.to_string(),
                wait_s: now - job.accepted_at,
                class: job.spec.class.clone(),
                tasks: job.spec.tasks,
                is_large: self.is_large(job),
            };
            self.events.push(event);
        }
    }
}
