//! Why tasks of a job wait, and where the others stand, for people who ask.

use crate::{cluster_state::Cluster, mapping::Group, model::*};
use std::collections::{BTreeSet, HashSet};
use tallygauge_protocol::workers::TaskState;

/// One reason why tasks of a job do not run.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
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
pub struct Why {
    /// Tasks that have no machine.
    pub waiting: usize,
    /// Whether the job fits its team's guarantee.
    pub within_guarantee: bool,
    /// Reasons, the most telling first.
    pub reasons: Vec<Reason>,
}

impl Cluster {
    /// Why tasks of an open job wait. Looks at all machines and jobs once.
    #[must_use]
    pub fn why(&self, id: &str, now: f64) -> Option<Why> {
        let job = self.jobs.get(id)?;
        let within = self.within_guarantee();
        let mut reasons = Vec::new();
        let later: Vec<&Resume> = job
            .resumes
            .values()
            .filter(|r| r.not_before > now)
            .collect();
        let waiting = job.waiting.len() as usize + job.resumes.len();
        if waiting > later.len() {
            self.why_not_placed(job, &within, now, &mut reasons);
        }
        if !later.is_empty() {
            let next = later.iter().map(|r| r.not_before).fold(f64::MAX, f64::min);
            reasons.push(Reason::Retry {
                tasks: later.len(),
                next_s: next - now,
                errors: job.errors,
            });
        }
        self.why_not_running(job, now, &mut reasons);
        Some(Why {
            waiting,
            within_guarantee: within.contains(id),
            reasons,
        })
    }

    fn why_not_placed(
        &self,
        job: &Job,
        within: &HashSet<&str>,
        now: f64,
        reasons: &mut Vec<Reason>,
    ) {
        let spec = &job.spec;
        let (team, used) = (&self.cfg.teams[job.team], &self.ledgers[job.team]);
        let cpus = fit(team.cpus_max - used.cpus, spec.cpus);
        let gpus = fit(team.gpus_max - used.gpus, spec.gpus);
        if cpus.min(gpus) == 0 {
            reasons.push(Reason::TeamLimit {
                cpus: used.cpus,
                cpus_max: team.cpus_max,
                gpus: used.gpus,
                gpus_max: team.gpus_max,
            });
        }
        let (mut machines, mut room, mut coming, mut leaving) = (0, 0, 0, 0);
        for w in self.workers.values() {
            let large = self.types.get(&w.machine_type);
            if !job.allows(&w.machine_type, &w.zone, w.spot, &job.zones)
                || !large.is_some_and(|t| Room::of_type(t).holds(spec))
            {
                continue;
            }
            if w.usable(now, &self.cfg) {
                machines += 1;
                room += usize::from(w.free.holds(spec));
            } else if w.leaving.is_some() || w.notice_until.is_some() {
                leaving += 1;
            } else if !w.up() {
                coming += 1;
            }
        }
        if room == 0 {
            reasons.push(Reason::NoRoom {
                machines,
                coming,
                leaving,
            });
            let refused = self.blocked.iter().filter(|((t, zone, spot), (until, _))| {
                *until > now
                    && job.allows(t, zone, *spot, &job.zones)
                    && self
                        .types
                        .get(t)
                        .is_some_and(|t| Room::of_type(t).holds(spec))
            });
            let untils: Vec<f64> = refused.map(|(_, (until, _))| *until).collect();
            if let Some(first) = untils.iter().copied().reduce(f64::min) {
                reasons.push(Reason::NoCapacity {
                    kinds: untils.len(),
                    again_s: first - now,
                });
            }
        }
        let (groups, _) = self.groups(now);
        let rank = |g: &Group| {
            let saved = g.resume.map_or(0.0, |r| r.saved_s);
            let left = self.remaining(g.job, saved);
            let upt = self.worth(g.job, now + left * 0.5) / left;
            (within.contains(g.job.spec.id.as_str()), upt)
        };
        let ours = rank(&Group { job, resume: None });
        let ahead = |g: &&Group| {
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
            tasks += match group.resume {
                Some(_) => 1,
                None => group.job.waiting.len() as usize,
            };
        }
        if tasks > 0 {
            reasons.push(Reason::Behind {
                jobs: jobs.len(),
                tasks,
            });
        }
        if room > 0 {
            reasons.push(Reason::Room { machines: room });
        }
    }

    fn why_not_running(&self, job: &Job, now: f64, reasons: &mut Vec<Reason>) {
        let (mut starting, mut fetching, mut stopping, mut lost) = (0, 0, 0, 0);
        let mut over_s: f64 = 0.0;
        for worker in job.on.keys().filter_map(|name| self.workers.get(name)) {
            let quiet = now - worker.heard_at.max(self.term_at) >= self.cfg.report_s * 2.5;
            let ours = |h: &&Held| h.spec.id == job.spec.id && h.occupies();
            for held in worker.held.iter().filter(ours) {
                if quiet {
                    lost += 1;
                    over_s = over_s.max(self.session_end(worker) - now);
                } else if held.stop.is_some() {
                    stopping += 1;
                } else {
                    match held.phase {
                        Phase::On(TaskState::Fetching) => fetching += 1,
                        Phase::Planned | Phase::Recorded => starting += 1,
                        Phase::On(_) | Phase::Ended(_) => {}
                    }
                }
            }
        }
        let found = [
            (
                lost,
                Reason::OutOfReach {
                    tasks: lost,
                    over_s,
                },
            ),
            (fetching, Reason::Fetching { tasks: fetching }),
            (starting, Reason::Starting { tasks: starting }),
            (stopping, Reason::Stopping { tasks: stopping }),
        ];
        reasons.extend(found.into_iter().filter(|f| f.0 > 0).map(|f| f.1));
    }
}
