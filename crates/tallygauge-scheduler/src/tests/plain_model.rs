//! The mapping against a slow and simple model of the algorithm, as in its paper.

use super::*;

/// Greedy placement by utility per time: scores every pending task on every machine,
/// places the best pair, and starts over.
pub(super) fn plain(cluster: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = Plain::new(cluster, now);
    model.place_by_upt();
    model.out
}

/// State of the plain model.
pub(super) struct Plain<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) now: f64,
    pub(super) free: BTreeMap<String, Resources>,
    pub(super) workers: HashMap<String, Worker>,
    /// CPUs that attempts use, by team.
    pub(super) cpus_used: Vec<f64>,
    pub(super) waiting: Vec<(String, u32)>,
    pub(super) largest: f64,
    pub(super) contended: f64,
    /// The task that is placed is the overdue first one of its job.
    pub(super) is_overdue_start: bool,
    pub(super) out: Vec<(String, u32, String)>,
}

impl<'a> Plain<'a> {
    pub(super) fn new(cluster: &'a ClusterState, now: f64) -> Self {
        let usable = cluster
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &cluster.config));
        let team = |t: &TeamConfig| {
            let attempts = cluster.workers.values().flat_map(|w| &w.attempts);
            attempts
                .filter(|h| h.occupies_capacity() && h.spec.team == t.name)
                .map(|h| h.spec.cpus)
                .sum()
        };
        let waiting = cluster.jobs.values().flat_map(|j| {
            let tasks = j.pending.iter().map(|i| (j.spec.id.clone(), i));
            tasks.collect::<Vec<_>>()
        });
        Self {
            cluster,
            now,
            free: usable.map(|w| (w.name.clone(), w.free_resources)).collect(),
            workers: cluster.workers.clone().into_iter().collect(),
            cpus_used: cluster.config.teams.iter().map(team).collect(),
            waiting: waiting.collect(),
            largest: machine_types().iter().map(|t| t.cpus).fold(0.0, f64::max),
            contended: cluster.contended_cpus(&cluster.pending_groups(now).groups),
            is_overdue_start: false,
            out: Vec::new(),
        }
    }

    /// The best machine for a task of the job, and its UPT there.
    pub(super) fn best_machine(&self, id: &str) -> Option<(f64, String)> {
        let (cluster, job) = (self.cluster, &self.cluster.jobs[id]);
        if self.cpus_used[job.team] + job.spec.cpus > cluster.config.teams[job.team].max_cpus + 1e-9
        {
            return None;
        }
        let group = TaskGroup {
            job,
            resumable: None,
        };
        let has_claim = cluster.minimum_share.claims.contains_key(id);
        let mut best: Option<(f64, f64, String)> = None;
        for (name, free) in &self.free {
            let w = &self.workers[name];
            let reserved = cluster.minimum_share.reserved.get(name);
            if free.cpus + 1e-9 < job.spec.cpus
                || free.memory_gb + 1e-9 < job.spec.memory_gb
                || !job.allows(&w.machine_type, &w.zone, w.spot, &job.attempts_by_zone)
                || reserved.is_some_and(|a| {
                    !(has_claim || self.is_overdue_start) || job.spec.cpus < a.min_task_cpus
                })
                || cluster
                    .start_deadlines
                    .reserved
                    .get(name)
                    .is_some_and(|min_task_cpus| {
                        !self.is_overdue_start || job.spec.cpus < *min_task_cpus
                    })
            {
                continue;
            }
            let time = cluster.completion_time_on(&group, w, &w.images, self.now);
            let of_type = &cluster.machine_types[&w.machine_type];
            let contended_cpus = if cluster.smallest_fitting_cpus(job) < self.contended {
                self.contended
            } else {
                f64::MAX
            };
            let score =
                time + cluster.packing_cost_s(w, of_type, free.cpus, self.largest, contended_cpus);
            if best.as_ref().is_none_or(|b| score < b.0) {
                let upt = cluster.ordering_utility(job, self.now + time * 0.5) / time;
                best = Some((score, upt, name.clone()));
            }
        }
        best.map(|b| (b.1, b.2))
    }

    pub(super) fn start(&mut self, at: usize, name: String) {
        let (id, index) = self.waiting.remove(at);
        let job = &self.cluster.jobs[&id];
        self.cpus_used[job.team] += job.spec.cpus;
        let free = self.free.get_mut(&name).unwrap();
        free.cpus -= job.spec.cpus;
        free.memory_gb -= job.spec.memory_gb;
        let w = self.workers.get_mut(&name).unwrap();
        let t = machine_types();
        let t = t.iter().find(|t| t.name == w.machine_type).unwrap();
        w.images.request_for(&job.spec, t, self.now);
        self.out.push((id, index, name));
    }

    pub(super) fn place_by_upt(&mut self) {
        let within = self.cluster.jobs_within_guarantee();
        loop {
            let mut best: Option<(bool, f64, f64, usize, String)> = None;
            for (at, (id, _)) in self.waiting.iter().enumerate() {
                let Some((upt, name)) = self.best_machine(id) else {
                    continue;
                };
                let key = (
                    within.contains(id.as_str()),
                    upt,
                    -self.cluster.jobs[id].accepted_at,
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

/// A generated job: tasks, half CPUs, priority, image, run time, whether it is of team
/// blue, whether it may use spot machines, deadline.
pub(super) type GeneratedJob = (u32, u32, u8, u8, f64, bool, bool, Option<f64>);

/// Specification of a generated job, with a multiple of its tasks.
pub(super) fn spec_of(number: usize, job: GeneratedJob, times: u32) -> JobSpec {
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

pub(super) fn any_job() -> impl Strategy<Value = GeneratedJob> {
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
    fn mapping_equals_plain_model(jobs in prop::collection::vec(any_job(), 1..9), machines in 1usize..7) {
        let names = ["sa", "l1a", "l2b", "ssa", "s3b", "l4a"];
        let mut cluster = cluster(&names[..machines], 100.0);
        for (n, job) in jobs.into_iter().enumerate() {
            cluster.add_job(spec_of(n, job, 1), 1, 10.0 * n as f64, &RangeSet::default());
        }
        let expected = plain(&cluster, 100.0);
        cluster.run_round(100.0, false);
        let mut real: Vec<(u64, (String, u32, String))> = cluster.workers.values().flat_map(|w| w.attempts.iter().map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))).collect();
        real.sort();
        prop_assert_eq!(real.into_iter().map(|r| r.1).collect::<Vec<_>>(), expected);
    }

    #[test]
    fn usage_and_free_resources_add_up_after_any_heartbeats(steps in prop::collection::vec((0u8..6, 0usize..3), 1..60)) {
        let names = ["sa", "l1a", "l2b"];
        let mut cluster = cluster(&names, 100.0);
        for n in 0..4 { cluster.add_job(spec(n, 5, 1.5), 1, 0.0, &RangeSet::default()); }
        let (mut now, mut sequence, mut incarnations) = (100.0, 10, [1u64; 3]);
        for (what, at) in steps {
            now += 1.0;
            sequence += 1;
            let name = names[at];
            let mut tasks: Vec<TaskStatus> = cluster.workers[name].attempts.iter().filter(|h| h.phase != AttemptPhase::Planned).map(|h| match h.phase {
                AttemptPhase::Ended(cause) => task(&h.task_name(), h.number, TaskState::Ended, Some(cause)),
                _ => task(&h.task_name(), h.number, TaskState::Running, None),
            }).collect();
            match what {
                0 => { round(&mut cluster, now); }
                1 => incarnations[at] += 1,
                2 => if let Some(t) = tasks.first_mut() { (t.state, t.cause) = (TaskState::Ended, Some(EndCause::Done)); },
                3 => if let Some(t) = tasks.first_mut() { (t.state, t.cause) = (TaskState::Ended, Some(EndCause::Error)); },
                4 => { tasks.pop(); }
                _ => cluster.advance_time(now),
            }
            if what == 1 { tasks.clear(); }
            cluster.apply_heartbeat(now, &heartbeat_from(name, incarnations[at], sequence, TERM, tasks), HeartbeatSource::Periodic);
            for w in cluster.workers.values() {
                let full = if w.machine_type == "large" { 16.0 } else { 4.0 };
                let used_cpus: f64 = w.attempts.iter().filter(|h| h.occupies_capacity()).map(|h| h.spec.cpus).sum();
                prop_assert!((full - used_cpus - w.free_resources.cpus).abs() < 1e-6);
                prop_assert!(w.free_resources.cpus > -1e-6, "{} is overcommitted", w.name);
            }
            // A batch is live exactly while an attempt of it occupies capacity.
            for (batch, count) in &cluster.live_attempts_by_batch {
                let live = cluster.workers.values().flat_map(|w| &w.attempts).filter(|h| h.occupies_capacity() && h.batch.as_ref() == Some(batch)).count();
                prop_assert_eq!(*count as usize, live);
                prop_assert!(!cluster.obsolete_batches.contains(batch));
            }
            let red_cpus: f64 = cluster.workers.values().flat_map(|w| &w.attempts).filter(|h| h.occupies_capacity()).map(|h| h.spec.cpus).sum();
            prop_assert!((cluster.quota_usage[0].cpus - red_cpus).abs() < 1e-6 && red_cpus <= 24.0 + 1e-6);
            for j in cluster.jobs.values() {
                // Every task is done, on a machine, or pending; none is lost or duplicated.
                let waits = j.pending.len() + j.resumable.len() as u32;
                prop_assert_eq!(j.completed.len() + j.attempts_by_task.len() as u32 + waits, j.spec.tasks);
                // The index of a job's attempts by worker equals a search.
                for w in cluster.workers.values() {
                    let there = w.attempts.iter().filter(|h| h.spec.id == j.spec.id).count() as u32;
                    prop_assert_eq!(j.attempts_by_worker.get(&w.name).copied().unwrap_or(0), there);
                }
            }
        }
    }
}

/// Names of machines of both types and zones, spot and on-demand.
pub(super) fn fleet(count: usize) -> Vec<String> {
    let kinds = ["s{}a", "s{}b", "l{}a", "l{}b", "ss{}a", "ls{}b"];
    (0..count)
        .map(|n| kinds[n % kinds.len()].replace("{}", &n.to_string()))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: proptest::test_runner::RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]
    // The candidate heaps must not drift from the plain order after many placements.
    #[test]
    fn mapping_equals_plain_model_on_larger_cluster(jobs in prop::collection::vec(any_job(), 20..30)) {
        let names = fleet(40);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cluster = cluster(&names, 100.0);
        for team in &mut cluster.config.teams { team.max_cpus = 120.0; }
        for (n, job) in jobs.into_iter().enumerate() {
            cluster.add_job(spec_of(n, job, 2), 1, 3.0 * n as f64, &RangeSet::default());
        }
        let expected = plain(&cluster, 100.0);
        prop_assert!(expected.len() > 50);
        cluster.run_round(100.0, false);
        let mut real: Vec<(u64, (String, u32, String))> = cluster.workers.values().flat_map(|w| w.attempts.iter().map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))).collect();
        real.sort();
        prop_assert_eq!(real.into_iter().map(|r| r.1).collect::<Vec<_>>(), expected);
    }
}
