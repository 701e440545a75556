//! What rounds, reports and a take-over cost by number of machines and tasks.
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
        fence_s: 20.0,
        list_lag_s: 5.0,
        clock_drift: 0.0005,
        min_remaining_s: 5.0,
        utility: [1.0, 2.0, 8.0, 16.0],
        late_utility: 0.1,
        idle_boots: 1.5,
        horizon_boots: 1.0,
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

/// The workers, as far as reports need them.
#[derive(Default)]
struct Workers {
    seq: u64,
    tasks: BTreeMap<String, Vec<(TaskStatus, f64)>>,
}

impl Workers {
    /// Lets a worker report, and execute the answer. Returns the time it took
    /// the picture.
    fn check_in(&mut self, c: &mut ClusterState, name: &str, now: f64) -> f64 {
        self.seq += 1;
        let tasks = self.tasks.entry(name.into()).or_default();
        for (task, until) in tasks.iter_mut() {
            if *until <= now && task.state != TaskState::Ended {
                (task.state, task.cause) = (TaskState::Ended, Some(EndCause::Done));
            }
        }
        let report = Heartbeat {
            machine: name.into(),
            endpoint: "10.1.0.2:9000".into(),
            machine_type: "node".into(),
            zone: if name.ends_with('1') { "a" } else { "b" }.into(),
            spot: false,
            incarnation: 1,
            sequence: self.seq,
            token: 1,
            spot_notice_s: None,
            tasks: tasks.iter().map(|t| t.0.clone()).collect(),
        };
        let began = Instant::now();
        c.apply_heartbeat(now, &report, HeartbeatSource::Periodic);
        let commands = c.commands(name, now);
        c.record_heartbeat_response(name, &commands, now);
        let took = began.elapsed().as_secs_f64();
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

fn fresh() -> ClusterState {
    let mut c = ClusterState::new(config(), 0.0, 200, 7000);
    c.set_machine_types(&[machine_type()]);
    c
}

fn play(machines: usize) {
    let names: Vec<String> = (0..machines).map(|n| format!("host-{n:06}")).collect();
    let (mut c, mut workers) = (fresh(), Workers::default());
    let (mut rounds, mut reports, mut batches) = (Vec::new(), Vec::new(), 0usize);
    let mut bytes = 0;
    let mut live: BTreeMap<String, PlacementBatch> = BTreeMap::new();
    let (mut next, mut placed, mut most_waiting) = (0, 0, 0);
    // Ten steps a second; every worker reports each four seconds; work comes
    // for nine tenths of the CPUs, half of it at the start.
    for step in 0..1200u32 {
        let now = f64::from(step) * 0.1;
        let want = if step == 0 { machines / 6 } else { 0 }
            + usize::from(step.is_multiple_of((9000 / machines.max(1) as u32).max(1)));
        for _ in 0..want {
            c.add_job(job(next, 90), 1, now, &RangeSet::default());
            next += 1;
        }
        for name in names.iter().skip(step as usize % 40).step_by(40) {
            reports.push(workers.check_in(&mut c, name, now));
        }
        let began = Instant::now();
        if step.is_multiple_of(3) {
            c.advance_time(now);
        }
        placed += c.run_round(now, true).0;
        let made = c.take_placement_batches(7000, 90, now);
        rounds.push(began.elapsed().as_secs_f64());
        for batch in made {
            batches += 1;
            bytes += serde_json::to_string(&batch.record).map_or(0, |t| t.len());
            c.record_batch_committed(&batch, now);
            live.insert(batch.name.to_string(), batch);
        }
        for done in std::mem::take(&mut c.obsolete_batches) {
            live.remove(&*done);
        }
        for done in c.completions(1000, &BTreeSet::new()) {
            c.remove_job(&done.job, now);
        }
        if let Some(flush) = c.next_flush(24, 49_152).filter(|_| step.is_multiple_of(16)) {
            c.record_flushed(&flush, 1);
        }
        c.take_direct_messages(now, 1.0).clear();
        let waiting: u32 = c.jobs.values().map(|j| j.pending.len()).sum();
        most_waiting = most_waiting.max(waiting);
    }
    let began = Instant::now();
    let mut heir = fresh();
    for j in c.jobs.values() {
        heir.add_job((*j.spec).clone(), 1, 0.0, &j.completed);
    }
    for batch in live.values() {
        heir.restore_placements(&batch.name, &batch.record, 120.0, 120.0);
    }
    let take_over = began.elapsed().as_secs_f64();
    let began = Instant::now();
    let rent = c.rentals(120.0).len();
    c.mark_surplus_machines(120.0);
    let demand = began.elapsed().as_secs_f64();
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64 * 1e6;
    let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max) * 1e6;
    println!(
        "{machines:5} machines: {next:4} jobs, {placed:6} placed, {most_waiting:6} waiting at most | round {:6.0} us, at most {:6.0} | report {:5.1} us | {batches:4} batches of {:5} bytes, {:3} live | take-over {:6.0} us | demand {:6.0} us ({rent} kinds)",
        mean(&rounds),
        most(&rounds),
        mean(&reports),
        bytes / batches.max(1),
        live.len(),
        take_over * 1e6,
        demand * 1e6,
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
        play(machines);
    }
}
