//! A simulated day: the real cluster state, with simulated machines, tasks and time.
//! Deterministic by its seed; no clock but for measurements, no input or output.

mod machines;
mod settings;
mod workload;

pub use workload::{BULK, Class, FIX, Facts, RUSH, draw};

use machines::{Checkpoints, Machine, Partition};
use settings::{config, machine_type};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};
use tallygauge_protocol::workers::Command;
use tallygauge_scheduler::{
    ClusterState, DirectMessage, HeartbeatSource, PlacementBatch, RangeSet,
};

/// A worker's lease.
const LEASE_S: f64 = 26.0;

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Machines of [`CPUS`].
    pub machines: usize,
    /// Teams, of equal guarantees.
    pub teams: usize,
    /// Seconds of the day.
    pub seconds: f64,
    /// Minimum share; 0: none.
    pub share: f64,
    /// Part of the machines, in zone `b`, that can't be reached for a tenth of the day;
    /// their tasks are lost a lease later.
    pub cut: f64,
    /// Classes of jobs.
    pub classes: Vec<Class>,
}

/// CPUs of a machine.
pub const CPUS: f64 = 32.0;

/// Seconds of a step.
pub const STEP: f64 = 0.5;

/// Seconds between two heartbeats of a machine.
pub const HEARTBEAT_INTERVAL_S: f64 = 5.0;

/// A simulated day.
pub struct Day {
    setup: Setup,
    /// State of the cluster.
    pub cluster: ClusterState,
    /// Jobs that were submitted.
    pub jobs: BTreeMap<String, Facts>,
    machines: Vec<Machine>,
    checkpoints: Checkpoints,
    /// Placement batches, in order.
    pub placed: Vec<PlacementBatch>,
    /// Seconds that scheduling rounds took.
    pub rounds: Vec<f64>,
    /// Seconds that selections of underserved jobs took.
    pub elections: Vec<f64>,
    /// Tasks stopped.
    pub stopped: usize,
    /// Tasks started.
    pub started: usize,
}

impl Day {
    /// A day without jobs yet.
    pub fn new(setup: &Setup) -> Self {
        let mut cluster = ClusterState::new(config(setup), 0.0, 200, 7000);
        cluster.set_machine_types(&[machine_type()]);
        let partitioned = (setup.machines as f64 * setup.cut) as usize;
        let partition = Partition {
            from: setup.seconds * 0.15,
            until: setup.seconds * 0.25,
        };
        let machines = (0..setup.machines).map(|n| {
            let is_partitioned = n < partitioned;
            let zone = if is_partitioned || n % 2 == 0 {
                "b"
            } else {
                "a"
            };
            Machine::new(n, zone, is_partitioned.then_some(partition))
        });
        Self {
            setup: setup.clone(),
            cluster,
            jobs: BTreeMap::new(),
            machines: machines.collect(),
            checkpoints: Checkpoints::new(),
            placed: Vec::new(),
            rounds: Vec::new(),
            elections: Vec::new(),
            stopped: 0,
            started: 0,
        }
    }

    fn execute(&mut self, machine_index: usize, commands: Vec<Command>, now: f64) {
        let machine = &mut self.machines[machine_index];
        let executed = machine.execute(commands, &self.jobs, &self.checkpoints, now);
        self.started += executed.started;
        self.stopped += executed.stopped;
    }

    fn send_heartbeat(&mut self, machine_index: usize, now: f64) {
        let Some(heartbeat) = self.machines[machine_index].periodic_heartbeat(now) else {
            return;
        };
        let name = heartbeat.machine.clone();
        self.cluster
            .apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        let commands = self.cluster.commands(&name, now);
        self.cluster
            .record_heartbeat_response(&name, &commands, now);
        self.execute(machine_index, commands, now);
    }

    fn step(&mut self, now: f64, step: u32) {
        self.advance_machines(now);
        if step.is_multiple_of(3) {
            self.cluster.advance_time(now);
            let started_at = Instant::now();
            self.cluster.select_underserved(now);
            self.cluster.update_start_claims(now);
            self.elections.push(started_at.elapsed().as_secs_f64());
        }
        self.run_round(now);
        for message in self.cluster.take_direct_messages(now, 1.0) {
            self.deliver(&message, now);
        }
        self.record_completions(now);
        let flush = self.cluster.next_progress_flush(24, 49_152);
        if let Some(flush) = flush.filter(|_| step.is_multiple_of(4)) {
            self.cluster.record_flushed(&flush, 1);
        }
    }

    fn advance_machines(&mut self, now: f64) {
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            let changed = machine.advance_tasks(&mut self.checkpoints, now);
            if changed || machine.is_heartbeat_due(now) {
                self.send_heartbeat(index, now);
            }
        }
    }

    fn run_round(&mut self, now: f64) {
        let started_at = Instant::now();
        self.cluster.run_round(now, true);
        self.rounds.push(started_at.elapsed().as_secs_f64());
        for batch in self.cluster.take_placement_batches(7000, 90, now) {
            self.cluster.record_batch_committed(&batch, now);
            self.placed.push(batch);
        }
        self.cluster.obsolete_batches.clear();
        self.cluster.events.clear();
    }

    fn deliver(&mut self, message: &DirectMessage, now: f64) {
        let index = self
            .machines
            .binary_search_by(|m| m.name.cmp(&message.worker))
            .expect("a machine of this day");
        if !self.machines[index].is_reachable(now) {
            self.cluster
                .record_direct_message_result(message, false, true, now);
            return;
        }
        self.execute(index, message.commands.clone(), now);
        let heartbeat = self.machines[index].heartbeat();
        self.cluster
            .record_direct_message_result(message, true, false, now);
        self.cluster
            .apply_heartbeat(now, &heartbeat, HeartbeatSource::DirectReply);
    }

    fn record_completions(&mut self, now: f64) {
        for done in self.cluster.job_completions(10_000, &BTreeSet::new()) {
            self.cluster.remove_job(&done.job, now);
            if let Some(facts) = self.jobs.get_mut(&done.job) {
                facts.done_at = Some(now);
            }
        }
    }

    /// Simulates the day; `observe` sees it after each step.
    pub fn run(&mut self, jobs: Vec<Facts>, mut observe: impl FnMut(&Day, f64)) {
        let mut jobs = jobs.into_iter().peekable();
        let steps = (self.setup.seconds / STEP) as u32;
        for step in 1..=steps {
            let now = f64::from(step) * STEP;
            while let Some(facts) = jobs.next_if(|j| j.at <= now) {
                self.cluster
                    .add_job(facts.spec.clone(), 1, facts.at, &RangeSet::default());
                self.jobs.insert(facts.spec.id.clone(), facts);
            }
            self.step(now, step);
            observe(self, now);
        }
    }

    /// Of the jobs that `selects` is true for: their number, the part that is done, and
    /// the part that was done within its service-level objective.
    pub fn served(&self, selects: impl Fn(&Facts) -> bool) -> (usize, f64, f64) {
        let all: Vec<&Facts> = self.jobs.values().filter(|f| selects(f)).collect();
        let in_time = |f: &&&Facts| {
            let class_s = self.setup.classes[f.class].within_s;
            let deadline_s = f.spec.deadline_s;
            let within_s = deadline_s.map_or(class_s, |d| class_s.max(d * 1.5));
            f.done_at.is_some_and(|at| at - f.at <= within_s)
        };
        let count = all.len().max(1) as f64;
        let done = all.iter().filter(|f| f.done_at.is_some()).count() as f64;
        let timely = all.iter().filter(in_time).count() as f64;
        (all.len(), done / count, timely / count)
    }

    /// Upper bound of the share that all groups of jobs could reach, as if there were
    /// one machine and the smallest jobs were known beforehand: the work of the smallest
    /// against the CPU time of the whole day.
    pub fn possible(&self, groups: usize, of: impl Fn(&Facts) -> usize) -> f64 {
        let setup = &self.setup;
        let capacity = setup.machines as f64 * CPUS * setup.seconds * (1.0 - setup.cut * 0.1);
        let mut work_by_group = vec![Vec::new(); groups];
        for facts in self.jobs.values() {
            work_by_group[of(facts)].push(facts.work());
        }
        for group in &mut work_by_group {
            group.sort_by(f64::total_cmp);
        }
        let shortest = |group: &Vec<f64>, share: f64| {
            let count = (group.len() as f64 * share).floor() as usize;
            group[..count].iter().sum::<f64>()
        };
        let fits = |share: f64| {
            work_by_group
                .iter()
                .map(|g| shortest(g, share))
                .sum::<f64>()
                <= capacity
        };
        if fits(1.0) {
            return 1.0;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..30 {
            let middle = (low + high) / 2.0;
            if fits(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }
}
