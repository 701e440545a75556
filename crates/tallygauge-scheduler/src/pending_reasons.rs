//! Explains to users why tasks of a job are not running.

mod machine_counts;

use crate::{cluster_state::ClusterState, mapping::TaskGroup, model::*};
use std::{
    cmp::Ordering,
    collections::{BTreeSet, HashSet},
};
use tallygauge_protocol::workers::TaskState;

/// A reason why tasks of a job are not running.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingReason {
    /// The quota of the team does not allow another task of the job.
    TeamLimit {
        /// CPUs that the tasks of the team use.
        cpus: f64,
        /// Maximum number of CPUs that these tasks may use.
        max_cpus: f64,
        /// GPUs that the tasks of the team use.
        gpus: f64,
        /// Maximum number of GPUs that these tasks may use.
        max_gpus: f64,
    },
    /// No machine that the job may use has enough free resources for a task.
    InsufficientResources {
        /// Number of machines that the job may use and that accept work.
        machines: usize,
        /// Number of machines that the job may use and that are booting.
        booting: usize,
        /// Number of machines that the job may use and that are being returned to the cloud
        /// or reclaimed by it.
        leaving: usize,
    },
    /// Machines have enough free resources for a task, but so many attempts that they take no
    /// more.
    AttemptLimit {
        /// Number of such machines.
        machines: usize,
        /// Number of ended attempts on them that can't be cleared, because the direct message
        /// with their start may still arrive.
        uncleared_attempts: usize,
    },
    /// Machines have enough free resources for a task, but every pending task of the job has
    /// failed on them or was refused by them, and avoids them.
    AvoidedMachines {
        /// Number of such machines.
        machines: usize,
    },
    /// Machines have room for a task, but are reserved for other jobs.
    ReservedMachines {
        /// Number of such machines.
        machines: usize,
    },
    /// The cloud had no capacity for machines that the job may use.
    NoCloudCapacity {
        /// Number of kinds of machines for which the cloud had no capacity.
        kinds: usize,
        /// Seconds until a machine of the first of these kinds may be requested again.
        retry_in_s: f64,
    },
    /// Machines have enough free resources for a task. The next scheduling round will use
    /// them, first for the tasks that are ahead of this job.
    ResourcesAvailable {
        /// Number of such machines.
        machines: usize,
    },
    /// Pending tasks of other jobs are ahead of the tasks of this job.
    QueuedBehind {
        /// Number of these other jobs.
        jobs: usize,
        /// Number of their pending tasks that are ahead.
        tasks: usize,
    },
    /// Tasks failed and are in retry backoff.
    Retry {
        /// Number of tasks.
        tasks: usize,
        /// Seconds until the first of them is retried.
        retry_in_s: f64,
        /// Failed attempts of the job since its last completed task.
        failures: u32,
    },
    /// Tasks are placed; their placement is being committed or their start command sent to
    /// the worker.
    Starting {
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks wait until their machine has fetched the image of the job.
    Fetching {
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks are being stopped.
    Stopping {
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks are on machines that send no heartbeats. Such tasks occupy capacity until the
    /// lease of their machine has certainly expired.
    Unreachable {
        /// Number of tasks.
        tasks: usize,
        /// Seconds until the last lease of these machines has certainly expired.
        lease_expires_in_s: f64,
    },
}

/// Why tasks of a job are not running.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingExplanation {
    /// Tasks that are not placed.
    pub pending_tasks: usize,
    /// Whether the job is within the guarantee of its team.
    pub within_guarantee: bool,
    /// Reasons, with the most important first.
    pub reasons: Vec<PendingReason>,
}

/// A job with a task that waits for its retry.
pub struct WaitingRetry<'a> {
    /// The job.
    pub job: &'a Job,
    /// Seconds since the task's backoff ended.
    pub waited_s: f64,
}

/// Numbers of tasks of a job that are placed but not running, by cause.
#[derive(Default)]
struct NotRunningCounts {
    starting: usize,
    fetching: usize,
    stopping: usize,
    unreachable: usize,
    /// Seconds until the leases of all machines with unreachable tasks have certainly
    /// expired.
    lease_expires_in_s: f64,
}

/// The sort key of pending tasks in a scheduling round (`PlacementOrder`) without the time
/// of acceptance: tasks within their team's guarantee come first, then those of higher
/// utility per time.
struct QueueOrder {
    within_guarantee: bool,
    /// Utility per time, in utility units per second.
    upt: f64,
}

impl QueueOrder {
    fn is_ahead_of(&self, other: &Self) -> bool {
        let by_guarantee = self.within_guarantee.cmp(&other.within_guarantee);
        by_guarantee.then(self.upt.total_cmp(&other.upt)) == Ordering::Greater
    }
}

impl ClusterState {
    /// Explains why tasks of an open job are not running; `None` if the job isn't open.
    ///
    /// Takes time proportional to the number of machines and open jobs.
    #[must_use]
    pub fn explain_pending(&self, id: &str, now: f64) -> Option<PendingExplanation> {
        let job = self.jobs.get(id)?;
        let within_guarantee = self.jobs_within_guarantee();
        let mut reasons = Vec::new();
        let in_backoff: Vec<&ResumableTask> = job
            .resumable
            .values()
            .filter(|task| task.not_before > now)
            .collect();
        let pending_tasks = job.pending.len() as usize + job.resumable.len();
        if pending_tasks > in_backoff.len() {
            self.explain_not_placed(job, &within_guarantee, now, &mut reasons);
        }
        if !in_backoff.is_empty() {
            let backoff_ends = in_backoff.iter().map(|task| task.not_before);
            let first_end = backoff_ends.fold(f64::MAX, f64::min);
            reasons.push(PendingReason::Retry {
                tasks: in_backoff.len(),
                retry_in_s: first_end - now,
                failures: job.consecutive_failures,
            });
        }
        self.explain_not_running(job, now, &mut reasons);
        Some(PendingExplanation {
            pending_tasks,
            within_guarantee: within_guarantee.contains(id),
            reasons,
        })
    }

    /// Of the tasks that failed or were refused and whose backoff is over, the one that has
    /// been waiting longest for its next attempt.
    #[must_use]
    pub fn oldest_waiting_retry(&self, now: f64) -> Option<WaitingRetry<'_>> {
        let backoff_ends = self.jobs.values().flat_map(|job| {
            let retries = job.resumable.values().map(|task| task.not_before);
            let ready = retries.filter(|not_before| (f64::MIN_POSITIVE..=now).contains(not_before));
            ready.map(move |not_before| (job, not_before))
        });
        let oldest = backoff_ends.min_by(|(_, a), (_, b)| a.total_cmp(b));
        oldest.map(|(job, not_before)| WaitingRetry {
            job,
            waited_s: now - not_before,
        })
    }

    fn explain_not_placed(
        &self,
        job: &Job,
        within_guarantee: &HashSet<&str>,
        now: f64,
        reasons: &mut Vec<PendingReason>,
    ) {
        reasons.extend(self.team_limit_reason(job));
        let machines = self.count_machines(job, now);
        if machines.with_room == 0 {
            reasons.extend(machines.reasons_without_room());
            reasons.extend(self.no_cloud_capacity_reason(job, now));
        }
        reasons.extend(self.queued_behind_reason(job, within_guarantee, now));
        if machines.with_room > 0 {
            reasons.push(PendingReason::ResourcesAvailable {
                machines: machines.with_room,
            });
        }
    }

    /// The reason [`PendingReason::TeamLimit`], if the quota of the team does not allow
    /// another task of the job.
    fn team_limit_reason(&self, job: &Job) -> Option<PendingReason> {
        let spec = &job.spec;
        let team = &self.config.teams[job.team];
        let usage = &self.quota_usage[job.team];
        let tasks_by_cpus = count_fitting(team.max_cpus - usage.cpus, spec.cpus);
        let tasks_by_gpus = count_fitting(team.max_gpus - usage.gpus, spec.gpus);
        (tasks_by_cpus.min(tasks_by_gpus) == 0).then_some(PendingReason::TeamLimit {
            cpus: usage.cpus,
            max_cpus: team.max_cpus,
            gpus: usage.gpus,
            max_gpus: team.max_gpus,
        })
    }

    /// The reason [`PendingReason::NoCloudCapacity`], if requests for kinds of machines that
    /// the job may use are in backoff, since the cloud had no capacity.
    fn no_cloud_capacity_reason(&self, job: &Job, now: f64) -> Option<PendingReason> {
        let kinds_in_backoff = self.capacity_backoff.iter().filter(|(kind, backoff)| {
            backoff.until > now
                && job.allows(
                    &kind.machine_type,
                    &kind.zone,
                    kind.spot,
                    &job.attempts_by_zone,
                )
                && self.task_fits_type(&kind.machine_type, job)
        });
        let backoff_ends: Vec<f64> = kinds_in_backoff.map(|(_, backoff)| backoff.until).collect();
        let first_end = backoff_ends.iter().copied().reduce(f64::min)?;
        Some(PendingReason::NoCloudCapacity {
            kinds: backoff_ends.len(),
            retry_in_s: first_end - now,
        })
    }

    /// The reason [`PendingReason::QueuedBehind`], if pending tasks of other jobs are ahead
    /// of those of the job.
    fn queued_behind_reason(
        &self,
        job: &Job,
        within_guarantee: &HashSet<&str>,
        now: f64,
    ) -> Option<PendingReason> {
        let order = |group: &TaskGroup| {
            let remaining_s = self.remaining_s(group.job, group.checkpointed_s());
            QueueOrder {
                within_guarantee: within_guarantee.contains(group.job.spec.id.as_str()),
                upt: self.utility(group.job, now + remaining_s * 0.5) / remaining_s,
            }
        };
        let own = order(&TaskGroup {
            job,
            resumable: None,
        });
        let groups = self.pending_groups(now).groups;
        let is_ahead =
            |group: &&TaskGroup| group.job.spec.id != job.spec.id && order(group).is_ahead_of(&own);
        let (mut jobs, mut tasks) = (BTreeSet::new(), 0);
        for group in groups.iter().filter(is_ahead) {
            jobs.insert(group.job.spec.id.as_str());
            tasks += group.task_count() as usize;
        }
        (tasks > 0).then_some(PendingReason::QueuedBehind {
            jobs: jobs.len(),
            tasks,
        })
    }

    fn explain_not_running(&self, job: &Job, now: f64, reasons: &mut Vec<PendingReason>) {
        let tasks = self.count_not_running(job, now);
        let counted_reasons = [
            (
                tasks.unreachable,
                PendingReason::Unreachable {
                    tasks: tasks.unreachable,
                    lease_expires_in_s: tasks.lease_expires_in_s,
                },
            ),
            (
                tasks.fetching,
                PendingReason::Fetching {
                    tasks: tasks.fetching,
                },
            ),
            (
                tasks.starting,
                PendingReason::Starting {
                    tasks: tasks.starting,
                },
            ),
            (
                tasks.stopping,
                PendingReason::Stopping {
                    tasks: tasks.stopping,
                },
            ),
        ];
        let present = counted_reasons.into_iter().filter(|(count, _)| *count > 0);
        reasons.extend(present.map(|(_, reason)| reason));
    }

    fn count_not_running(&self, job: &Job, now: f64) -> NotRunningCounts {
        let mut tasks = NotRunningCounts::default();
        let worker_names = job.attempts_by_worker.keys();
        for worker in worker_names.filter_map(|name| self.workers.get(name)) {
            let silent_s = now - worker.last_heartbeat_at.max(self.term_started_at);
            let is_silent = silent_s >= self.config.heartbeat_timeout_s();
            let is_of_job =
                |attempt: &&Attempt| attempt.spec.id == job.spec.id && attempt.occupies_capacity();
            for attempt in worker.attempts.iter().filter(is_of_job) {
                if is_silent {
                    tasks.unreachable += 1;
                    tasks.lease_expires_in_s = tasks
                        .lease_expires_in_s
                        .max(self.lease_expiry(worker) - now);
                } else if attempt.stop.is_some() {
                    tasks.stopping += 1;
                } else {
                    match attempt.phase {
                        AttemptPhase::Observed(TaskState::Fetching) => tasks.fetching += 1,
                        AttemptPhase::Planned | AttemptPhase::Recorded => tasks.starting += 1,
                        AttemptPhase::Observed(_) | AttemptPhase::Ended(_) => {}
                    }
                }
            }
        }
        tasks
    }
}
