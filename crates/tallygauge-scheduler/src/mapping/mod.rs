//! Max UPT Preempt Greedy: which waiting task starts where, and what is
//! stopped for it.
//!
//! A round is worked out on the picture as it stands, with what it changes kept
//! beside it, and taken up at its end.

mod candidates;
mod ordering;
mod preemption;
mod round;

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};
use round::Round;
use std::collections::HashSet;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Tasks of one job that are alike to the mapping.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Group<'a> {
    pub(crate) job: &'a Job,
    /// One task with something of its own; `None`: those that have nothing.
    pub(crate) resumable: Option<&'a ResumableTask>,
}

impl ClusterState {
    /// When a job should be complete: by its deadline and its class's aim.
    pub(crate) fn deadline_at(&self, job: &Job) -> Option<f64> {
        let soft = self.config.class_deadline_s.get(&job.spec.class).copied();
        let due = job.spec.deadline_s.into_iter().chain(soft);
        due.reduce(f64::min).map(|due| job.accepted_at + due)
    }

    /// Worth of a job's tasks that would end at `end`: its priority's step
    /// until the deadline, then a small part of it.
    pub(crate) fn utility(&self, job: &Job, end: f64) -> f64 {
        let full = self.config.utility[priority_index(job.spec.priority)];
        let Some(due) = self.deadline_at(job) else {
            return full;
        };
        if end > due {
            full * self.config.late_utility
        } else {
            full
        }
    }

    /// Run time of a whole task, by its owner's estimate and what its class was
    /// measured to take.
    pub(crate) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        spec.expected_s * self.runtime_ratio(&spec.class)
    }

    /// Remaining run time of a task that begins with `saved_s`.
    pub(crate) fn remaining_s(&self, job: &Job, saved_s: f64) -> f64 {
        (self.expected_run_s(&job.spec) - saved_s).max(self.config.min_remaining_s)
    }

    /// Remaining run time of a running task. One that runs longer than
    /// expected is expected to run as much longer as half of what it has run,
    /// so that it does not look almost done for ever.
    pub(crate) fn remaining_running_s(&self, held: &Attempt, now: f64) -> f64 {
        let whole = self.expected_run_s(&held.spec);
        let ran = held.checkpointed_s + held.run_time_s(now);
        let left = whole - ran;
        if left < ran * 0.5 && left <= 0.0 {
            (ran * 0.5).max(self.config.min_remaining_s)
        } else {
            left.max(self.config.min_remaining_s)
        }
    }

    /// UPT of a running task: what its end is worth per time until then.
    pub(crate) fn upt_running(&self, held: &Attempt, now: f64) -> f64 {
        let left = self.remaining_running_s(held, now);
        match self.jobs.get(&held.spec.id) {
            Some(job) => self.utility(job, now + left * 0.5) / left,
            None => 0.0,
        }
    }

    #[cfg(test)]
    /// Time until a task of the group ends on a worker that has these images,
    /// were it started now.
    pub(crate) fn completion_time_on(
        &self,
        group: &Group,
        worker: &Worker,
        images: &ImageCache,
        now: f64,
    ) -> f64 {
        let rate = self
            .machine_types
            .get(&worker.machine_type)
            .map_or(f64::MAX, |t| t.fetch_gb_per_s);
        let spec = &group.job.spec;
        let fetch = images.fetch_s(&spec.image, spec.image_gb, rate, now);
        fetch + self.remaining_s(group.job, group.checkpoint_on(&worker.machine_type))
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished jobs.
    pub(crate) fn jobs_within_guarantee(&self) -> HashSet<&str> {
        let mut jobs: Vec<&Job> = self.jobs.values().collect();
        jobs.sort_by(|a, b| a.accepted_at.total_cmp(&b.accepted_at));
        let mut sums = vec![(0.0, 0.0); self.config.teams.len()];
        let mut within = HashSet::new();
        for job in jobs {
            let team = &self.config.teams[job.team];
            let sum = &mut sums[job.team];
            let count = f64::from(job.unfinished());
            sum.0 += job.spec.cpus * count;
            sum.1 += job.spec.gpus * count;
            if sum.0 <= team.guaranteed_cpus + EPSILON && sum.1 <= team.guaranteed_gpus + EPSILON {
                within.insert(job.spec.id.as_str());
            }
        }
        within
    }

    /// All groups that wait and may start now, and when the next backoff ends.
    pub(crate) fn pending_groups(&self, now: f64) -> (Vec<Group<'_>>, Option<f64>) {
        let (mut out, mut wake) = (Vec::new(), None::<f64>);
        for job in self.jobs.values() {
            if !job.pending.is_empty() {
                out.push(Group {
                    job,
                    resumable: None,
                });
            }
            for resume in job.resumable.values() {
                if resume.not_before <= now {
                    let resume = Some(resume);
                    out.push(Group {
                        job,
                        resumable: resume,
                    });
                } else {
                    wake = Some(wake.map_or(resume.not_before, |w| w.min(resume.not_before)));
                }
            }
        }
        (out, wake)
    }

    /// Earliest time at which a task's backoff ends, as the last round met it.
    #[must_use]
    pub fn next_wake(&self) -> Option<f64> {
        self.next_backoff_end
    }

    /// CPUs of the least machine type that has room for a task of the job.
    pub(crate) fn smallest_fitting_cpus(&self, job: &Job) -> f64 {
        let holds = |t: &&MachineType| Resources::of_type(t).can_fit(&job.spec);
        let sizes = self.machine_types.values().filter(holds).map(|t| t.cpus);
        sizes.fold(f64::MAX, f64::min)
    }

    /// Size of the machines that are short: the least that waiting tasks need
    /// which do not fit any smaller one.
    pub(crate) fn contended(&self, groups: &[Group]) -> f64 {
        let least = self
            .machine_types
            .values()
            .map(|t| t.cpus)
            .fold(f64::MAX, f64::min);
        let needs = groups.iter().map(|g| self.smallest_fitting_cpus(g.job));
        needs.filter(|n| *n > least).fold(f64::MAX, f64::min)
    }

    /// What counts between workers that are about as good, in seconds: small
    /// ones and full ones come first, so that large rooms are kept for large
    /// tasks and machines fall empty. Machines that others wait for come later,
    /// surplus ones last: their use may cost another boot.
    pub(crate) fn packing(
        &self,
        worker: &Worker,
        of_type: &MachineType,
        free: f64,
        largest: f64,
        spared: f64,
    ) -> f64 {
        let mut last = if worker.surplus { of_type.boot_s } else { 0.0 };
        if of_type.cpus >= spared {
            last += self.config.min_remaining_s;
        }
        last + self.config.min_remaining_s * 0.5 * (of_type.cpus + free) / (2.0 * largest)
    }

    /// One round: places waiting tasks, greatest UPT first, as `Planned`, and
    /// marks running ones to be stopped. Returns how many were placed and how
    /// many stopped.
    pub fn run_round(&mut self, now: f64, preempt: bool) -> (usize, usize) {
        let (groups, wake) = self.pending_groups(now);
        let (starts, stops) = if groups.is_empty() {
            (Vec::new(), Vec::new())
        } else {
            let (mut round, waiting) = Round::new(self, now, groups);
            round.run(waiting, preempt);
            round.outcome()
        };
        self.next_backoff_end = wake;
        for (worker, attempt, newcomer) in &stops {
            self.preempt(worker, *attempt, newcomer, now);
        }
        let count = starts.len();
        for (id, index, saved_s, worker) in starts {
            self.place(&id, index, saved_s, &worker, now);
        }
        (count, stops.len())
    }

    fn preempt(&mut self, name: &str, attempt: u64, newcomer: &str, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for held in worker.attempts.iter_mut().filter(|h| h.number == attempt) {
            held.request_stop(StopReason::Preempted, now);
            self.events.push(ClusterEvent::AttemptPreempted {
                task: held.task_name(),
                machine: name.to_string(),
                preempted_by: newcomer.to_string(),
            });
        }
        self.needs_direct_message.insert(name.to_string());
    }

    fn place(&mut self, id: &str, index: u32, saved_s: f64, worker: &str, now: f64) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(t) = self.machine_types.get(&w.machine_type) {
            w.images.request(&spec, t, now);
        }
        let mut held = Attempt::new(spec, index, attempt, w.incarnation, now);
        held.checkpointed_s = saved_s;
        self.add_attempt(worker, held);
        if let Some(job) = self.jobs.get(id)
            && job.pending.is_empty()
            && job.resumable.is_empty()
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
        self.unbatched_attempts.push(UnbatchedAttempt {
            worker: worker.to_string(),
            attempt,
        });
    }
}

impl Group<'_> {
    /// Progress that counts on a machine type.
    fn checkpoint_on(&self, machine_type: &str) -> f64 {
        self.resumable
            .filter(|r| r.machine_type.as_deref() == Some(machine_type))
            .map_or(0.0, |r| r.checkpointed_s)
    }
}
