//! Compares the mapping with a reference model: a slow, direct implementation of the
//! algorithm as published.

use super::*;

/// Greedy placement by utility per time: scores every pending task on every machine,
/// places the best pair, and repeats this until nothing can be placed. Returns job,
/// number of the task and machine of each placement, in order.
pub(super) fn reference_placements(cluster: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = ReferenceModel::new(cluster, now);
    model.place_by_upt();
    model.placements
}

/// State of the reference model.
pub(super) struct ReferenceModel<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) now: f64,
    /// Free resources of the usable workers, by machine.
    pub(super) free_resources: BTreeMap<String, Resources>,
    pub(super) workers: HashMap<String, Worker>,
    /// CPUs that attempts use, by team.
    pub(super) cpus_used: Vec<f64>,
    /// Job and number of each pending task.
    pub(super) pending: Vec<(String, u32)>,
    /// CPUs of the largest machine type.
    pub(super) max_machine_cpus: f64,
    /// Machines with at least this many CPUs are contended.
    pub(super) min_contended_cpus: f64,
    /// Whether the task to place next is the overdue first task of its job.
    pub(super) is_overdue_start: bool,
    /// Job, number of the task and machine of each placement, in order.
    pub(super) placements: Vec<(String, u32, String)>,
}

impl<'a> ReferenceModel<'a> {
    pub(super) fn new(cluster: &'a ClusterState, now: f64) -> Self {
        let usable = cluster
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &cluster.config));
        let cpus_used_by = |team: &TeamConfig| {
            let attempts = cluster.workers.values().flat_map(|w| &w.attempts);
            attempts
                .filter(|attempt| attempt.occupies_capacity() && attempt.spec.team == team.name)
                .map(|attempt| attempt.spec.cpus)
                .sum()
        };
        let pending = cluster.jobs.values().flat_map(|job| {
            let tasks = job.pending.iter().map(|index| (job.spec.id.clone(), index));
            tasks.collect::<Vec<_>>()
        });
        Self {
            cluster,
            now,
            free_resources: usable.map(|w| (w.name.clone(), w.free_resources)).collect(),
            workers: cluster.workers.clone().into_iter().collect(),
            cpus_used: cluster.config.teams.iter().map(cpus_used_by).collect(),
            pending: pending.collect(),
            max_machine_cpus: machine_types().iter().map(|t| t.cpus).fold(0.0, f64::max),
            min_contended_cpus: cluster.min_contended_cpus(&cluster.pending_groups(now).groups),
            is_overdue_start: false,
            placements: Vec::new(),
        }
    }

    /// Utility per time of a task of the job on its best machine, and the name of that
    /// machine; `None` if the task can't be placed.
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
        for (name, free) in &self.free_resources {
            let worker = &self.workers[name];
            let reservation = cluster.minimum_share.reserved.get(name);
            if free.cpus + 1e-9 < job.spec.cpus
                || free.memory_gb + 1e-9 < job.spec.memory_gb
                || !job.allows(
                    &worker.machine_type,
                    &worker.zone,
                    worker.spot,
                    &job.attempts_by_zone,
                )
                || reservation.is_some_and(|r| {
                    !(has_claim || self.is_overdue_start) || job.spec.cpus < r.min_task_cpus
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
            let time_s = cluster.time_to_completion_on_s(&group, worker, &worker.images, self.now);
            let machine_type = &cluster.machine_types[&worker.machine_type];
            let min_contended_cpus = if cluster.smallest_fitting_cpus(job) < self.min_contended_cpus
            {
                self.min_contended_cpus
            } else {
                f64::MAX
            };
            let cost_s = time_s
                + cluster.packing_cost_s(
                    worker,
                    machine_type,
                    free.cpus,
                    self.max_machine_cpus,
                    min_contended_cpus,
                );
            if best.as_ref().is_none_or(|b| cost_s < b.0) {
                let upt = cluster.ordering_utility(job, self.now + time_s * 0.5) / time_s;
                best = Some((cost_s, upt, name.clone()));
            }
        }
        best.map(|b| (b.1, b.2))
    }

    /// Places the pending task at index `pending_index` on a machine.
    pub(super) fn start(&mut self, pending_index: usize, name: String) {
        let (id, index) = self.pending.remove(pending_index);
        let job = &self.cluster.jobs[&id];
        self.cpus_used[job.team] += job.spec.cpus;
        let free = self.free_resources.get_mut(&name).unwrap();
        free.cpus -= job.spec.cpus;
        free.memory_gb -= job.spec.memory_gb;
        let worker = self.workers.get_mut(&name).unwrap();
        let machine_types = machine_types();
        let machine_type = machine_types
            .iter()
            .find(|t| t.name == worker.machine_type)
            .unwrap();
        worker.images.request_for(&job.spec, machine_type, self.now);
        self.placements.push((id, index, name));
    }

    /// Places pending tasks in the placement order, until none of them can be placed.
    pub(super) fn place_by_upt(&mut self) {
        let within_guarantee = self.cluster.jobs_within_guarantee();
        loop {
            let mut best: Option<(bool, f64, f64, usize, String)> = None;
            for (pending_index, (id, _)) in self.pending.iter().enumerate() {
                let Some((upt, name)) = self.best_machine(id) else {
                    continue;
                };
                let key = (
                    within_guarantee.contains(id.as_str()),
                    upt,
                    -self.cluster.jobs[id].accepted_at,
                );
                let is_better = best.as_ref().is_none_or(|b| {
                    key.0
                        .cmp(&b.0)
                        .then(key.1.total_cmp(&b.1))
                        .then(key.2.total_cmp(&b.2))
                        .is_gt()
                });
                if is_better {
                    best = Some((key.0, key.1, key.2, pending_index, name));
                }
            }
            let Some((_, _, _, pending_index, name)) = best else {
                return;
            };
            self.start(pending_index, name);
        }
    }
}

/// A generated job, in this order:
/// - number of tasks;
/// - CPUs of a task, in units of 0.5;
/// - index of the priority, lowest first;
/// - number of the image;
/// - expected run time of a task, in seconds;
/// - whether its team is `blue` instead of `red`;
/// - whether it may use spot instances;
/// - deadline, in seconds.
pub(super) type GeneratedJob = (u32, u32, u8, u8, f64, bool, bool, Option<f64>);

/// Specification of a generated job with `task_factor` times its number of tasks.
pub(super) fn generated_spec(number: usize, job: GeneratedJob, task_factor: u32) -> JobSpec {
    let (tasks, half_cpus, priority, image, expected_s, is_blue, spot, deadline_s) = job;
    let mut spec = spec(number, tasks * task_factor, f64::from(half_cpus) * 0.5);
    spec.priority = [
        Priority::Low,
        Priority::Normal,
        Priority::High,
        Priority::Production,
    ][usize::from(priority)];
    spec.image = format!("i{image}");
    spec.expected_s = expected_s;
    spec.spot = spot;
    spec.deadline_s = deadline_s;
    if is_blue {
        spec.team = "blue".into();
    }
    spec
}

/// Generates a [`GeneratedJob`].
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
    // A round must make the same placements in the same order as the reference model.
    #[test]
    fn mapping_equals_reference_model(jobs in prop::collection::vec(any_job(), 1..9), machines in 1usize..7) {
        let names = ["sa", "l1a", "l2b", "ssa", "s3b", "l4a"];
        let mut cluster = cluster(&names[..machines], 100.0);
        for (n, job) in jobs.into_iter().enumerate() {
            cluster.add_job(generated_spec(n, job, 1), 1, 10.0 * n as f64, &RangeSet::default());
        }
        let expected = reference_placements(&cluster, 100.0);
        cluster.run_round(100.0, false);
        let mut actual: Vec<(u64, (String, u32, String))> = cluster.workers.values().flat_map(|worker| worker.attempts.iter().map(|attempt| (attempt.number, (attempt.spec.id.clone(), attempt.index, worker.name.clone())))).collect();
        actual.sort();
        prop_assert_eq!(actual.into_iter().map(|numbered| numbered.1).collect::<Vec<_>>(), expected);
    }

    // Invariants of the cluster state's accounting, whatever the heartbeats report: completed,
    // failed and missing tasks, and restarted agents.
    #[test]
    fn usage_and_free_resources_add_up_after_any_heartbeats(steps in prop::collection::vec((0u8..6, 0usize..3), 1..60)) {
        let names = ["sa", "l1a", "l2b"];
        let mut cluster = cluster(&names, 100.0);
        for n in 0..4 { cluster.add_job(spec(n, 5, 1.5), 1, 0.0, &RangeSet::default()); }
        let (mut now, mut sequence, mut incarnations) = (100.0, 10, [1u64; 3]);
        for (event, machine_index) in steps {
            now += 1.0;
            sequence += 1;
            let name = names[machine_index];
            let mut tasks: Vec<TaskStatus> = cluster.workers[name].attempts.iter().filter(|attempt| attempt.phase != AttemptPhase::Planned).map(|attempt| match attempt.phase {
                AttemptPhase::Ended(cause) => task(&attempt.task_name(), attempt.number, TaskState::Ended, Some(cause)),
                _ => task(&attempt.task_name(), attempt.number, TaskState::Running, None),
            }).collect();
            match event {
                0 => { round(&mut cluster, now); }
                1 => incarnations[machine_index] += 1,
                2 => if let Some(status) = tasks.first_mut() { (status.state, status.cause) = (TaskState::Ended, Some(EndCause::Done)); },
                3 => if let Some(status) = tasks.first_mut() { (status.state, status.cause) = (TaskState::Ended, Some(EndCause::Error)); },
                4 => { tasks.pop(); }
                _ => cluster.advance_time(now),
            }
            if event == 1 { tasks.clear(); }
            cluster.apply_heartbeat(now, &heartbeat_from(name, incarnations[machine_index], sequence, TERM, tasks), HeartbeatSource::Periodic);
            for worker in cluster.workers.values() {
                let total_cpus = if worker.machine_type == "large" { 16.0 } else { 4.0 };
                let used_cpus: f64 = worker.attempts.iter().filter(|attempt| attempt.occupies_capacity()).map(|attempt| attempt.spec.cpus).sum();
                prop_assert!((total_cpus - used_cpus - worker.free_resources.cpus).abs() < 1e-6);
                prop_assert!(worker.free_resources.cpus > -1e-6, "{} is overcommitted", worker.name);
            }
            // A batch is live if and only if one of its attempts occupies capacity.
            for (batch, count) in &cluster.live_attempts_by_batch {
                let live = cluster.workers.values().flat_map(|w| &w.attempts).filter(|attempt| attempt.occupies_capacity() && attempt.batch.as_ref() == Some(batch)).count();
                prop_assert_eq!(*count as usize, live);
                prop_assert!(!cluster.obsolete_batches.contains(batch));
            }
            let red_cpus: f64 = cluster.workers.values().flat_map(|w| &w.attempts).filter(|attempt| attempt.occupies_capacity()).map(|attempt| attempt.spec.cpus).sum();
            prop_assert!((cluster.quota_usage[0].cpus - red_cpus).abs() < 1e-6 && red_cpus <= 24.0 + 1e-6);
            for job in cluster.jobs.values() {
                // Every task is in exactly one state: completed, on a machine, or pending.
                let pending_tasks = job.pending.len() + job.resumable.len() as u32;
                prop_assert_eq!(job.completed.len() + job.attempts_by_task.len() as u32 + pending_tasks, job.spec.tasks);
                // The job's number of attempts by worker equals a count on the workers.
                for worker in cluster.workers.values() {
                    let on_worker = worker.attempts.iter().filter(|attempt| attempt.spec.id == job.spec.id).count() as u32;
                    prop_assert_eq!(job.attempts_by_worker.get(&worker.name).copied().unwrap_or(0), on_worker);
                }
            }
        }
    }
}

/// Names of `count` machines: of both types, in both zones, spot and on-demand. See
/// [`report`] for what a name says of its machine.
pub(super) fn mixed_machine_names(count: usize) -> Vec<String> {
    let kinds = ["s{}a", "s{}b", "l{}a", "l{}b", "ss{}a", "ls{}b"];
    (0..count)
        .map(|n| kinds[n % kinds.len()].replace("{}", &n.to_string()))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: proptest::test_runner::RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]
    // The candidate heaps must still give the reference model's order after many placements.
    #[test]
    fn mapping_equals_reference_model_on_larger_cluster(jobs in prop::collection::vec(any_job(), 20..30)) {
        let names = mixed_machine_names(40);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cluster = cluster(&names, 100.0);
        for team in &mut cluster.config.teams { team.max_cpus = 120.0; }
        for (n, job) in jobs.into_iter().enumerate() {
            cluster.add_job(generated_spec(n, job, 2), 1, 3.0 * n as f64, &RangeSet::default());
        }
        let expected = reference_placements(&cluster, 100.0);
        prop_assert!(expected.len() > 50);
        cluster.run_round(100.0, false);
        let mut actual: Vec<(u64, (String, u32, String))> = cluster.workers.values().flat_map(|worker| worker.attempts.iter().map(|attempt| (attempt.number, (attempt.spec.id.clone(), attempt.index, worker.name.clone())))).collect();
        actual.sort();
        prop_assert_eq!(actual.into_iter().map(|numbered| numbered.1).collect::<Vec<_>>(), expected);
    }
}
