//! The mapping against a slow plain model of the algorithm as the paper words it.

use super::*;

/// The algorithm as the paper words it: look at every waiting task on every
/// machine, map the best pair, and look at everything again.
pub(super) fn plain(c: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = Plain::new(c, now);
    model.by_upt();
    model.out
}

/// What the plain model keeps while it maps.
pub(super) struct Plain<'a> {
    pub(super) c: &'a ClusterState,
    pub(super) now: f64,
    pub(super) free: BTreeMap<String, Resources>,
    pub(super) images: HashMap<String, Worker>,
    /// CPUs by team.
    pub(super) used: Vec<f64>,
    pub(super) waiting: Vec<(String, u32)>,
    pub(super) largest: f64,
    pub(super) contended: f64,
    /// The job looked at is to begin.
    pub(super) begins: bool,
    pub(super) out: Vec<(String, u32, String)>,
}

impl<'a> Plain<'a> {
    pub(super) fn new(c: &'a ClusterState, now: f64) -> Self {
        let usable = c
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &c.config));
        let team = |t: &TeamConfig| {
            let held = c.workers.values().flat_map(|w| &w.attempts);
            held.filter(|h| h.occupies_capacity() && h.spec.team == t.name)
                .map(|h| h.spec.cpus)
                .sum()
        };
        let waiting = c.jobs.values().flat_map(|j| {
            let tasks = j.pending.iter().map(|i| (j.spec.id.clone(), i));
            tasks.collect::<Vec<_>>()
        });
        Self {
            c,
            now,
            free: usable.map(|w| (w.name.clone(), w.free_resources)).collect(),
            images: c.workers.clone().into_iter().collect(),
            used: c.config.teams.iter().map(team).collect(),
            waiting: waiting.collect(),
            largest: types().iter().map(|t| t.cpus).fold(0.0, f64::max),
            contended: c.contended_cpus(&c.pending_groups(now).groups),
            begins: false,
            out: Vec::new(),
        }
    }

    /// The best machine for a task of the job, and its UPT there.
    pub(super) fn spot(&self, id: &str) -> Option<(f64, String)> {
        let (c, job) = (self.c, &self.c.jobs[id]);
        if self.used[job.team] + job.spec.cpus > c.config.teams[job.team].max_cpus + 1e-9 {
            return None;
        }
        let group = TaskGroup {
            job,
            resumable: None,
        };
        let first = c.minimum_share.claims.contains_key(id);
        let mut spot: Option<(f64, f64, String)> = None;
        for (name, room) in &self.free {
            let w = &self.images[name];
            let aside = c.minimum_share.reserved.get(name);
            if room.cpus + 1e-9 < job.spec.cpus
                || room.memory_gb + 1e-9 < job.spec.memory_gb
                || !job.allows(&w.machine_type, &w.zone, w.spot, &job.attempts_by_zone)
                || aside.is_some_and(|a| !(first || self.begins) || job.spec.cpus < a.min_task_cpus)
                || c.start_deadlines
                    .reserved
                    .get(name)
                    .is_some_and(|least| !self.begins || job.spec.cpus < *least)
            {
                continue;
            }
            let time = c.completion_time_on(&group, w, &w.images, self.now);
            let of_type = &c.machine_types[&w.machine_type];
            let spared = if c.smallest_fitting_cpus(job) < self.contended {
                self.contended
            } else {
                f64::MAX
            };
            let score = time + c.packing_cost_s(w, of_type, room.cpus, self.largest, spared);
            if spot.as_ref().is_none_or(|s| score < s.0) {
                let upt = c.ordering_utility(job, self.now + time * 0.5) / time;
                spot = Some((score, upt, name.clone()));
            }
        }
        spot.map(|s| (s.1, s.2))
    }

    pub(super) fn start(&mut self, at: usize, name: String) {
        let (id, index) = self.waiting.remove(at);
        let job = &self.c.jobs[&id];
        self.used[job.team] += job.spec.cpus;
        let room = self.free.get_mut(&name).unwrap();
        room.cpus -= job.spec.cpus;
        room.memory_gb -= job.spec.memory_gb;
        let w = self.images.get_mut(&name).unwrap();
        let t = types();
        let t = t.iter().find(|t| t.name == w.machine_type).unwrap();
        w.images.request(&job.spec, t, self.now);
        self.out.push((id, index, name));
    }

    pub(super) fn by_upt(&mut self) {
        let within = self.c.jobs_within_guarantee();
        loop {
            let mut best: Option<(bool, f64, f64, usize, String)> = None;
            for (at, (id, _)) in self.waiting.iter().enumerate() {
                let Some((upt, name)) = self.spot(id) else {
                    continue;
                };
                let key = (
                    within.contains(id.as_str()),
                    upt,
                    -self.c.jobs[id].accepted_at,
                );
                let better = best.as_ref().is_none_or(|b| {
                    key.0
                        .cmp(&b.0)
                        .then(key.1.total_cmp(&b.1))
                        .then(key.2.total_cmp(&b.2))
                        .is_gt()
                });
                if better {
                    best = Some((key.0, key.1, key.2, at, name));
                }
            }
            let Some((_, _, _, at, name)) = best else {
                return;
            };
            self.start(at, name);
        }
    }
}

/// What is drawn of a job: tasks, half CPUs, priority, image, run time, whether
/// it is the blue team's, whether it may use spot machines, deadline.
pub(super) type Drawn = (u32, u32, u8, u8, f64, bool, bool, Option<f64>);

/// The job that was drawn, with so many times its tasks.
pub(super) fn spec_of(number: usize, job: Drawn, times: u32) -> JobSpec {
    let (tasks, cpus, priority, image, expected, blue, spot, deadline) = job;
    let mut s = spec(number, tasks * times, f64::from(cpus) * 0.5);
    s.priority = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ][usize::from(priority)];
    s.image = format!("i{image}");
    s.expected_s = expected;
    s.spot = spot;
    s.deadline_s = deadline;
    if blue {
        s.team = "blue".into();
    }
    s
}

pub(super) fn any_job() -> impl Strategy<Value = Drawn> {
    (
        1u32..7,
        1u32..9,
        0u8..4,
        0u8..3,
        5.0f64..90.0,
        any::<bool>(),
        any::<bool>(),
        prop::option::of(20.0f64..200.0),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_mapping_is_that_of_the_plain_model(jobs in prop::collection::vec(any_job(), 1..9), machines in 1usize..7) {
        let names = ["sa", "l1a", "l2b", "ssa", "s3b", "l4a"];
        let mut c = cluster(&names[..machines], 100.0);
        for (n, job) in jobs.into_iter().enumerate() {
            c.add_job(spec_of(n, job, 1), 1, 10.0 * n as f64, &RangeSet::default());
        }
        let expected = plain(&c, 100.0);
        c.run_round(100.0, false);
        let mut real: Vec<(u64, (String, u32, String))> = c.workers.values().flat_map(|w| w.attempts.iter().map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))).collect();
        real.sort();
        prop_assert_eq!(real.into_iter().map(|r| r.1).collect::<Vec<_>>(), expected);
    }

    #[test]
    fn ledgers_and_rooms_add_up_whatever_is_reported(steps in prop::collection::vec((0u8..6, 0usize..3), 1..60)) {
        let names = ["sa", "l1a", "l2b"];
        let mut c = cluster(&names, 100.0);
        for n in 0..4 { c.add_job(spec(n, 5, 1.5), 1, 0.0, &RangeSet::default()); }
        let (mut now, mut seq, mut session) = (100.0, 10, [1u64; 3]);
        for (what, at) in steps {
            now += 1.0;
            seq += 1;
            let name = names[at];
            let mut tasks: Vec<TaskStatus> = c.workers[name].attempts.iter().filter(|h| h.phase != AttemptPhase::Planned).map(|h| match h.phase {
                AttemptPhase::Ended(cause) => task(&h.task_name(), h.number, TaskState::Ended, Some(cause)),
                _ => task(&h.task_name(), h.number, TaskState::Running, None),
            }).collect();
            match what {
                0 => { round(&mut c, now); }
                1 => session[at] += 1,
                2 => if let Some(t) = tasks.first_mut() { (t.state, t.cause) = (TaskState::Ended, Some(EndCause::Done)); },
                3 => if let Some(t) = tasks.first_mut() { (t.state, t.cause) = (TaskState::Ended, Some(EndCause::Error)); },
                4 => { tasks.pop(); }
                _ => c.advance_time(now),
            }
            if what == 1 { tasks.clear(); }
            c.apply_heartbeat(now, &report(name, session[at], seq, TERM, tasks), HeartbeatSource::Periodic);
            for w in c.workers.values() {
                let full = if w.machine_type == "large" { 16.0 } else { 4.0 };
                let held: f64 = w.attempts.iter().filter(|h| h.occupies_capacity()).map(|h| h.spec.cpus).sum();
                prop_assert!((full - held - w.free_resources.cpus).abs() < 1e-6);
                prop_assert!(w.free_resources.cpus > -1e-6, "{} is overfull", w.name);
            }
            // A batch is kept while an attempt in it is held, and no longer.
            for (batch, count) in &c.live_attempts_by_batch {
                let held = c.workers.values().flat_map(|w| &w.attempts).filter(|h| h.occupies_capacity() && h.batch.as_ref() == Some(batch)).count();
                prop_assert_eq!(*count as usize, held);
                prop_assert!(!c.obsolete_batches.contains(batch));
            }
            let red: f64 = c.workers.values().flat_map(|w| &w.attempts).filter(|h| h.occupies_capacity()).map(|h| h.spec.cpus).sum();
            prop_assert!((c.quota_usage[0].cpus - red).abs() < 1e-6 && red <= 24.0 + 1e-6);
            for j in c.jobs.values() {
                // Every task is done, held, or waits; none is lost or twice.
                let waits = j.pending.len() + j.resumable.len() as u32;
                prop_assert_eq!(j.completed.len() + j.attempts_by_task.len() as u32 + waits, j.spec.tasks);
                // The index of where a job's attempts are is that of a search.
                for w in c.workers.values() {
                    let there = w.attempts.iter().filter(|h| h.spec.id == j.spec.id).count() as u32;
                    prop_assert_eq!(j.attempts_by_worker.get(&w.name).copied().unwrap_or(0), there);
                }
            }
        }
    }
}

/// Machines that are up, of both types and zones, spot and not.
pub(super) fn fleet(count: usize) -> Vec<String> {
    let kinds = ["s{}a", "s{}b", "l{}a", "l{}b", "ss{}a", "ls{}b"];
    (0..count)
        .map(|n| kinds[n % kinds.len()].replace("{}", &n.to_string()))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: proptest::test_runner::RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]
    // The kept order of spots is worth nothing if it drifts from the plain
    // order once many tasks and machines have gone by.
    #[test]
    fn on_a_larger_cluster_the_mapping_is_that_of_the_plain_model(jobs in prop::collection::vec(any_job(), 20..30)) {
        let names = fleet(40);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut c = cluster(&names, 100.0);
        for team in &mut c.config.teams { team.max_cpus = 120.0; }
        for (n, job) in jobs.into_iter().enumerate() {
            c.add_job(spec_of(n, job, 2), 1, 3.0 * n as f64, &RangeSet::default());
        }
        let expected = plain(&c, 100.0);
        prop_assert!(expected.len() > 50);
        c.run_round(100.0, false);
        let mut real: Vec<(u64, (String, u32, String))> = c.workers.values().flat_map(|w| w.attempts.iter().map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))).collect();
        real.sort();
        prop_assert_eq!(real.into_iter().map(|r| r.1).collect::<Vec<_>>(), expected);
    }
}
