//! A simulated day: the real cluster state with simulated machines, tasks and time.
//!
//! The simulation is deterministic for a given seed: it does no I/O and reads the clock
//! only to measure how long calls of the cluster state take.

mod machines;
mod settings;
mod workload;

pub use workload::{BULK, Class, FIX, RUSH, SubmittedJob, draw_jobs};

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

/// Duration of a worker's lease.
const LEASE_S: f64 = 26.0;

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of machines, each with [`CPUS`] CPUs.
    pub machines: usize,
    /// Number of teams, all with the same guarantee.
    pub teams: usize,
    /// Length of the day.
    pub duration_s: f64,
    /// Minimum share of jobs that is done of each class and team; 0: none.
    pub minimum_share: f64,
    /// Fraction of the machines that can't be reached for a tenth of the day; they are in
    /// zone `b`. Their tasks are lost when the lease expires.
    pub partitioned_fraction: f64,
    /// Classes of jobs that are submitted.
    pub classes: Vec<Class>,
}

/// CPUs per machine.
pub const CPUS: f64 = 32.0;

/// Simulated time between two steps.
pub const STEP_S: f64 = 0.5;

/// Interval between heartbeats of a machine.
pub const HEARTBEAT_INTERVAL_S: f64 = 5.0;

/// A simulated day.
pub struct Day {
    setup: Setup,
    /// The cluster state under test.
    pub cluster: ClusterState,
    /// Submitted jobs by id.
    pub jobs: BTreeMap<String, SubmittedJob>,
    machines: Vec<Machine>,
    checkpoints: Checkpoints,
    /// Committed placement batches, in order.
    pub placement_batches: Vec<PlacementBatch>,
    /// Measured duration of each scheduling round.
    pub round_times_s: Vec<f64>,
    /// Measured duration of each selection of underserved jobs, with the update of the
    /// start claims.
    pub selection_times_s: Vec<f64>,
    /// Number of attempts that machines were told to stop.
    pub stopped: usize,
    /// Number of attempts that machines started.
    pub started: usize,
}

impl Day {
    /// A day in which no jobs were submitted yet.
    pub fn new(setup: &Setup) -> Self {
        let mut cluster = ClusterState::new(config(setup), 0.0, 200, 7000);
        cluster.set_machine_types(&[machine_type()]);
        let partitioned_machines = (setup.machines as f64 * setup.partitioned_fraction) as usize;
        let partition = Partition {
            starts_at: setup.duration_s * 0.15,
            ends_at: setup.duration_s * 0.25,
        };
        let machines = (0..setup.machines).map(|n| {
            let is_partitioned = n < partitioned_machines;
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
            placement_batches: Vec::new(),
            round_times_s: Vec::new(),
            selection_times_s: Vec::new(),
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
            self.selection_times_s
                .push(started_at.elapsed().as_secs_f64());
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
        self.round_times_s.push(started_at.elapsed().as_secs_f64());
        for batch in self.cluster.take_placement_batches(7000, 90, now) {
            self.cluster.record_batch_committed(&batch, now);
            self.placement_batches.push(batch);
        }
        self.cluster.obsolete_batches.clear();
        self.cluster.events.clear();
    }

    fn deliver(&mut self, message: &DirectMessage, now: f64) {
        let index = self
            .machines
            .binary_search_by(|machine| machine.name.cmp(&message.worker))
            .expect("direct message to a machine that is not simulated");
        if !self.machines[index].is_reachable(now) {
            self.cluster
                .record_direct_message_result(message, false, now);
            return;
        }
        self.execute(index, message.commands.clone(), now);
        let heartbeat = self.machines[index].heartbeat();
        self.cluster
            .record_direct_message_result(message, true, now);
        self.cluster
            .apply_heartbeat(now, &heartbeat, HeartbeatSource::DirectReply);
    }

    fn record_completions(&mut self, now: f64) {
        for completion in self.cluster.job_completions(10_000, &BTreeSet::new()) {
            self.cluster.remove_job(&completion.job, now);
            if let Some(job) = self.jobs.get_mut(&completion.job) {
                job.done_at = Some(now);
            }
        }
    }

    /// Simulates the whole day with these jobs, sorted by time of submission. `observe` is
    /// called after each step with the day and the time.
    pub fn run(&mut self, jobs: Vec<SubmittedJob>, mut observe: impl FnMut(&Day, f64)) {
        let mut jobs = jobs.into_iter().peekable();
        let steps = (self.setup.duration_s / STEP_S) as u32;
        for step in 1..=steps {
            let now = f64::from(step) * STEP_S;
            while let Some(job) = jobs.next_if(|job| job.submitted_at <= now) {
                self.cluster
                    .add_job(job.spec.clone(), 1, job.submitted_at, &RangeSet::default());
                self.jobs.insert(job.spec.id.clone(), job);
            }
            self.step(now, step);
            observe(self, now);
        }
    }

    /// Of the jobs for which `is_selected` is true: their number, the fraction that is
    /// done, and the fraction that was done within its service-level objective.
    pub fn served(&self, is_selected: impl Fn(&SubmittedJob) -> bool) -> (usize, f64, f64) {
        let selected: Vec<&SubmittedJob> =
            self.jobs.values().filter(|job| is_selected(job)).collect();
        let is_in_time = |job: &&&SubmittedJob| {
            let class_s = self.setup.classes[job.class].within_s;
            let deadline_s = job.spec.deadline_s;
            let within_s = deadline_s.map_or(class_s, |deadline_s| class_s.max(deadline_s * 1.5));
            job.done_at
                .is_some_and(|done_at| done_at - job.submitted_at <= within_s)
        };
        let count = selected.len().max(1) as f64;
        let done = selected.iter().filter(|job| job.done_at.is_some()).count() as f64;
        let timely = selected.iter().filter(is_in_time).count() as f64;
        (selected.len(), done / count, timely / count)
    }

    /// Upper bound of the fraction of jobs that could be done in every group at once.
    ///
    /// The bound treats the cluster as one machine and assumes that the jobs of each group
    /// that need the least CPU time are known beforehand: a share is attainable if the sum
    /// of their CPU times is at most the CPU time of the whole day. `group_of` gives the
    /// index of the group of a job.
    pub fn attainable_share(
        &self,
        groups: usize,
        group_of: impl Fn(&SubmittedJob) -> usize,
    ) -> f64 {
        let setup = &self.setup;
        let capacity_cpu_s = setup.machines as f64
            * CPUS
            * setup.duration_s
            * (1.0 - setup.partitioned_fraction * 0.1);
        let mut cpu_s_by_group = vec![Vec::new(); groups];
        for job in self.jobs.values() {
            cpu_s_by_group[group_of(job)].push(job.cpu_seconds());
        }
        for group in &mut cpu_s_by_group {
            group.sort_by(f64::total_cmp);
        }
        let smallest_jobs_cpu_s = |group: &Vec<f64>, share: f64| {
            let count = (group.len() as f64 * share).floor() as usize;
            group[..count].iter().sum::<f64>()
        };
        let fits = |share: f64| {
            cpu_s_by_group
                .iter()
                .map(|group| smallest_jobs_cpu_s(group, share))
                .sum::<f64>()
                <= capacity_cpu_s
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
