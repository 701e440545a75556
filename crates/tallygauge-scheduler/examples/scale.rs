//! Measures how long scheduling rounds, heartbeats and the recovery by a new leader take
//! for several numbers of machines, with a workload that grows with that number.
//!
//! `cargo run --release -p tallygauge-scheduler --example scale -- --machines 500,1000`

use clap::Parser;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};
use tallygauge_protocol::{
    cloud::MachineType,
    users::{JobSpec, Priority, Shape},
    workers::{Command, EndCause, Heartbeat, TaskState, TaskStatus},
};
use tallygauge_scheduler::{
    ClusterState, Config, HeartbeatSource, MinimumShareConfig, PlacementBatch, RangeSet,
    ReplicaSpread, TeamConfig,
};

fn config() -> Config {
    let team = |index| TeamConfig {
        name: format!("team-{index}"),
        guaranteed_cpus: 2000.0,
        max_cpus: 8000.0,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    Config {
        teams: (0..16).map(team).collect(),
        heartbeat_interval_s: 4.0,
        lease_s: 26.0,
        cancel_timeout_s: 50.0,
        fencing_timeout_s: 20.0,
        list_lag_s: 5.0,
        clock_drift: 0.0005,
        min_remaining_s: 5.0,
        utility_by_priority: [1.0, 2.0, 8.0, 16.0],
        late_utility_factor: 0.1,
        idle_timeout_boot_times: 1.5,
        rental_horizon_boot_times: 1.0,
        class_deadline_s: HashMap::new(),
        objectives: HashMap::new(),
        minimum_share: MinimumShareConfig {
            share: 0.65,
            start_within_s: 240.0,
        },
        replica_spread: ReplicaSpread { risk_s: 30.0 },
        max_attempts_per_worker: 400,
        max_direct_messages: 150,
        term: 1,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "node".into(),
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 128.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 0.2,
        price: 2.0,
        spot_price: 0.8,
        boot_s: 35.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn job_spec(number: usize, tasks: u32) -> JobSpec {
    let is_long = number.is_multiple_of(4);
    JobSpec {
        id: format!("req-{number:06}"),
        class: if is_long { "long" } else { "short" }.into(),
        team: format!("team-{}", number % 16),
        shape: Shape::Array,
        priority: if is_long {
            Priority::Normal
        } else {
            Priority::High
        },
        tasks,
        cpus: if is_long {
            16.0
        } else {
            2.0 + (number % 3) as f64
        },
        gpus: 0.0,
        memory_gb: 6.0,
        image: format!("img-{}", number % 40),
        image_gb: 1.0 + (number % 3) as f64,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expected_s: 20.0 + (number % 5) as f64 * 8.0,
        checkpoint_every_s: if is_long { 30.0 } else { 0.0 },
        checkpoint_s: if is_long { 2.0 } else { 0.0 },
        deadline_s: (!is_long).then_some(80.0),
    }
}

/// Simulated workers, which report their tasks and execute commands.
#[derive(Default)]
struct Workers {
    /// Sequence number of the last heartbeat of any worker.
    sequence: u64,
    /// Tasks by name of the worker, each with the time at which it is done.
    tasks: BTreeMap<String, Vec<(TaskStatus, f64)>>,
}

impl Workers {
    /// Sends a worker's heartbeat and executes the commands of the response. Returns how
    /// many seconds the cluster state took to process the heartbeat.
    fn send_heartbeat(&mut self, cluster: &mut ClusterState, name: &str, now: f64) -> f64 {
        self.sequence += 1;
        let tasks = self.tasks.entry(name.into()).or_default();
        for (task, done_at) in tasks.iter_mut() {
            if *done_at <= now && task.state != TaskState::Ended {
                (task.state, task.cause) = (TaskState::Ended, Some(EndCause::Done));
            }
        }
        let heartbeat = Heartbeat {
            machine: name.into(),
            endpoint: "10.1.0.2:9000".into(),
            machine_type: "node".into(),
            zone: if name.ends_with('1') { "a" } else { "b" }.into(),
            spot: false,
            incarnation: 1,
            sequence: self.sequence,
            token: 1,
            spot_reclaim_in_s: None,
            tasks: tasks.iter().map(|t| t.0.clone()).collect(),
        };
        let started_at = Instant::now();
        cluster.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        let commands = cluster.commands(name, now);
        cluster.record_heartbeat_response(name, &commands, now);
        let elapsed_s = started_at.elapsed().as_secs_f64();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let done_at = now + 20.0 + (attempt % 40) as f64;
                    let task = TaskStatus {
                        task,
                        attempt,
                        state: TaskState::Running,
                        cause: None,
                        checkpointed: None,
                    };
                    tasks.push((task, done_at));
                }
                Command::Stop { attempt, .. } => {
                    for (task, _) in tasks.iter_mut().filter(|t| t.0.attempt == attempt) {
                        task.state = TaskState::Ended;
                        (task.cause, task.checkpointed) = (Some(EndCause::Halted), Some(true));
                    }
                }
                Command::Clear { attempt, .. } => tasks.retain(|t| t.0.attempt != attempt),
            }
        }
        elapsed_s
    }
}

fn empty_cluster() -> ClusterState {
    let mut cluster = ClusterState::new(config(), 0.0, 200, 7000);
    cluster.set_machine_types(&[machine_type()]);
    cluster
}

/// Number of steps of a simulation, each of 0.1 s.
const STEPS: u32 = 1200;

/// Simulated time after the last step.
const END_S: f64 = 120.0;

/// A simulated cluster, and the measurements made so far.
struct Simulation {
    /// Names of the machines.
    machines: Vec<String>,
    cluster: ClusterState,
    workers: Workers,
    /// Committed placement batches that are not obsolete, by name.
    live_batches: BTreeMap<String, PlacementBatch>,
    submitted_jobs: usize,
    placed_tasks: usize,
    /// Largest number of pending tasks after a step, without those that have state of
    /// their own (a checkpoint, a backoff).
    max_pending: u32,
    /// Duration of each scheduling round, including the calls that advance time and take
    /// the placement batches.
    round_times_s: Vec<f64>,
    /// Time to apply each heartbeat to the cluster state.
    heartbeat_times_s: Vec<f64>,
    committed_batches: usize,
    /// Sum of the JSON sizes of the committed placement batches.
    batch_bytes: usize,
}

impl Simulation {
    fn new(machine_count: usize) -> Self {
        Self {
            machines: (0..machine_count).map(|n| format!("host-{n:06}")).collect(),
            cluster: empty_cluster(),
            workers: Workers::default(),
            live_batches: BTreeMap::new(),
            submitted_jobs: 0,
            placed_tasks: 0,
            max_pending: 0,
            round_times_s: Vec::new(),
            heartbeat_times_s: Vec::new(),
            committed_batches: 0,
            batch_bytes: 0,
        }
    }

    /// Simulates one step. Each worker sends a heartbeat every 40 steps, which are 4 s.
    fn step(&mut self, step: u32) {
        let now = f64::from(step) * 0.1;
        self.add_jobs(step, now);
        let due_workers = self.machines.iter().skip(step as usize % 40).step_by(40);
        for name in due_workers {
            let elapsed_s = self.workers.send_heartbeat(&mut self.cluster, name, now);
            self.heartbeat_times_s.push(elapsed_s);
        }
        self.run_round(step, now);
        for completion in self.cluster.job_completions(1000, &BTreeSet::new()) {
            self.cluster.remove_job(&completion.job, now);
        }
        let flush = self.cluster.next_progress_flush(24, 49_152);
        if let Some(flush) = flush.filter(|_| step.is_multiple_of(16)) {
            self.cluster.record_flushed(&flush, 1);
        }
        self.cluster.take_direct_messages(now, 1.0).clear();
        let pending_tasks: u32 = self.cluster.jobs.values().map(|j| j.pending.len()).sum();
        self.max_pending = self.max_pending.max(pending_tasks);
    }

    /// Submits the jobs of a step: half of all jobs at the start, the rest at regular
    /// intervals. Together they need nine tenths of the CPUs.
    fn add_jobs(&mut self, step: u32, now: f64) {
        let machine_count = self.machines.len();
        let at_start = if step == 0 { machine_count / 6 } else { 0 };
        let interval_steps = (9000 / machine_count.max(1) as u32).max(1);
        for _ in 0..at_start + usize::from(step.is_multiple_of(interval_steps)) {
            let spec = job_spec(self.submitted_jobs, 90);
            self.cluster.add_job(spec, 1, now, &RangeSet::default());
            self.submitted_jobs += 1;
        }
    }

    fn run_round(&mut self, step: u32, now: f64) {
        let started_at = Instant::now();
        if step.is_multiple_of(3) {
            self.cluster.advance_time(now);
        }
        self.placed_tasks += self.cluster.run_round(now, true).placed;
        let batches = self.cluster.take_placement_batches(7000, 90, now);
        self.round_times_s.push(started_at.elapsed().as_secs_f64());
        for batch in batches {
            self.committed_batches += 1;
            self.batch_bytes += serde_json::to_string(&batch.record).map_or(0, |t| t.len());
            self.cluster.record_batch_committed(&batch, now);
            self.live_batches.insert(batch.name.to_string(), batch);
        }
        for obsolete in std::mem::take(&mut self.cluster.obsolete_batches) {
            self.live_batches.remove(&*obsolete);
        }
    }

    /// Returns how many seconds a new leader takes to restore the cluster state.
    fn measure_recovery(&self) -> f64 {
        let started_at = Instant::now();
        let mut next_leader = empty_cluster();
        for job in self.cluster.jobs.values() {
            next_leader.add_job((*job.spec).clone(), 1, 0.0, &job.completed);
        }
        for batch in self.live_batches.values() {
            next_leader.restore_placements(&batch.name, &batch.record, END_S, END_S);
        }
        started_at.elapsed().as_secs_f64()
    }
}

fn measure(machine_count: usize) {
    let mut simulation = Simulation::new(machine_count);
    for step in 0..STEPS {
        simulation.step(step);
    }
    let recovery_s = simulation.measure_recovery();
    let started_at = Instant::now();
    let rented_kinds = simulation.cluster.rentals(END_S).len();
    simulation.cluster.mark_surplus_machines(END_S);
    let scaling_s = started_at.elapsed().as_secs_f64();
    let mean_us = |times_s: &[f64]| times_s.iter().sum::<f64>() / times_s.len() as f64 * 1e6;
    let max_us = |times_s: &[f64]| times_s.iter().copied().fold(0.0, f64::max) * 1e6;
    println!(
        "{machine_count:5} machines: {:4} jobs, {:6} placed, {:6} waiting at most | round {:6.0} us, at most {:6.0} | report {:5.1} us | {:4} batches of {:5} bytes, {:3} live | take-over {:6.0} us | demand {:6.0} us ({rented_kinds} kinds)",
        simulation.submitted_jobs,
        simulation.placed_tasks,
        simulation.max_pending,
        mean_us(&simulation.round_times_s),
        max_us(&simulation.round_times_s),
        mean_us(&simulation.heartbeat_times_s),
        simulation.committed_batches,
        simulation.batch_bytes / simulation.committed_batches.max(1),
        simulation.live_batches.len(),
        recovery_s * 1e6,
        scaling_s * 1e6,
    );
}

/// Measures the cluster state alone.
#[derive(Parser)]
struct Options {
    /// Numbers of machines to measure, separated by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 100, 300, 1000, 2000])]
    machines: Vec<usize>,
}

fn main() {
    for machine_count in Options::parse().machines {
        measure(machine_count);
    }
}
