//! The large jobs of each class begin within a bound after their acceptance.
//!
//! Of one of which nothing ran for half of that bound, one task comes before all
//! else: where its team is at its limit, what falls free of that is kept until it
//! is enough; where no room is as large as the task, the machine on which one will
//! fall free first is set aside. When little of the bound is left, all its tasks
//! that never ran come before others, on a part of the machines, until the bound
//! has passed: what can't be met any more gives way. Any other job of which nothing
//! ran comes first with one task when hardly anything of the bound is left, unless
//! the floor binds: a task of each of many would keep all from being done. Until
//! they have run for long enough to count, they are stopped for nobody.

pub(crate) mod state;

use crate::{cluster_state::ClusterState, model::*};
use state::StartClaim;
use std::collections::BTreeMap;
use tallygauge_protocol::{users::MIN_COUNTED_RUN_S, workers::TaskState};

/// Part of a class's jobs that are large, by one reading: it is to cover the top
/// tenth of what jobs turn out to be, and estimates are wrong by half.
const LARGE_JOB_FRACTION: f64 = 0.2;

/// Part of the bound after which a large job that has not begun comes first with
/// one task. The rest is for a room to fall free: tasks run for a minute or two,
/// and controllers may be down meanwhile.
const FIRST_TASK_AFTER: f64 = 0.5;

/// Part of the bound after which all tasks of a large job that never ran come
/// before others.
const ALL_TASKS_AFTER: f64 = 0.7;

/// Part of the bound after which any other job that has not begun does.
const SMALL_JOB_AFTER: f64 = 0.85;

/// Part of the machines that may be set aside for jobs that are to begin.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// Part of the machines that jobs near their bound may use before others, beyond
/// one task each.
const MAX_LARGE_JOB_SHARE: f64 = 0.1;

/// Part of the machines that jobs which are not large may take for their first
/// tasks, while the floor binds: a task of each of many would keep all from being
/// done.
const MAX_SMALL_JOB_SHARE: f64 = 0.05;

/// Jobs that machines are set aside for at a time, at most: looking for them
/// takes a while.
const MAX_RESERVING_JOBS: usize = 32;

/// A usable machine, and its attempts by the time until their end.
type MachineWithEnds<'a> = (&'a Worker, Vec<(f64, &'a Attempt)>);

impl ClusterState {
    /// Looks for jobs that are near their bound. To be called about four times a
    /// report interval.
    pub fn find_overdue_starts(&mut self, now: f64) {
        let bound = self.config.minimum_share.start_within_s;
        if bound <= 0.0 {
            return;
        }
        let limits = self
            .minimum_share
            .service_counts
            .size_thresholds(LARGE_JOB_FRACTION);
        let is_large = |j: &Job| {
            limits
                .get(&j.group_ids[0])
                .is_some_and(|l| l.is_at_least(j.size()))
        };
        let calm = self.minimum_share.claims.is_empty();
        let near = |j: &&Job| {
            let age = now - j.accepted_at;
            let near = !j.unstarted.is_empty() && age > bound * FIRST_TASK_AFTER;
            near && (is_large(j) || (age > bound * SMALL_JOB_AFTER && j.completed.is_empty()))
        };
        let mut due: Vec<(f64, String)> = self
            .jobs
            .values()
            .filter(near)
            .map(|j| (j.accepted_at, j.spec.id.clone()))
            .collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // While the floor binds, what others may take is bounded.
        let mut others_left = if calm {
            f64::INFINITY
        } else {
            self.usable_cpus(now) * MAX_SMALL_JOB_SHARE
        };
        let mut jobs = BTreeMap::new();
        for (accepted_at, id) in due {
            let (begun, there) = self.started_tasks(&id, now);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let large = is_large(job);
            let has_begun = !begun.is_empty();
            for index in begun {
                job.unstarted.remove(index);
            }
            if job.unstarted.is_empty() || (has_begun && !large) {
                continue;
            }
            if !large {
                others_left -= job.spec.cpus;
                if others_left < 0.0 {
                    continue;
                }
            }
            let order = u32::try_from(jobs.len()).unwrap_or(u32::MAX);
            let turn = StartClaim {
                order,
                needs_first_start: !there && job.completed.is_empty(),
                large,
                near_deadline: large
                    && (bound * ALL_TASKS_AFTER..bound).contains(&(now - accepted_at)),
                attempts_when_found: job.attempts_by_task.len(),
            };
            jobs.insert(id, turn);
        }
        self.start_deadlines.reserved = self.reserve_for_unstarted(&jobs, now);
        self.start_deadlines.claims = jobs;
    }

    /// CPUs of the machines that may be used.
    fn usable_cpus(&self, now: f64) -> f64 {
        let usable = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &self.config));
        let types = usable.filter_map(|w| self.machine_types.get(&w.machine_type));
        types.map(|t| t.cpus).sum()
    }

    /// Whether a job is one of the large ones of its class.
    pub(crate) fn is_large(&self, job: &Job) -> bool {
        let book = &self.minimum_share.service_counts;
        book.is_large(job.group_ids[0], job.size(), LARGE_JOB_FRACTION)
    }

    /// Tasks of a job that have run for long enough to count, and whether a task
    /// of it is on a machine that is heard of.
    fn started_tasks(&self, id: &str, now: f64) -> (Vec<u32>, bool) {
        let (mut begun, mut there) = (Vec::new(), false);
        let Some(job) = self.jobs.get(id) else {
            return (begun, there);
        };
        for worker in job
            .attempts_by_worker
            .keys()
            .filter_map(|w| self.workers.get(w))
        {
            let heard = now - worker.last_heartbeat_at.max(self.term_started_at)
                < self.config.heartbeat_timeout_s();
            let ours = |h: &&Attempt| h.spec.id == id && h.occupies_capacity();
            for held in worker.attempts.iter().filter(ours) {
                there |= heard && held.stop.is_none();
                let runs = matches!(held.phase, AttemptPhase::Observed(TaskState::Running));
                if runs && held.run_time_s(now) >= MIN_COUNTED_RUN_S {
                    begun.push(held.index);
                }
            }
        }
        (begun, there)
    }

    /// Machines for the tasks of jobs that are to begin and that are larger than
    /// others which wait: the ones where a room of their size falls free first.
    fn reserve_for_unstarted(
        &self,
        jobs: &BTreeMap<String, StartClaim>,
        now: f64,
    ) -> BTreeMap<String, f64> {
        let mut aside = BTreeMap::new();
        let mut wanting: Vec<(&StartClaim, &Job)> = jobs
            .iter()
            .filter(|(_, turn)| turn.needs_first_start && turn.large)
            .filter_map(|(id, turn)| Some((turn, self.jobs.get(id)?)))
            .collect();
        if wanting.is_empty() {
            return aside;
        }
        wanting.sort_by_key(|w| w.0.order);
        let smallest = self.smallest_pending_cpus();
        wanting.retain(|w| w.1.spec.cpus > smallest + EPSILON);
        wanting.truncate(MAX_RESERVING_JOBS);
        if wanting.is_empty() {
            return aside;
        }
        let usable = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &self.config));
        let machines: Vec<MachineWithEnds> =
            usable.map(|w| (w, self.attempts_by_end(w, now))).collect();
        let most = (machines.len() as f64 * MAX_RESERVED_SHARE).ceil() as usize;
        // Rooms that jobs before have taken up already.
        let mut taken: BTreeMap<&str, Resources> = BTreeMap::new();
        for (_, job) in wanting {
            if aside.len() >= most {
                break;
            }
            let was = |w: &Worker| self.start_deadlines.reserved.contains_key(&w.name);
            let best = machines
                .iter()
                .filter(|(w, _)| {
                    job.allows(&w.machine_type, &w.zone, w.spot, &job.attempts_by_zone)
                })
                .filter_map(|machine| {
                    let w = machine.0;
                    let used = taken.get(w.name.as_str()).copied().unwrap_or_default();
                    let after = self.time_until_fit(machine, used, job)?;
                    Some((after, !was(w), w.name.as_str()))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, name)) = best else {
                continue;
            };
            taken.entry(name).or_default().add_scaled(&job.spec, 1.0);
            let least = aside.entry(name.to_string()).or_insert(f64::MAX);
            *least = least.min(job.spec.cpus);
        }
        aside
    }

    /// A machine's attempts by the time until their end.
    fn attempts_by_end<'a>(&self, w: &'a Worker, now: f64) -> Vec<(f64, &'a Attempt)> {
        let held = w.attempts.iter().filter(|h| h.occupies_capacity());
        let mut ends: Vec<(f64, &Attempt)> = held
            .map(|h| (self.remaining_running_s(h, now), h))
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.number.cmp(&b.1.number)));
        ends
    }

    /// Seconds until a machine, of whose room `used` is spoken for, has room for
    /// a task of the job; `None`: never. One that is set aside already is taken
    /// for a little better, lest what fell free there is given away.
    fn time_until_fit(
        &self,
        (w, ends): &MachineWithEnds,
        used: Resources,
        job: &Job,
    ) -> Option<f64> {
        let left = |room: Resources| Resources {
            cpus: room.cpus - used.cpus,
            gpus: room.gpus - used.gpus,
            memory_gb: room.memory_gb - used.memory_gb,
        };
        let mut room = left(w.free_resources);
        let kept = self.start_deadlines.reserved.contains_key(&w.name);
        let lead = if kept {
            self.config.heartbeat_interval_s
        } else {
            0.0
        };
        if room.can_fit(&job.spec) {
            return Some(-lead);
        }
        let whole = Resources::of_type(self.machine_types.get(&w.machine_type)?);
        if !left(whole).can_fit(&job.spec) {
            return None;
        }
        for (after, held) in ends {
            room.add_scaled(&held.spec, 1.0);
            if room.can_fit(&job.spec) {
                return Some(after - lead);
            }
        }
        None
    }

    /// Where a job comes among those that are to begin with one task, if it is.
    pub(crate) fn start_claim_order(&self, id: &str) -> Option<u32> {
        let turn = self
            .start_deadlines
            .claims
            .get(id)
            .filter(|t| t.needs_first_start)?;
        // One that was placed since is enough.
        let more = self.jobs.get(id)?.attempts_by_task.len() > turn.attempts_when_found;
        (!more).then_some(turn.order)
    }

    /// Whether an attempt is stopped for nobody, since its job is near its bound
    /// and the task has not begun.
    pub(crate) fn is_protected_start(&self, held: &Attempt) -> bool {
        let near = self.start_deadlines.claims.contains_key(&held.spec.id);
        near && self
            .jobs
            .get(&held.spec.id)
            .is_some_and(|j| j.unstarted.contains(held.index))
    }

    /// CPUs that more tasks of jobs near their bound may use, of so many.
    pub(crate) fn cpus_left_for_unstarted(&self, cpus: f64) -> f64 {
        let jobs = self
            .start_deadlines
            .claims
            .keys()
            .filter_map(|id| self.jobs.get(id));
        let used = jobs.map(|j| j.spec.cpus * j.attempts_by_task.len() as f64);
        cpus * MAX_LARGE_JOB_SHARE - used.sum::<f64>()
    }

    /// The open job that has waited longest of those that have not begun, and
    /// whether it is a large one of its class.
    #[must_use]
    pub fn oldest_unstarted_job(&self) -> Option<(&Job, bool)> {
        let waiting = self.jobs.values().filter(|j| !j.started);
        let oldest = waiting.min_by(|a, b| a.accepted_at.total_cmp(&b.accepted_at))?;
        Some((oldest, self.is_large(oldest)))
    }

    /// Jobs that have not begun: how many come first to begin, and for how long
    /// the one that waits longest has waited.
    #[must_use]
    pub fn unstarted_summary(&self, now: f64) -> (usize, f64) {
        let waits = |j: &&Job| !j.started;
        let ages = self.jobs.values().filter(waits);
        let oldest = ages.map(|j| now - j.accepted_at).fold(0.0, f64::max);
        (self.start_deadlines.claims.len(), oldest)
    }
}
