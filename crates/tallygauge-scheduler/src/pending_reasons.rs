//! Why tasks of a job wait, and where the others stand, for people who ask.

use crate::{cluster_state::ClusterState, mapping::TaskGroup, model::*};
use std::collections::{BTreeSet, HashSet};
use tallygauge_protocol::workers::TaskState;

/// One reason why tasks of a job do not run.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingReason {
    /// The team uses as much as its limit allows.
    TeamLimit {
        /// CPUs that its tasks use.
        cpus: f64,
        /// CPUs that they may use at most.
        cpus_max: f64,
        /// GPUs that its tasks use.
        gpus: f64,
        /// GPUs that they may use at most.
        gpus_max: f64,
    },
    /// No machine that the job may use has room for a task.
    NoRoom {
        /// Machines that it may use, as they are.
        machines: usize,
        /// Machines on their way that it may use.
        coming: usize,
        /// Those it may use that are given up or taken back.
        leaving: usize,
    },
    /// The cloud was asked for machines that would do, and had none.
    NoCapacity {
        /// Kinds that were refused.
        kinds: usize,
        /// Seconds until one of them is asked for again.
        again_s: f64,
    },
    /// There is room: the next round will use it, after what goes first.
    Room {
        /// Machines with room for a task.
        machines: usize,
    },
    /// Waiting tasks of other jobs go first.
    Behind {
        /// Jobs.
        jobs: usize,
        /// Tasks of these.
        tasks: usize,
    },
    /// Tasks failed and are tried again later.
    Retry {
        /// How many.
        tasks: usize,
        /// Seconds until the next of them.
        next_s: f64,
        /// Failures since the last success.
        errors: u32,
    },
    /// Tasks have a machine, and their start is being recorded or on its way.
    Starting {
        /// How many.
        tasks: usize,
    },
    /// Tasks wait on their machine for the job's image.
    Fetching {
        /// How many.
        tasks: usize,
    },
    /// Tasks are being stopped.
    Stopping {
        /// How many.
        tasks: usize,
    },
    /// Tasks are on machines that nothing is heard of; they count until they
    /// are surely over.
    OutOfReach {
        /// How many.
        tasks: usize,
        /// Seconds until the last of them is surely over.
        over_s: f64,
    },
}

/// What becomes of a job's tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingExplanation {
    /// Tasks that have no machine.
    pub pending_tasks: usize,
    /// Whether the job fits its team's guarantee.
    pub within_guarantee: bool,
    /// Reasons, the most telling first.
    pub reasons: Vec<PendingReason>,
}

impl ClusterState {
    /// Why tasks of an open job wait. Looks at all machines and jobs once.
    #[must_use]
    pub fn explain_pending(&self, id: &str, now: f64) -> Option<PendingExplanation> {
        let job = self.jobs.get(id)?;
        let within = self.jobs_within_guarantee();
        let mut reasons = Vec::new();
        let later: Vec<&ResumableTask> = job
            .resumable
            .values()
            .filter(|r| r.not_before > now)
            .collect();
        let waiting = job.pending.len() as usize + job.resumable.len();
        if waiting > later.len() {
            self.why_not_placed(job, &within, now, &mut reasons);
        }
        if !later.is_empty() {
            let next = later.iter().map(|r| r.not_before).fold(f64::MAX, f64::min);
            reasons.push(PendingReason::Retry {
                tasks: later.len(),
                next_s: next - now,
                errors: job.consecutive_failures,
            });
        }
        self.why_not_running(job, now, &mut reasons);
        Some(PendingExplanation {
            pending_tasks: waiting,
            within_guarantee: within.contains(id),
            reasons,
        })
    }

    fn why_not_placed(
        &self,
        job: &Job,
        within: &HashSet<&str>,
        now: f64,
        reasons: &mut Vec<PendingReason>,
    ) {
        let spec = &job.spec;
        let (team, used) = (&self.config.teams[job.team], &self.quota_usage[job.team]);
        let cpus = count_fitting(team.max_cpus - used.cpus, spec.cpus);
        let gpus = count_fitting(team.max_gpus - used.gpus, spec.gpus);
        if cpus.min(gpus) == 0 {
            reasons.push(PendingReason::TeamLimit {
                cpus: used.cpus,
                cpus_max: team.max_cpus,
                gpus: used.gpus,
                gpus_max: team.max_gpus,
            });
        }
        let (mut machines, mut room, mut coming, mut leaving) = (0, 0, 0, 0);
        for w in self.workers.values() {
            let large = self.machine_types.get(&w.machine_type);
            if !job.allows(&w.machine_type, &w.zone, w.spot, &job.attempts_by_zone)
                || !large.is_some_and(|t| Resources::of_type(t).can_fit(spec))
            {
                continue;
            }
            if w.accepts_work(now, &self.config) {
                machines += 1;
                room += usize::from(w.free_resources.can_fit(spec));
            } else if w.leaving.is_some() || w.spot_notice_until.is_some() {
                leaving += 1;
            } else if !w.is_up() {
                coming += 1;
            }
        }
        if room == 0 {
            reasons.push(PendingReason::NoRoom {
                machines,
                coming,
                leaving,
            });
            let refused = self.capacity_backoff.iter().filter(|(kind, backoff)| {
                backoff.until > now
                    && job.allows(
                        &kind.machine_type,
                        &kind.zone,
                        kind.spot,
                        &job.attempts_by_zone,
                    )
                    && self
                        .machine_types
                        .get(&kind.machine_type)
                        .is_some_and(|t| Resources::of_type(t).can_fit(spec))
            });
            let untils: Vec<f64> = refused.map(|(_, backoff)| backoff.until).collect();
            if let Some(first) = untils.iter().copied().reduce(f64::min) {
                reasons.push(PendingReason::NoCapacity {
                    kinds: untils.len(),
                    again_s: first - now,
                });
            }
        }
        let groups = self.pending_groups(now).groups;
        let rank = |g: &TaskGroup| {
            let saved = g.resumable.map_or(0.0, |r| r.checkpointed_s);
            let left = self.remaining_s(g.job, saved);
            let upt = self.utility(g.job, now + left * 0.5) / left;
            (within.contains(g.job.spec.id.as_str()), upt)
        };
        let ours = rank(&TaskGroup {
            job,
            resumable: None,
        });
        let ahead = |g: &&TaskGroup| {
            let theirs = rank(g);
            g.job.spec.id != spec.id
                && theirs
                    .0
                    .cmp(&ours.0)
                    .then(theirs.1.total_cmp(&ours.1))
                    .is_gt()
        };
        let (mut jobs, mut tasks) = (BTreeSet::new(), 0);
        for group in groups.iter().filter(ahead) {
            jobs.insert(group.job.spec.id.as_str());
            tasks += match group.resumable {
                Some(_) => 1,
                None => group.job.pending.len() as usize,
            };
        }
        if tasks > 0 {
            reasons.push(PendingReason::Behind {
                jobs: jobs.len(),
                tasks,
            });
        }
        if room > 0 {
            reasons.push(PendingReason::Room { machines: room });
        }
    }

    fn why_not_running(&self, job: &Job, now: f64, reasons: &mut Vec<PendingReason>) {
        let (mut starting, mut fetching, mut stopping, mut lost) = (0, 0, 0, 0);
        let mut over_s: f64 = 0.0;
        for worker in job
            .attempts_by_worker
            .keys()
            .filter_map(|name| self.workers.get(name))
        {
            let quiet = now - worker.last_heartbeat_at.max(self.term_started_at)
                >= self.config.heartbeat_interval_s * 2.5;
            let ours = |h: &&Attempt| h.spec.id == job.spec.id && h.occupies_capacity();
            for held in worker.attempts.iter().filter(ours) {
                if quiet {
                    lost += 1;
                    over_s = over_s.max(self.lease_expiry(worker) - now);
                } else if held.stop.is_some() {
                    stopping += 1;
                } else {
                    match held.phase {
                        AttemptPhase::Observed(TaskState::Fetching) => fetching += 1,
                        AttemptPhase::Planned | AttemptPhase::Recorded => starting += 1,
                        AttemptPhase::Observed(_) | AttemptPhase::Ended(_) => {}
                    }
                }
            }
        }
        let found = [
            (
                lost,
                PendingReason::OutOfReach {
                    tasks: lost,
                    over_s,
                },
            ),
            (fetching, PendingReason::Fetching { tasks: fetching }),
            (starting, PendingReason::Starting { tasks: starting }),
            (stopping, PendingReason::Stopping { tasks: stopping }),
        ];
        reasons.extend(found.into_iter().filter(|f| f.0 > 0).map(|f| f.1));
    }
}
