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

use crate::{cluster_state::Cluster, model::*, parts::Turn};
use std::collections::BTreeMap;
use tallygauge_protocol::{users::START_COUNTS_S, workers::TaskState};

/// Part of a class's jobs that are large, by one reading: it is to cover the top
/// tenth of what jobs turn out to be, and estimates are wrong by half.
const LARGE: f64 = 0.2;

/// Part of the bound after which a large job that has not begun comes first with
/// one task. The rest is for a room to fall free: tasks run for a minute or two,
/// and controllers may be down meanwhile.
const EARLY: f64 = 0.5;

/// Part of the bound after which all tasks of a large job that never ran come
/// before others.
const LATE: f64 = 0.7;

/// Part of the bound after which any other job that has not begun does.
const OTHERS: f64 = 0.85;

/// Part of the machines that may be set aside for jobs that are to begin.
const MOST_ASIDE: f64 = 0.25;

/// Part of the machines that jobs near their bound may use before others, beyond
/// one task each.
const MOST_PART: f64 = 0.1;

/// Part of the machines that jobs which are not large may take for their first
/// tasks, while the floor binds: a task of each of many would keep all from being
/// done.
const MOST_OTHERS: f64 = 0.05;

/// Jobs that machines are set aside for at a time, at most: looking for them
/// takes a while.
const MOST_CALLED: usize = 32;

/// A usable machine, and its attempts by the time until their end.
type Ends<'a> = (&'a Worker, Vec<(f64, &'a Held)>);

impl Cluster {
    /// Looks for jobs that are near their bound. To be called about four times a
    /// report interval.
    pub fn call_to_begin(&mut self, now: f64) {
        let bound = self.cfg.floor.begin_within_s;
        if bound <= 0.0 {
            return;
        }
        let limits = self.floor.book.limits(LARGE);
        let is_large = |j: &Job| limits.get(&j.places[0]).is_some_and(|l| l.reach(j.size()));
        let calm = self.floor.seats.is_empty();
        let near = |j: &&Job| {
            let age = now - j.accepted_at;
            let near = !j.fresh.is_empty() && age > bound * EARLY;
            near && (is_large(j) || (age > bound * OTHERS && j.finished.is_empty()))
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
            self.usable_cpus(now) * MOST_OTHERS
        };
        let mut jobs = BTreeMap::new();
        for (accepted_at, id) in due {
            let (begun, there) = self.begun(&id, now);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let large = is_large(job);
            let has_begun = !begun.is_empty();
            for index in begun {
                job.fresh.remove(index);
            }
            if job.fresh.is_empty() || (has_begun && !large) {
                continue;
            }
            if !large {
                others_left -= job.spec.cpus;
                if others_left < 0.0 {
                    continue;
                }
            }
            let order = u32::try_from(jobs.len()).unwrap_or(u32::MAX);
            let turn = Turn {
                order,
                wants: !there && job.finished.is_empty(),
                large,
                late: large && (bound * LATE..bound).contains(&(now - accepted_at)),
                held: job.holds.len(),
            };
            jobs.insert(id, turn);
        }
        self.begins.aside = self.aside_to_begin(&jobs, now);
        self.begins.jobs = jobs;
    }

    /// CPUs of the machines that may be used.
    fn usable_cpus(&self, now: f64) -> f64 {
        let usable = self.workers.values().filter(|w| w.usable(now, &self.cfg));
        let types = usable.filter_map(|w| self.types.get(&w.machine_type));
        types.map(|t| t.cpus).sum()
    }

    /// Whether a job is one of the large ones of its class.
    pub(crate) fn is_large(&self, job: &Job) -> bool {
        let book = &self.floor.book;
        book.is_large(job.places[0], job.size(), LARGE)
    }

    /// Tasks of a job that have run for long enough to count, and whether a task
    /// of it is on a machine that is heard of.
    fn begun(&self, id: &str, now: f64) -> (Vec<u32>, bool) {
        let (mut begun, mut there) = (Vec::new(), false);
        let Some(job) = self.jobs.get(id) else {
            return (begun, there);
        };
        for worker in job.on.keys().filter_map(|w| self.workers.get(w)) {
            let heard = now - worker.heard_at.max(self.term_at) < self.cfg.quiet_s();
            let ours = |h: &&Held| h.spec.id == id && h.occupies();
            for held in worker.held.iter().filter(ours) {
                there |= heard && held.stop.is_none();
                let runs = matches!(held.phase, Phase::On(TaskState::Running));
                if runs && held.ran_s(now) >= START_COUNTS_S {
                    begun.push(held.index);
                }
            }
        }
        (begun, there)
    }

    /// Machines for the tasks of jobs that are to begin and that are larger than
    /// others which wait: the ones where a room of their size falls free first.
    fn aside_to_begin(&self, jobs: &BTreeMap<String, Turn>, now: f64) -> BTreeMap<String, f64> {
        let mut aside = BTreeMap::new();
        let mut wanting: Vec<(&Turn, &Job)> = jobs
            .iter()
            .filter(|(_, turn)| turn.wants && turn.large)
            .filter_map(|(id, turn)| Some((turn, self.jobs.get(id)?)))
            .collect();
        if wanting.is_empty() {
            return aside;
        }
        wanting.sort_by_key(|w| w.0.order);
        let smallest = self.smallest_that_waits();
        wanting.retain(|w| w.1.spec.cpus > smallest + EPS);
        wanting.truncate(MOST_CALLED);
        if wanting.is_empty() {
            return aside;
        }
        let usable = self.workers.values().filter(|w| w.usable(now, &self.cfg));
        let machines: Vec<Ends> = usable.map(|w| (w, self.ends_on(w, now))).collect();
        let most = (machines.len() as f64 * MOST_ASIDE).ceil() as usize;
        // Rooms that jobs before have taken up already.
        let mut taken: BTreeMap<&str, Room> = BTreeMap::new();
        for (_, job) in wanting {
            if aside.len() >= most {
                break;
            }
            let was = |w: &Worker| self.begins.aside.contains_key(&w.name);
            let best = machines
                .iter()
                .filter(|(w, _)| job.allows(&w.machine_type, &w.zone, w.spot, &job.zones))
                .filter_map(|machine| {
                    let w = machine.0;
                    let used = taken.get(w.name.as_str()).copied().unwrap_or_default();
                    let after = self.room_after(machine, used, job)?;
                    Some((after, !was(w), w.name.as_str()))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, name)) = best else {
                continue;
            };
            taken.entry(name).or_default().add(&job.spec, 1.0);
            let least = aside.entry(name.to_string()).or_insert(f64::MAX);
            *least = least.min(job.spec.cpus);
        }
        aside
    }

    /// A machine's attempts by the time until their end.
    fn ends_on<'a>(&self, w: &'a Worker, now: f64) -> Vec<(f64, &'a Held)> {
        let held = w.held.iter().filter(|h| h.occupies());
        let mut ends: Vec<(f64, &Held)> =
            held.map(|h| (self.remaining_running(h, now), h)).collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.attempt.cmp(&b.1.attempt)));
        ends
    }

    /// Seconds until a machine, of whose room `used` is spoken for, has room for
    /// a task of the job; `None`: never. One that is set aside already is taken
    /// for a little better, lest what fell free there is given away.
    fn room_after(&self, (w, ends): &Ends, used: Room, job: &Job) -> Option<f64> {
        let left = |room: Room| Room {
            cpus: room.cpus - used.cpus,
            gpus: room.gpus - used.gpus,
            memory_gb: room.memory_gb - used.memory_gb,
        };
        let mut room = left(w.free);
        let kept = self.begins.aside.contains_key(&w.name);
        let lead = if kept { self.cfg.report_s } else { 0.0 };
        if room.holds(&job.spec) {
            return Some(-lead);
        }
        let whole = Room::of_type(self.types.get(&w.machine_type)?);
        if !left(whole).holds(&job.spec) {
            return None;
        }
        for (after, held) in ends {
            room.add(&held.spec, 1.0);
            if room.holds(&job.spec) {
                return Some(after - lead);
            }
        }
        None
    }

    /// Where a job comes among those that are to begin with one task, if it is.
    pub(crate) fn turn_to_begin(&self, id: &str) -> Option<u32> {
        let turn = self.begins.jobs.get(id).filter(|t| t.wants)?;
        // One that was placed since is enough.
        let more = self.jobs.get(id)?.holds.len() > turn.held;
        (!more).then_some(turn.order)
    }

    /// Whether an attempt is stopped for nobody, since its job is near its bound
    /// and the task has not begun.
    pub(crate) fn is_to_begin(&self, held: &Held) -> bool {
        let near = self.begins.jobs.contains_key(&held.spec.id);
        near && self
            .jobs
            .get(&held.spec.id)
            .is_some_and(|j| j.fresh.contains(held.index))
    }

    /// CPUs that more tasks of jobs near their bound may use, of so many.
    pub(crate) fn left_to_begin(&self, cpus: f64) -> f64 {
        let jobs = self.begins.jobs.keys().filter_map(|id| self.jobs.get(id));
        let used = jobs.map(|j| j.spec.cpus * j.holds.len() as f64);
        cpus * MOST_PART - used.sum::<f64>()
    }

    /// The open job that has waited longest of those that have not begun, and
    /// whether it is a large one of its class.
    #[must_use]
    pub fn longest_not_begun(&self) -> Option<(&Job, bool)> {
        let waiting = self.jobs.values().filter(|j| !j.started);
        let oldest = waiting.min_by(|a, b| a.accepted_at.total_cmp(&b.accepted_at))?;
        Some((oldest, self.is_large(oldest)))
    }

    /// Jobs that have not begun: how many come first to begin, and for how long
    /// the one that waits longest has waited.
    #[must_use]
    pub fn to_begin(&self, now: f64) -> (usize, f64) {
        let waits = |j: &&Job| !j.started;
        let ages = self.jobs.values().filter(waits);
        let oldest = ages.map(|j| now - j.accepted_at).fold(0.0, f64::max);
        (self.begins.jobs.len(), oldest)
    }
}
