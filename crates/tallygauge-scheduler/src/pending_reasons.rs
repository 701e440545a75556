//! Explains to users why tasks of a job are not running.

use crate::{cluster_state::ClusterState, mapping::TaskGroup, model::*};
use std::{
    cmp::Ordering,
    collections::{BTreeSet, HashSet},
};
use tallygauge_protocol::workers::TaskState;

/// One reason why tasks of a job do not run.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingReason {
    /// The team uses as much as its limit allows.
    TeamLimit {
        /// CPUs that its tasks use.
        cpus: f64,
        /// CPUs that they may use at most.
        max_cpus: f64,
        /// GPUs that its tasks use.
        gpus: f64,
        /// GPUs that they may use at most.
        max_gpus: f64,
    },
    /// No machine that the job may use has enough free resources for a task.
    InsufficientResources {
        /// Usable machines that the job may use.
        machines: usize,
        /// Booting machines that it may use.
        booting: usize,
        /// Machines it may use that are being returned or interrupted.
        leaving: usize,
    },
    /// The cloud had no capacity for machines that the job may use.
    NoCloudCapacity {
        /// Kinds of machines that were refused.
        kinds: usize,
        /// Seconds until one of them is requested again.
        retry_in_s: f64,
    },
    /// Machines have enough free resources for a task: the next round will use them,
    /// after tasks that are ahead.
    ResourcesAvailable {
        /// Number of such machines.
        machines: usize,
    },
    /// Pending tasks of other jobs are ahead.
    QueuedBehind {
        /// Jobs.
        jobs: usize,
        /// Tasks of these.
        tasks: usize,
    },
    /// Tasks failed and are in retry backoff.
    Retry {
        /// Number of tasks.
        tasks: usize,
        /// Seconds until the first of them is retried.
        retry_in_s: f64,
        /// Failures since the last success.
        failures: u32,
    },
    /// Tasks are placed, and their start is being recorded or sent to the worker.
    Starting {
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks wait on their machine for the job's image to be fetched.
    Fetching {
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks are being stopped.
    Stopping {
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks are on machines that send no heartbeats; they count until their lease has
    /// certainly expired.
    Unreachable {
        /// Number of tasks.
        tasks: usize,
        /// Seconds until the last lease has certainly expired.
        lease_expires_in_s: f64,
    },
}

/// Why tasks of a job are not running.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingExplanation {
    /// Tasks that are not placed.
    pub pending_tasks: usize,
    /// Whether the job fits its team's guarantee.
    pub within_guarantee: bool,
    /// Reasons, the most important first.
    pub reasons: Vec<PendingReason>,
}

/// Machines that a job may use.
#[derive(Default)]
struct MachineCounts {
    usable: usize,
    /// Usable ones with enough free resources for a task.
    with_free_resources: usize,
    booting: usize,
    leaving: usize,
}

/// Tasks of a job that are on machines, by what keeps them from running.
#[derive(Default)]
struct NotRunning {
    starting: usize,
    fetching: usize,
    stopping: usize,
    out_of_reach: usize,
    /// Seconds until the last lease of those out of reach has certainly expired.
    over_s: f64,
}

/// Place in the order of pending tasks, without age.
struct Rank {
    within_guarantee: bool,
    /// Utility per time, in 1/s.
    upt: f64,
}

impl Rank {
    fn is_ahead_of(&self, other: &Self) -> bool {
        let by_guarantee = self.within_guarantee.cmp(&other.within_guarantee);
        by_guarantee.then(self.upt.total_cmp(&other.upt)) == Ordering::Greater
    }
}

impl ClusterState {
    /// Why tasks of an open job are not running; `None` if the job isn't open. Looks at
    /// all machines and jobs once.
    #[must_use]
    pub fn explain_pending(&self, id: &str, now: f64) -> Option<PendingExplanation> {
        let job = self.jobs.get(id)?;
        let within_guarantee = self.jobs_within_guarantee();
        let mut reasons = Vec::new();
        let in_backoff: Vec<&ResumableTask> = job
            .resumable
            .values()
            .filter(|r| r.not_before > now)
            .collect();
        let pending_tasks = job.pending.len() as usize + job.resumable.len();
        if pending_tasks > in_backoff.len() {
            self.why_not_placed(job, &within_guarantee, now, &mut reasons);
        }
        if !in_backoff.is_empty() {
            let ends = in_backoff.iter().map(|r| r.not_before);
            let next = ends.fold(f64::MAX, f64::min);
            reasons.push(PendingReason::Retry {
                tasks: in_backoff.len(),
                retry_in_s: next - now,
                failures: job.consecutive_failures,
            });
        }
        self.why_not_running(job, now, &mut reasons);
        Some(PendingExplanation {
            pending_tasks,
            within_guarantee: within_guarantee.contains(id),
            reasons,
        })
    }

    fn why_not_placed(
        &self,
        job: &Job,
        within_guarantee: &HashSet<&str>,
        now: f64,
        reasons: &mut Vec<PendingReason>,
    ) {
        reasons.extend(self.team_limit(job));
        let machines = self.count_machines(job, now);
        if machines.with_free_resources == 0 {
            reasons.push(PendingReason::InsufficientResources {
                machines: machines.usable,
                booting: machines.booting,
                leaving: machines.leaving,
            });
            reasons.extend(self.refused_kinds(job, now));
        }
        reasons.extend(self.tasks_ahead(job, within_guarantee, now));
        if machines.with_free_resources > 0 {
            reasons.push(PendingReason::ResourcesAvailable {
                machines: machines.with_free_resources,
            });
        }
    }

    /// The team's limit, if it does not allow another task.
    fn team_limit(&self, job: &Job) -> Option<PendingReason> {
        let spec = &job.spec;
        let team = &self.config.teams[job.team];
        let usage = &self.quota_usage[job.team];
        let by_cpus = count_fitting(team.max_cpus - usage.cpus, spec.cpus);
        let by_gpus = count_fitting(team.max_gpus - usage.gpus, spec.gpus);
        (by_cpus.min(by_gpus) == 0).then_some(PendingReason::TeamLimit {
            cpus: usage.cpus,
            max_cpus: team.max_cpus,
            gpus: usage.gpus,
            max_gpus: team.max_gpus,
        })
    }

    fn count_machines(&self, job: &Job, now: f64) -> MachineCounts {
        let mut counts = MachineCounts::default();
        for worker in self.workers.values() {
            let (machine_type, zone) = (&worker.machine_type, &worker.zone);
            if !job.allows(machine_type, zone, worker.spot, &job.attempts_by_zone)
                || !self.type_fits(machine_type, job)
            {
                continue;
            }
            if worker.accepts_work(now, &self.config) {
                counts.usable += 1;
                let fits = worker.free_resources.can_fit(&job.spec);
                counts.with_free_resources += usize::from(fits);
            } else if worker.return_decision.is_some() || worker.spot_reclaim_at.is_some() {
                counts.leaving += 1;
            } else if !worker.has_reported() {
                counts.booting += 1;
            }
        }
        counts
    }

    /// Whether a task of the job fits an empty machine of the type.
    fn type_fits(&self, machine_type: &str, job: &Job) -> bool {
        let machine_type = self.machine_types.get(machine_type);
        machine_type.is_some_and(|t| Resources::of_type(t).can_fit(&job.spec))
    }

    /// Kinds of machines that the job may use and the cloud has refused of late.
    fn refused_kinds(&self, job: &Job, now: f64) -> Option<PendingReason> {
        let refused = self.capacity_backoff.iter().filter(|(kind, backoff)| {
            backoff.until > now
                && job.allows(
                    &kind.machine_type,
                    &kind.zone,
                    kind.spot,
                    &job.attempts_by_zone,
                )
                && self.type_fits(&kind.machine_type, job)
        });
        let backoff_ends: Vec<f64> = refused.map(|(_, backoff)| backoff.until).collect();
        let first_end = backoff_ends.iter().copied().reduce(f64::min)?;
        Some(PendingReason::NoCloudCapacity {
            kinds: backoff_ends.len(),
            retry_in_s: first_end - now,
        })
    }

    /// Pending tasks of other jobs that are ahead of the job's.
    fn tasks_ahead(
        &self,
        job: &Job,
        within_guarantee: &HashSet<&str>,
        now: f64,
    ) -> Option<PendingReason> {
        let rank = |group: &TaskGroup| {
            let remaining_s = self.remaining_s(group.job, group.checkpointed_s());
            Rank {
                within_guarantee: within_guarantee.contains(group.job.spec.id.as_str()),
                upt: self.utility(group.job, now + remaining_s * 0.5) / remaining_s,
            }
        };
        let own = rank(&TaskGroup {
            job,
            resumable: None,
        });
        let groups = self.pending_groups(now).groups;
        let is_ahead =
            |group: &&TaskGroup| group.job.spec.id != job.spec.id && rank(group).is_ahead_of(&own);
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

    fn why_not_running(&self, job: &Job, now: f64, reasons: &mut Vec<PendingReason>) {
        let tasks = self.count_not_running(job, now);
        let by_count = [
            (
                tasks.out_of_reach,
                PendingReason::Unreachable {
                    tasks: tasks.out_of_reach,
                    lease_expires_in_s: tasks.over_s,
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
        let found = by_count.into_iter().filter(|(count, _)| *count > 0);
        reasons.extend(found.map(|(_, reason)| reason));
    }

    fn count_not_running(&self, job: &Job, now: f64) -> NotRunning {
        let mut tasks = NotRunning::default();
        let names = job.attempts_by_worker.keys();
        for worker in names.filter_map(|name| self.workers.get(name)) {
            let silent_s = now - worker.last_heartbeat_at.max(self.term_started_at);
            let is_silent = silent_s >= self.config.heartbeat_timeout_s();
            let is_of_job = |a: &&Attempt| a.spec.id == job.spec.id && a.occupies_capacity();
            for attempt in worker.attempts.iter().filter(is_of_job) {
                if is_silent {
                    tasks.out_of_reach += 1;
                    tasks.over_s = tasks.over_s.max(self.lease_expiry(worker) - now);
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
