//! What rounds, heartbeats and a recovery cost by number of machines and tasks.
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
    let team = |n| TeamConfig {
        name: format!("team-{n}"),
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
        max_tasks_per_worker: 400,
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

fn job(n: usize, tasks: u32) -> JobSpec {
    let low = n.is_multiple_of(4);
    JobSpec {
        id: format!("req-{n:06}"),
        class: if low { "long" } else { "short" }.into(),
        team: format!("team-{}", n % 16),
        shape: Shape::Array,
        priority: if low {
            Priority::Normal
        } else {
            Priority::High
        },
        tasks,
        cpus: if low { 16.0 } else { 2.0 + (n % 3) as f64 },
        gpus: 0.0,
        memory_gb: 6.0,
        image: format!("img-{}", n % 40),
        image_gb: 1.0 + (n % 3) as f64,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expected_s: 20.0 + (n % 5) as f64 * 8.0,
        checkpoint_every_s: if low { 30.0 } else { 0.0 },
        checkpoint_s: if low { 2.0 } else { 0.0 },
        deadline_s: (!low).then_some(80.0),
    }
}

/// Simulated workers.
#[derive(Default)]
struct Workers {
    sequence: u64,
    /// Tasks by worker, and when each ends.
    tasks: BTreeMap<String, Vec<(TaskStatus, f64)>>,
}

impl Workers {
    /// Sends a worker's heartbeat and executes the response. Returns the seconds that the
    /// cluster state took for it.
    fn send_heartbeat(&mut self, cluster: &mut ClusterState, name: &str, now: f64) -> f64 {
        self.sequence += 1;
        let tasks = self.tasks.entry(name.into()).or_default();
        for (task, until) in tasks.iter_mut() {
            if *until <= now && task.state != TaskState::Ended {
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
            spot_notice_s: None,
            tasks: tasks.iter().map(|t| t.0.clone()).collect(),
        };
        let started_at = Instant::now();
        cluster.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        let commands = cluster.commands(name, now);
        cluster.record_heartbeat_response(name, &commands, now);
        let took = started_at.elapsed().as_secs_f64();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let until = now + 20.0 + (attempt % 40) as f64;
                    let task = TaskStatus {
                        task,
                        attempt,
                        state: TaskState::Running,
                        cause: None,
                        checkpointed: None,
                    };
                    tasks.push((task, until));
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
        took
    }
}

fn empty_cluster() -> ClusterState {
    let mut cluster = ClusterState::new(config(), 0.0, 200, 7000);
    cluster.set_machine_types(&[machine_type()]);
    cluster
}

/// Steps of a run, of a tenth of a second each.
const STEPS: u32 = 1200;

/// Time at the end of a run.
const END_S: f64 = 120.0;

/// A run with so many machines, and what was measured.
struct Run {
    machines: Vec<String>,
    cluster: ClusterState,
    workers: Workers,
    live_batches: BTreeMap<String, PlacementBatch>,
    jobs: usize,
    placed: usize,
    max_pending: u32,
    /// Seconds that each round took.
    rounds: Vec<f64>,
    /// Seconds that each heartbeat took.
    heartbeats: Vec<f64>,
    batches: usize,
    batch_bytes: usize,
}

impl Run {
    fn new(machines: usize) -> Self {
        Self {
            machines: (0..machines).map(|n| format!("host-{n:06}")).collect(),
            cluster: empty_cluster(),
            workers: Workers::default(),
            live_batches: BTreeMap::new(),
            jobs: 0,
            placed: 0,
            max_pending: 0,
            rounds: Vec::new(),
            heartbeats: Vec::new(),
            batches: 0,
            batch_bytes: 0,
        }
    }

    /// Every worker sends a heartbeat each four seconds.
    fn step(&mut self, step: u32) {
        let now = f64::from(step) * 0.1;
        self.add_jobs(step, now);
        let due = self.machines.iter().skip(step as usize % 40).step_by(40);
        for name in due {
            let took = self.workers.send_heartbeat(&mut self.cluster, name, now);
            self.heartbeats.push(took);
        }
        self.run_round(step, now);
        for done in self.cluster.job_completions(1000, &BTreeSet::new()) {
            self.cluster.remove_job(&done.job, now);
        }
        let flush = self.cluster.next_progress_flush(24, 49_152);
        if let Some(flush) = flush.filter(|_| step.is_multiple_of(16)) {
            self.cluster.record_flushed(&flush, 1);
        }
        self.cluster.take_direct_messages(now, 1.0).clear();
        let pending: u32 = self.cluster.jobs.values().map(|j| j.pending.len()).sum();
        self.max_pending = self.max_pending.max(pending);
    }

    /// Jobs arrive for nine tenths of the CPUs, half of them at the start.
    fn add_jobs(&mut self, step: u32, now: f64) {
        let machines = self.machines.len();
        let at_start = if step == 0 { machines / 6 } else { 0 };
        let interval = (9000 / machines.max(1) as u32).max(1);
        for _ in 0..at_start + usize::from(step.is_multiple_of(interval)) {
            let job = job(self.jobs, 90);
            self.cluster.add_job(job, 1, now, &RangeSet::default());
            self.jobs += 1;
        }
    }

    fn run_round(&mut self, step: u32, now: f64) {
        let started_at = Instant::now();
        if step.is_multiple_of(3) {
            self.cluster.advance_time(now);
        }
        self.placed += self.cluster.run_round(now, true).placed;
        let batches = self.cluster.take_placement_batches(7000, 90, now);
        self.rounds.push(started_at.elapsed().as_secs_f64());
        for batch in batches {
            self.batches += 1;
            self.batch_bytes += serde_json::to_string(&batch.record).map_or(0, |t| t.len());
            self.cluster.record_batch_committed(&batch, now);
            self.live_batches.insert(batch.name.to_string(), batch);
        }
        for obsolete in std::mem::take(&mut self.cluster.obsolete_batches) {
            self.live_batches.remove(&*obsolete);
        }
    }

    /// Seconds that a new leader takes to restore the cluster state.
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

fn measure(machines: usize) {
    let mut run = Run::new(machines);
    for step in 0..STEPS {
        run.step(step);
    }
    let recovery_s = run.measure_recovery();
    let started_at = Instant::now();
    let rented_kinds = run.cluster.rentals(END_S).len();
    run.cluster.mark_surplus_machines(END_S);
    let demand_s = started_at.elapsed().as_secs_f64();
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64 * 1e6;
    let max = |all: &[f64]| all.iter().copied().fold(0.0, f64::max) * 1e6;
    println!(
        "{machines:5} machines: {:4} jobs, {:6} placed, {:6} waiting at most | round {:6.0} us, at most {:6.0} | report {:5.1} us | {:4} batches of {:5} bytes, {:3} live | take-over {:6.0} us | demand {:6.0} us ({rented_kinds} kinds)",
        run.jobs,
        run.placed,
        run.max_pending,
        mean(&run.rounds),
        max(&run.rounds),
        mean(&run.heartbeats),
        run.batches,
        run.batch_bytes / run.batches.max(1),
        run.live_batches.len(),
        recovery_s * 1e6,
        demand_s * 1e6,
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
    for machines in Options::parse().machines {
        measure(machines);
    }
}
